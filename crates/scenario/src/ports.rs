//! Free addresses on loopback.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

const TRIES_MAX: usize = 64;

/// Finds an address whose port is free for both TCP and UDP.
pub(crate) fn free_address() -> io::Result<SocketAddr> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    for _ in 0..TRIES_MAX {
        let tcp = TcpListener::bind(any)?;
        let address = tcp.local_addr()?;
        if UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::other("no port is free for both TCP and UDP"))
}
