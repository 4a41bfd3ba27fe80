//! The selection of the entry hosts that read the store for their zone.
//!
//! Every read of the store costs the same, whichever host makes it. In a large zone, one watcher
//! therefore reads the store and relays the rows to its followers; a second watcher does so while
//! the updates of the first are stale. A host reads the store itself while no watcher's updates are
//! fresh. A watcher that is partitioned, slow or rejected by the store therefore costs its
//! followers a short delay, but never their configuration.

use std::net::SocketAddr;

use guavaspread_model::rendezvous_score;

use crate::lease::HostLease;
use crate::prelude::*;
use crate::server_list::{LoadedModel, Server};

/// Watchers per zone; one may fail without its followers reading the store themselves.
const WATCHERS_PER_ZONE: usize = 2;
/// Entry hosts per zone from which watchers save more reads than they make.
pub(crate) const ZONE_HOSTS_MIN: usize = 5;
/// Minimum interval between two relayed rows of a server that differ only in the loaded adapters.
const ADAPTER_UPDATE_INTERVAL: Duration = Duration::from_secs(5);

/// Lists the watchers of a zone: the entry hosts with the fastest links, by their leases.
///
/// The traffic of a watcher grows with the zone. Hosts that read the leases at different times may
/// choose different watchers; this only causes additional reads.
pub fn zone_watchers<'a>(
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
    ranked
        .into_iter()
        .take(WATCHERS_PER_ZONE)
        .map(|(_, host, address)| (host.clone(), address))
        .collect()
}

/// Returns the watchers that a host follows.
///
/// A host follows the first watcher, and the next one only while the updates of the first are
/// stale. The first watcher itself follows no other host.
pub fn watchers_to_follow(
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

/// Tracks how fresh the updates of each watcher are, for one feed.
#[derive(Clone, Debug, Default)]
pub struct WatcherFreshness {
    /// The last time at which each watcher is known to have read the store.
    read_at: HashMap<SocketAddr, Duration>,
}

impl WatcherFreshness {
    /// Records that an update, whose data was `age` old, arrived from a watcher at `now`.
    pub fn on_update(&mut self, watcher: SocketAddr, age: Duration, now: Duration) {
        self.read_at.insert(watcher, now.saturating_sub(age));
    }

    /// Records that the connection to a watcher was lost.
    pub fn on_disconnected(&mut self, watcher: SocketAddr) {
        self.read_at.remove(&watcher);
    }

    /// Returns whether any watcher's data is younger than `limit` and replaces a read of the store.
    pub fn is_fresh(&self, limit: Duration, now: Duration) -> bool {
        self.read_at.values().any(|at| now < *at + limit)
    }

    /// Returns when any watcher is last known to have read the store.
    pub fn latest_at(&self) -> Option<Duration> {
        self.read_at.values().max().copied()
    }

    /// Returns whether this watcher's data is younger than `limit`.
    pub fn is_watcher_fresh(&self, watcher: SocketAddr, limit: Duration, now: Duration) -> bool {
        self.read_at.get(&watcher).is_some_and(|at| now < *at + limit)
    }
}

/// Remembers the last row of each server that a watcher relayed to its followers.
///
/// Servers rewrite their rows about once a second. Followers need an update when a server appears,
/// leaves, drains or restarts. The adapters that an engine has loaded are only a hint to them, for
/// requests to engines whose owner does not respond.
#[derive(Debug, Default)]
pub struct RelayedServers {
    servers: HashMap<Arc<str>, (Server, Duration)>,
    /// The era of the store of the last complete list.
    era: u64,
}

impl RelayedServers {
    /// Returns whether a server's row has to be relayed, and if so records it as relayed.
    pub fn relay_if_changed(&mut self, server: &Server, now: Duration) -> bool {
        if let Some((known, at)) = self.servers.get(&server.id)
            && (known == server
                || now < *at + ADAPTER_UPDATE_INTERVAL
                    && without_adapters(known) == without_adapters(server))
        {
            return false;
        }
        self.servers.insert(server.id.clone(), (server.clone(), now));
        true
    }

    /// Replaces all rows after a complete list of an era of the store was relayed.
    ///
    /// None of the first list of an era counts as relayed: a follower ignores the row of a server
    /// that it knows to be gone, and needs the row that the server writes again.
    pub fn on_list<'a>(
        &mut self,
        servers: impl Iterator<Item = &'a Server>,
        era: u64,
        now: Duration,
    ) {
        let is_new_era = std::mem::replace(&mut self.era, era) != era;
        let relayed = servers.filter(|_| !is_new_era);
        self.servers = relayed.map(|server| (server.id.clone(), (server.clone(), now))).collect();
    }

    /// Forgets all rows; the next follower starts from a complete list.
    pub fn clear(&mut self) {
        self.servers.clear();
    }

    /// Removes a server that left.
    pub fn on_removed(&mut self, id: &str) {
        self.servers.remove(id);
    }
}

fn without_adapters(server: &Server) -> Server {
    let strip = |model: &LoadedModel| LoadedModel { adapters: Vec::new(), ..model.clone() };
    Server { models: server.models.iter().map(strip).collect(), ..server.clone() }
}
