//! Free loopback addresses.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::{Mutex, PoisonError};

/// Start of the port range, which lies below the ports that the system assigns to outgoing
/// connections.
const PORT_MIN: u16 = 2_000;
/// Ports that one process reserves at a time. The first one of them marks the reservation.
const BLOCK_PORTS: u16 = 100;
const BLOCKS: u16 = 135;

static RESERVED: Mutex<ReservedPorts> =
    Mutex::new(ReservedPorts { marks: Vec::new(), next: 0, end: 0 });

/// The ports that no other process using this module hands out.
struct ReservedPorts {
    /// Listeners on the first port of each reserved block.
    marks: Vec<TcpListener>,
    next: u16,
    end: u16,
}

/// Returns the loopback address with port 0, for which the system chooses a free port.
pub fn ephemeral_address() -> SocketAddr {
    loopback(0)
}

/// Returns a loopback address whose port is free for both TCP and UDP.
///
/// No address is returned twice until the port range is used up, in this process or in others
/// that run at the same time.
///
/// # Errors
///
/// Returns an error if no free port is found.
pub fn free_address() -> io::Result<SocketAddr> {
    let mut ports = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        if ports.next == ports.end {
            ports.reserve_block()?;
        }
        let address = loopback(ports.next);
        ports.next += 1;
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
}

impl ReservedPorts {
    fn reserve_block(&mut self) -> io::Result<()> {
        let starts = (0..BLOCKS).map(|block| PORT_MIN + block * BLOCK_PORTS);
        let mut free =
            starts.filter_map(|start| Some((start, TcpListener::bind(loopback(start)).ok()?)));
        let Some((start, mark)) = free.next() else {
            // The range is used up: this process may use its own blocks again.
            let used_up = self.marks.is_empty();
            self.marks.clear();
            return match used_up {
                true => Err(io::Error::other("every block of ports is reserved")),
                false => self.reserve_block(),
            };
        };
        self.marks.push(mark);
        (self.next, self.end) = (start + 1, start + BLOCK_PORTS);
        Ok(())
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
