//! Network relays that inject partitions in front of the platform and the dispatchers.
//!
//! A partition drops or holds traffic without closing connections, as a network does. The source
//! address of a packet identifies the zone that sent it.

use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use guavaspread_model::Name;
use guavaspread_standins::ephemeral_address;

const PARTITION_POLL_INTERVAL: Duration = Duration::from_millis(20);
const DATAGRAM_BYTES_MAX: usize = 65_536;
const COPY_BUFFER_BYTES: usize = 16_384;

#[derive(Default)]
struct Inner {
    /// Number of each zone, which is part of its source address.
    zones: BTreeMap<Name, u8>,
    /// Zones that can't reach the platform.
    without_platform: BTreeSet<Name>,
    /// Pairs of zones that can't reach each other; each pair is in both orders.
    zone_pairs: BTreeSet<(Name, Name)>,
}

/// Network partitions that are in effect.
#[derive(Clone, Default)]
pub struct Partitions {
    inner: Arc<Mutex<Inner>>,
}

impl Partitions {
    /// Partitions a zone from the platform.
    pub fn isolate_from_platform(&self, zone: &Name) {
        self.lock().without_platform.insert(zone.clone());
    }

    /// Partitions two zones from each other, in both directions.
    pub fn partition_zones(&self, a: &Name, b: &Name) {
        let mut inner = self.lock();
        inner.zone_pairs.insert((a.clone(), b.clone()));
        inner.zone_pairs.insert((b.clone(), a.clone()));
    }

    /// Ends every partition.
    pub fn heal(&self) {
        let mut inner = self.lock();
        inner.without_platform.clear();
        inner.zone_pairs.clear();
    }

    /// Returns the source address of the processes of a zone.
    pub(crate) fn zone_source(&self, zone: &Name) -> Ipv4Addr {
        let mut inner = self.lock();
        let next = inner.zones.len() as u8 + 1;
        let number = *inner.zones.entry(zone.clone()).or_insert(next);
        Ipv4Addr::new(127, 0, number, 1)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_isolated_from_platform(&self, zone: &Name) -> bool {
        self.lock().without_platform.contains(zone)
    }

    fn is_partitioned(&self, from: IpAddr, zone: &Name) -> bool {
        let inner = self.lock();
        let IpAddr::V4(from) = from else { return false };
        let number = from.octets()[2];
        let source = inner.zones.iter().find(|(_, n)| **n == number).map(|(zone, _)| zone);
        source.is_some_and(|source| inner.zone_pairs.contains(&(source.clone(), zone.clone())))
    }
}

/// Starts a relay from the processes of `zone` to the platform and returns its address.
pub(crate) fn relay_tcp(
    target: SocketAddr,
    zone: Name,
    partitions: Partitions,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(ephemeral_address())?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(target) else { continue };
            let pairs = (client.try_clone(), server.try_clone());
            let (Ok(client_out), Ok(server_out)) = pairs else { continue };
            let (a, b) = ((zone.clone(), partitions.clone()), (zone.clone(), partitions.clone()));
            thread::spawn(move || copy(client, server_out, &a.0, &a.1));
            thread::spawn(move || copy(server, client_out, &b.0, &b.1));
        }
    });
    Ok(address)
}

fn copy(mut from: TcpStream, mut to: TcpStream, zone: &Name, partitions: &Partitions) {
    let mut buf = vec![0; COPY_BUFFER_BYTES];
    while let Ok(count @ 1..) = from.read(&mut buf) {
        while partitions.is_isolated_from_platform(zone) {
            thread::sleep(PARTITION_POLL_INTERVAL);
        }
        if to.write_all(&buf[..count]).is_err() {
            break;
        }
    }
    // Fails if the peer has already closed the connection.
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

/// Starts a relay of datagrams to a dispatcher in `zone` and returns its address.
pub(crate) fn relay_udp(
    target: SocketAddr,
    zone: Name,
    partitions: Partitions,
) -> io::Result<SocketAddr> {
    let front = UdpSocket::bind(ephemeral_address())?;
    let address = front.local_addr()?;
    thread::spawn(move || {
        let mut upstreams: HashMap<SocketAddr, UdpSocket> = HashMap::new();
        let mut buf = vec![0; DATAGRAM_BYTES_MAX];
        while let Ok((count, client)) = front.recv_from(&mut buf) {
            if partitions.is_partitioned(client.ip(), &zone) {
                continue;
            }
            let upstream = match upstreams.entry(client) {
                Entry::Occupied(known) => known.into_mut(),
                Entry::Vacant(vacant) => {
                    let reply = (zone.clone(), partitions.clone());
                    let Ok(upstream) = connect(&front, client, target, reply) else { continue };
                    vacant.insert(upstream)
                }
            };
            // UDP allows datagrams to be lost, so a failed send needs no handling.
            let _ = upstream.send(&buf[..count]);
        }
    });
    Ok(address)
}

/// Opens the socket that exchanges the datagrams of one client with the target.
fn connect(
    front: &UdpSocket,
    client: SocketAddr,
    target: SocketAddr,
    reply: (Name, Partitions),
) -> io::Result<UdpSocket> {
    let upstream = UdpSocket::bind(ephemeral_address())?;
    upstream.connect(target)?;
    let (front, receiver) = (front.try_clone()?, upstream.try_clone()?);
    thread::spawn(move || {
        let (zone, partitions) = reply;
        let mut buf = vec![0; DATAGRAM_BYTES_MAX];
        loop {
            match receiver.recv(&mut buf) {
                Ok(count) if !partitions.is_partitioned(client.ip(), &zone) => {
                    let _ = front.send_to(&buf[..count], client);
                }
                Ok(_) => {}
                // The system refuses datagrams to a stopped dispatcher. The relay continues, since
                // the dispatcher may start again.
                Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(_) => return,
            }
        }
    });
    Ok(upstream)
}
