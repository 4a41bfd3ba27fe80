//! Free addresses on loopback.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

/// Below the ports that the system gives to outgoing connections.
const FIRST_PORT: u16 = 2_000;
const PORTS: u16 = 13_500;
const TRIES_MAX: u16 = 2_000;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// Returns the address by which the system chooses a free port.
pub fn any_address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Finds an address whose port is free for both TCP and UDP, and not given out before here.
///
/// # Errors
///
/// Fails when no port is free.
pub fn free_address() -> io::Result<SocketAddr> {
    // Test processes that run side by side start at different ports.
    let offset = (std::process::id() % 97) as u16 * 139;
    for _ in 0..TRIES_MAX {
        let port = FIRST_PORT + (offset + NEXT.fetch_add(1, Ordering::Relaxed)) % PORTS;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::other("no port is free for both TCP and UDP"))
}
