//! Who reads the store for the entry hosts of a zone.
//!
//! Each call to the store costs the same whoever makes it, so in a large zone one watcher
//! follows it and passes on what it reads; a second one does while the first one's news
//! are not fresh. Every host still reads by itself when no watcher's news are fresh: a
//! watcher that is cut off, slow or turned away by the store costs its followers a moment,
//! never their configuration.

use std::net::SocketAddr;

use guavaspread_model::rendezvous_score;

use crate::lease::HostLease;
use crate::prelude::*;
use crate::roster::{HeldModel, Server};

/// Watchers of a zone: one may fail without its followers turning to the store.
const WATCHERS: usize = 2;
/// Entry hosts of a zone from which watchers save more calls than they make.
pub(crate) const ZONE_HOSTS_MIN: usize = 5;
/// Between two rows that are passed on because a server holds other adapters.
const HELD_INTERVAL: Duration = Duration::from_secs(5);

/// Lists the watchers of a zone, by the leases of its entry hosts: those whose links carry
/// most, as what a watcher reads and passes on grows with the zone.
///
/// Hosts that read the leases at different moments may choose differently, which costs
/// calls and nothing else.
pub fn watchers<'a>(
    zone: &str,
    hosts: impl Iterator<Item = &'a HostLease>,
) -> Vec<(Arc<str>, SocketAddr)> {
    let rank = |host: &HostLease| (host.link_mbps, rendezvous_score(zone, &host.holder));
    let mut ranked: Vec<(_, &Arc<str>, SocketAddr)> = hosts
        .filter(|host| &*host.zone == zone)
        .map(|host| (rank(host), &host.holder, host.address))
        .collect();
    if ranked.len() < ZONE_HOSTS_MIN {
        return Vec::new();
    }
    ranked.sort_by(|a, b| b.cmp(a));
    ranked.into_iter().take(WATCHERS).map(|(_, host, address)| (host.clone(), address)).collect()
}

/// Chooses of the watchers whom a host follows: the first, and the next one only while the
/// first one's news are not fresh. The first one itself follows nobody.
pub fn followed(
    watchers: Vec<(Arc<str>, SocketAddr)>,
    host: &str,
    is_fresh: impl Fn(SocketAddr) -> bool,
) -> Vec<SocketAddr> {
    let mut chosen = Vec::new();
    for (watcher, address) in watchers {
        if &*watcher == host {
            break;
        }
        chosen.push(address);
        if is_fresh(address) {
            break;
        }
    }
    chosen
}

/// Tracks how fresh the news of the watchers are, for one list.
#[derive(Clone, Debug, Default)]
pub struct Hearsay {
    /// When each watcher last heard from the store, as far as is known here.
    heard: HashMap<SocketAddr, Duration>,
}

impl Hearsay {
    /// Reports that a watcher's knowledge was `age` old when its news arrived at `now`.
    pub fn on_news(&mut self, watcher: SocketAddr, age: Duration, now: Duration) {
        self.heard.insert(watcher, now.saturating_sub(age));
    }

    /// Reports that a watcher is no longer heard.
    pub fn on_lost(&mut self, watcher: SocketAddr) {
        self.heard.remove(&watcher);
    }

    /// Tells whether some watcher's knowledge is younger than `limit`, so that it can stand
    /// for a look at the store.
    pub fn is_fresh(&self, limit: Duration, now: Duration) -> bool {
        self.heard.values().any(|heard| now < *heard + limit)
    }

    /// Tells whether this watcher's knowledge is younger than `limit`.
    pub fn is_fresh_from(&self, watcher: SocketAddr, limit: Duration, now: Duration) -> bool {
        self.heard.get(&watcher).is_some_and(|heard| now < *heard + limit)
    }
}

/// Remembers what a watcher has passed on of each server.
///
/// Servers write their rows again every second or so. Followers need to hear of one that
/// comes, goes, drains or starts anew; what an engine holds is only a hint to them, for
/// when its owner does not answer.
#[derive(Debug, Default)]
pub struct PassedOn {
    servers: HashMap<Arc<str>, (Server, Duration)>,
}

impl PassedOn {
    /// Tells whether followers need to hear of a server's row, and takes that it is passed on.
    pub fn is_news(&mut self, server: &Server, now: Duration) -> bool {
        if let Some((known, at)) = self.servers.get(&server.id)
            && (known == server
                || now < *at + HELD_INTERVAL && without_adapters(known) == without_adapters(server))
        {
            return false;
        }
        self.servers.insert(server.id.clone(), (server.clone(), now));
        true
    }

    /// Takes over that the whole list is passed on, or that nobody follows any more, with no
    /// server.
    pub fn reset<'a>(&mut self, servers: impl Iterator<Item = &'a Server>, now: Duration) {
        self.servers = servers.map(|server| (server.id.clone(), (server.clone(), now))).collect();
    }

    /// Takes over that a server is gone.
    pub fn on_gone(&mut self, id: &str) {
        self.servers.remove(id);
    }
}

fn without_adapters(server: &Server) -> Server {
    let bare = |model: &HeldModel| HeldModel { adapters: Vec::new(), ..model.clone() };
    Server { models: server.models.iter().map(bare).collect(), ..server.clone() }
}
