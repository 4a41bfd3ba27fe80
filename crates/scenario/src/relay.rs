//! Relays in front of the platform and the dispatchers, that can go silent.
//!
//! A cut is silent, as in a network: connections stay open and nothing gets
//! through. The zone that a packet comes from is told by its source address.

use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use guavaspread_model::Name;
use guavaspread_standins::ephemeral_address;

const STALL_POLL: Duration = Duration::from_millis(20);
const DATAGRAM_BYTES_MAX: usize = 65_536;
const COPY_BYTES: usize = 16_384;

#[derive(Default)]
struct Inner {
    zones: BTreeMap<Name, u8>,
    platform: BTreeSet<Name>,
    zone_pairs: BTreeSet<(Name, Name)>,
}

/// Holds what is cut off from what.
#[derive(Clone, Default)]
pub struct Cuts {
    inner: Arc<Mutex<Inner>>,
}

impl Cuts {
    /// Cuts a zone off from the platform.
    pub fn cut_platform(&self, zone: &Name) {
        self.lock().platform.insert(zone.clone());
    }

    /// Cuts two zones off from each other.
    pub fn cut_zones(&self, a: &Name, b: &Name) {
        let mut inner = self.lock();
        inner.zone_pairs.insert((a.clone(), b.clone()));
        inner.zone_pairs.insert((b.clone(), a.clone()));
    }

    /// Ends every cut.
    pub fn heal(&self) {
        let mut inner = self.lock();
        inner.platform.clear();
        inner.zone_pairs.clear();
    }

    /// Returns the address that the processes of a zone connect from.
    pub(crate) fn zone_source(&self, zone: &Name) -> Ipv4Addr {
        let mut inner = self.lock();
        let next = inner.zones.len() as u8 + 1;
        let number = *inner.zones.entry(zone.clone()).or_insert(next);
        Ipv4Addr::new(127, 0, number, 1)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_platform_cut(&self, zone: &Name) -> bool {
        self.lock().platform.contains(zone)
    }

    fn is_cut(&self, from: IpAddr, zone: &Name) -> bool {
        let inner = self.lock();
        let IpAddr::V4(from) = from else { return false };
        let number = from.octets()[2];
        let source = inner.zones.iter().find(|(_, n)| **n == number).map(|(zone, _)| zone);
        source.is_some_and(|source| inner.zone_pairs.contains(&(source.clone(), zone.clone())))
    }
}

/// Relays connections from the processes of `zone` to the platform.
pub(crate) fn relay_tcp(target: SocketAddr, zone: Name, cuts: Cuts) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(ephemeral_address())?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(target) else { continue };
            let pairs = (client.try_clone(), server.try_clone());
            let (Ok(client_out), Ok(server_out)) = pairs else { continue };
            let (a, b) = ((zone.clone(), cuts.clone()), (zone.clone(), cuts.clone()));
            thread::spawn(move || copy(client, server_out, &a.0, &a.1));
            thread::spawn(move || copy(server, client_out, &b.0, &b.1));
        }
    });
    Ok(address)
}

fn copy(mut from: TcpStream, mut to: TcpStream, zone: &Name, cuts: &Cuts) {
    let mut buf = vec![0; COPY_BYTES];
    while let Ok(count @ 1..) = from.read(&mut buf) {
        while cuts.is_platform_cut(zone) {
            thread::sleep(STALL_POLL);
        }
        if to.write_all(&buf[..count]).is_err() {
            break;
        }
    }
    // The other side may have closed already.
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

/// Relays datagrams to a dispatcher that stands in `zone`.
pub(crate) fn relay_udp(target: SocketAddr, zone: Name, cuts: Cuts) -> io::Result<SocketAddr> {
    let front = UdpSocket::bind(ephemeral_address())?;
    let address = front.local_addr()?;
    thread::spawn(move || {
        let mut backs: HashMap<SocketAddr, UdpSocket> = HashMap::new();
        let mut buf = vec![0; DATAGRAM_BYTES_MAX];
        while let Ok((count, client)) = front.recv_from(&mut buf) {
            if cuts.is_cut(client.ip(), &zone) {
                continue;
            }
            let back = match backs.entry(client) {
                Entry::Occupied(known) => known.into_mut(),
                Entry::Vacant(vacant) => {
                    let reply = (zone.clone(), cuts.clone());
                    let Ok(back) = open_back(&front, client, target, reply) else { continue };
                    vacant.insert(back)
                }
            };
            // A datagram that is lost here is lost as in a network.
            let _ = back.send(&buf[..count]);
        }
    });
    Ok(address)
}

fn open_back(
    front: &UdpSocket,
    client: SocketAddr,
    target: SocketAddr,
    reply: (Name, Cuts),
) -> io::Result<UdpSocket> {
    let back = UdpSocket::bind(ephemeral_address())?;
    back.connect(target)?;
    let (front, receiver) = (front.try_clone()?, back.try_clone()?);
    thread::spawn(move || {
        let (zone, cuts) = reply;
        let mut buf = vec![0; DATAGRAM_BYTES_MAX];
        loop {
            match receiver.recv(&mut buf) {
                Ok(count) if !cuts.is_cut(client.ip(), &zone) => {
                    let _ = front.send_to(&buf[..count], client);
                }
                Ok(_) => {}
                // A dispatcher that is away refuses datagrams; it may come back.
                Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(_) => return,
            }
        }
    });
    Ok(back)
}
