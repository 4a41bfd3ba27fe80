//! Free loopback addresses.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

/// Start of the port range, which lies below the ports that the system assigns to outgoing
/// connections.
const PORT_MIN: u16 = 2_000;
const PORT_COUNT: u16 = 13_500;
const ATTEMPTS_MAX: u16 = 2_000;

static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Returns the loopback address with port 0, for which the system chooses a free port.
pub fn ephemeral_address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Returns a loopback address whose port is free for both TCP and UDP.
///
/// Within a process, no address is returned twice until the port range is used up.
///
/// # Errors
///
/// Returns an error if no free port is found.
pub fn free_address() -> io::Result<SocketAddr> {
    // Test processes that run concurrently start at different ports.
    let offset = (std::process::id() % 97) as u16 * 139;
    for _ in 0..ATTEMPTS_MAX {
        let port = PORT_MIN + (offset + NEXT_OFFSET.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::other("no port is free for both TCP and UDP"))
}
