//! Permits to send requests to servers with a rate limit.
//!
//! A server's limit applies to all entry hosts together, and no host knows what the others send.
//! Each limited server therefore has a coordinator among the entry hosts, the same by every host's
//! leases. A host asks the coordinator for a permit for each request to the server. The
//! coordinator spaces the permits by the limit's interval, whichever hosts ask, so that neither
//! the number of hosts nor their shares of the requests need to be known.
//!
//! A host that can't reach the coordinator asks a backup in its own zone. Backups issue permits at
//! a fraction of the limit: the coordinator may still issue permits to other hosts at the whole
//! limit, for example while a zone is partitioned.

use std::collections::BTreeSet;

use guavaspread_model::{content_hash, rendezvous_score};
use serde::{Deserialize, Serialize};

use crate::lease::HostLease;
use crate::prelude::*;
use crate::rate_limit::RateLimit;

/// Unused permits that a coordinator saves up. They let the limit be used in full although requests
/// arrive unevenly.
const SAVED_PERMITS: u32 = 1;
/// The interval of a backup's permits, in intervals of the limit per zone. All backups together then
/// issue permits at half of the limit.
const BACKUP_INTERVALS_PER_ZONE: u32 = 2;
/// Backups that a host may ask in its zone.
const BACKUPS_MAX: usize = 2;
/// The number of askers for each permit that the delays of denied hosts aim at. With fewer, permits
/// stay unused until the next host asks; with more, most calls to the coordinator are in vain.
const ASKERS_PER_PERMIT: u32 = 4;
/// The longest delay before a denied host asks again.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(10);
/// How long a host or a priority counts as asking, at least.
const ASKER_TTL_MIN: Duration = Duration::from_secs(2);
/// Permits after which a less urgent request is treated like an urgent one, so that it is not
/// starved.
const STARVATION_PERMITS: u64 = 8;
/// The maximum number of servers for which a host issues permits, and of askers per server.
const BUCKETS_MAX: usize = 4_096;
const ASKERS_MAX: usize = 4_096;

/// The part of a host in issuing a server's permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CoordinatorRole {
    /// Issues permits to all hosts.
    Primary,
    /// Issues permits to the hosts of its zone that can't reach the primary.
    Backup,
}

/// A request for a permit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The asking host.
    pub host: Arc<str>,
    /// The role in which the receiver is asked.
    pub role: CoordinatorRole,
    /// The priority of the request to send; 0 is the most urgent.
    pub priority: u8,
    /// How long the request may wait for its turn.
    pub wait_max: Duration,
}

/// The answer to a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitDecision {
    /// One request may be sent after this delay.
    Granted(Duration),
    /// The host asks again after this delay at the earliest.
    Denied(Duration),
}

impl PermitDecision {
    /// Returns the decision of a coordinator on a request that waits for at most `wait_max`, within
    /// the limits that coordinators keep.
    ///
    /// A permit for a later time is a denial: the request would not be sent in time.
    pub fn bounded(self, wait_max: Duration) -> Self {
        match self {
            PermitDecision::Granted(delay) if delay <= wait_max => self,
            PermitDecision::Granted(delay) | PermitDecision::Denied(delay) => {
                PermitDecision::Denied(delay.min(RETRY_DELAY_MAX))
            }
        }
    }
}

/// What a bucket knows of the requests with one priority.
#[derive(Clone, Copy, Debug)]
struct PriorityState {
    asked_at: Duration,
    /// The number of permits that had been issued after the last one for this priority.
    issued_at: u64,
}

#[derive(Clone, Debug)]
struct Bucket {
    started_at_ms: u64,
    interval: Duration,
    /// When the next permit is due.
    next_at: Duration,
    issued: u64,
    priorities: BTreeMap<u8, PriorityState>,
    asked_at: HashMap<Arc<str>, Duration>,
}

/// Issues the permits of the servers that one host coordinates.
#[derive(Clone, Debug, Default)]
pub struct PermitIssuer {
    buckets: HashMap<(Arc<str>, CoordinatorRole), Bucket>,
}

impl PermitIssuer {
    /// Decides on a request for a permit of a server with this limit; `zones` is the number of
    /// zones with entry hosts.
    pub fn request(
        &mut self,
        server: &Arc<str>,
        started_at_ms: u64,
        limit: RateLimit,
        zones: usize,
        request: &PermitRequest,
        now: Duration,
    ) -> PermitDecision {
        let interval = match request.role {
            CoordinatorRole::Primary => limit.interval(),
            CoordinatorRole::Backup => {
                limit.interval() * BACKUP_INTERVALS_PER_ZONE * zones.max(1) as u32
            }
        };
        let key = (server.clone(), request.role);
        if !self.buckets.contains_key(&key) {
            self.evict();
        }
        let first_at = match request.role {
            CoordinatorRole::Primary => now,
            // A backup has no permit at first: the primary may just have issued one.
            CoordinatorRole::Backup => now + interval,
        };
        let fresh = || Bucket::new(started_at_ms, interval, first_at);
        let bucket = self.buckets.entry(key).or_insert_with(fresh);
        if bucket.started_at_ms != started_at_ms {
            *bucket = fresh();
        }
        bucket.request(interval, request, now)
    }

    /// Returns whether this host has issued permits of a server as the primary coordinator.
    pub fn is_primary_of(&self, server: &Arc<str>) -> bool {
        self.buckets.contains_key(&(server.clone(), CoordinatorRole::Primary))
    }

    /// Removes the state of a server whose limit has ended.
    pub fn remove(&mut self, server: &Arc<str>) {
        for role in [CoordinatorRole::Primary, CoordinatorRole::Backup] {
            self.buckets.remove(&(server.clone(), role));
        }
    }

    fn evict(&mut self) {
        if self.buckets.len() < BUCKETS_MAX {
            return;
        }
        // The bucket with the earliest next permit has been idle for the longest time.
        let idle = self.buckets.iter().min_by_key(|(_, bucket)| bucket.next_at);
        if let Some(idle) = idle.map(|(key, _)| key.clone()) {
            self.buckets.remove(&idle);
        }
    }
}

impl Bucket {
    fn new(started_at_ms: u64, interval: Duration, next_at: Duration) -> Self {
        Bucket {
            started_at_ms,
            interval,
            next_at,
            issued: 0,
            priorities: BTreeMap::new(),
            asked_at: HashMap::new(),
        }
    }

    fn request(
        &mut self,
        interval: Duration,
        request: &PermitRequest,
        now: Duration,
    ) -> PermitDecision {
        let priority = request.priority;
        let issued = self.issued;
        let state = self
            .priorities
            .entry(priority)
            .or_insert(PriorityState { asked_at: now, issued_at: issued });
        state.asked_at = now;
        let is_starved = issued - state.issued_at >= STARVATION_PERMITS;
        let is_yielding = !is_starved && self.has_more_urgent(priority, now);
        if std::mem::replace(&mut self.interval, interval) > interval {
            // The limit was raised: the next permit must not wait for the longer interval.
            self.next_at = self.next_at.min(now + interval);
        }
        let at = self.next_at.max(now.saturating_sub(interval * SAVED_PERMITS));
        let wait = at.saturating_sub(now);
        let wait_max = if is_yielding { Duration::ZERO } else { request.wait_max };
        if wait > wait_max {
            return PermitDecision::Denied(self.retry_delay(interval, request, wait, now));
        }
        self.next_at = at + interval;
        self.issued += 1;
        let issued = self.issued;
        if let Some(state) = self.priorities.get_mut(&priority) {
            state.issued_at = issued;
        }
        PermitDecision::Granted(wait)
    }

    fn has_more_urgent(&self, priority: u8, now: Duration) -> bool {
        let mut more_urgent = self.priorities.range(..priority);
        more_urgent.any(|(_, state)| now < state.asked_at + ASKER_TTL_MIN)
    }

    /// Returns after which delay a denied host may ask again, at the earliest at the next permit.
    ///
    /// The delay grows with the number of hosts that ask, so that the calls to the coordinator are
    /// bounded by the limit and not by the number of hosts.
    fn retry_delay(
        &mut self,
        interval: Duration,
        request: &PermitRequest,
        wait: Duration,
        now: Duration,
    ) -> Duration {
        let share = |askers: usize| (interval / ASKERS_PER_PERMIT).saturating_mul(askers as u32);
        let ttl = (share(self.asked_at.len()) * 2).max(ASKER_TTL_MIN).min(RETRY_DELAY_MAX * 2);
        self.asked_at.retain(|_, at| now < *at + ttl);
        if self.asked_at.len() < ASKERS_MAX {
            self.asked_at.insert(request.host.clone(), now);
        }
        share(self.asked_at.len()).max(wait).min(RETRY_DELAY_MAX)
    }
}

/// The hosts to ask for a permit of a server, in the order in which they are asked.
pub fn permit_coordinators<'a>(
    server: &str,
    zone: &str,
    hosts: impl Iterator<Item = &'a HostLease>,
) -> Vec<(&'a HostLease, CoordinatorRole)> {
    let mut ranked: Vec<(u64, &HostLease)> =
        hosts.map(|host| (rendezvous_score(server, &host.holder), host)).collect();
    ranked.sort_by(|a, b| (b.0, &b.1.holder).cmp(&(a.0, &a.1.holder)));
    let mut ranked = ranked.into_iter().map(|(_, host)| host);
    let primary = ranked.next().map(|host| (host, CoordinatorRole::Primary));
    let backups = ranked.filter(|host| *host.zone == *zone).take(BACKUPS_MAX);
    primary.into_iter().chain(backups.map(|host| (host, CoordinatorRole::Backup))).collect()
}

/// Returns the number of zones with entry hosts.
pub fn zone_count<'a>(hosts: impl Iterator<Item = &'a HostLease>) -> usize {
    hosts.map(|host| &host.zone).collect::<BTreeSet<_>>().len()
}

/// Returns a digest of the hosts' names, in which hosts with the same leases agree.
pub fn hosts_digest<'a>(hosts: impl Iterator<Item = &'a HostLease>) -> u64 {
    let names: Vec<&str> = hosts.map(|host| &*host.holder).collect();
    content_hash(names.join("\n").as_bytes())
}
