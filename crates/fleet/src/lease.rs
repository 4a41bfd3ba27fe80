//! Who may give orders to an engine.
//!
//! Engines need not check who orders them, so at most one entry host may order an
//! engine at a time, and a successor starts only when nothing of its predecessor can
//! arrive any more. Each host has one lease, a row that it renews; a claim, a row for each
//! engine, names the host that orders it while that host's lease lasts. Claims change only
//! when an engine changes hands, so that what is written and read grows with the hosts and
//! not with the engines. All rows are written under the condition that they are as last
//! read; the revision of the write that claimed an engine is the fencing token.
//!
//! Who claims an engine of a host whose lease has lapsed ends that lease in the same write:
//! a renewal that comes late then fails, and the lapsed host starts anew. A lease's end is
//! a moment of the store's clock, which every answer of the store shows: a holder takes the
//! latest moment that the clock can show and stops early, a successor the earliest and
//! starts late, so that no host needs a true clock.

mod claims;
mod rows;

use std::collections::BTreeSet;
use std::net::SocketAddr;

pub use rows::{Claim, HostLease, LeaseNext, LeaseTable, LeaseTimes, LeaseWrite, LeasesLast};

use crate::backoff::Backoff;
use crate::prelude::*;
use crate::watch::ZONE_HOSTS_MIN;

#[derive(Clone, Copy, Debug)]
struct StoreClock {
    /// The clock's value in an answer, in milliseconds.
    shown_ms: u64,
    sent_at: Duration,
    received_at: Duration,
}

/// The lease of the host that keeps the book.
#[derive(Clone, Copy, Debug)]
struct Own {
    until_ms: u64,
    renew_at: Duration,
    /// When other hosts that started with this one have shown up in the table.
    settled_at: Duration,
}

/// Follows the leases of one entry host.
#[derive(Debug)]
pub struct LeaseBook {
    host: Arc<str>,
    address: SocketAddr,
    zone: Arc<str>,
    link_mbps: u32,
    times: LeaseTimes,
    clock: Option<StoreClock>,
    hosts: BTreeMap<Arc<str>, HostLease>,
    claims: BTreeMap<Arc<str>, Claim>,
    /// Revision up to which the table is known.
    revision: Option<u64>,
    own: Option<Own>,
    /// The fencing tokens of the engines that this process claimed.
    fences: BTreeMap<Arc<str>, u64>,
    /// The engines there are; the flag tells those of the host's own zone.
    engines: BTreeMap<Arc<str>, bool>,
    /// When hosts last answered this one.
    heard_at: BTreeMap<Arc<str>, Duration>,
    /// Since when an engine has had no holder that counts.
    free_since: BTreeMap<Arc<str>, Duration>,
    /// How many hosts come before this one for an engine.
    ranks: BTreeMap<Arc<str>, u32>,
    stale: bool,
    read_at: Duration,
    /// The store's clock at the last read, in milliseconds.
    read_ms: u64,
    reads: Backoff,
    writes: Backoff,
    /// When the next write may be tried.
    write_at: Duration,
}

/// Between two reads at most while the store refuses.
const READ_PAUSE_MAX: Duration = Duration::from_millis(1_000);
/// How old the table may be when an engine is claimed by it: less than hosts wait for those
/// that come before them.
const CLAIM_FRESH: Duration = Duration::from_millis(60);
/// Before the table is read again that is doubted, and after a first failure.
const REREAD_PAUSE: Duration = Duration::from_millis(250);
/// From a host's first lease to its first claim of an engine that it did not have: hosts
/// that start together then share the engines out by what they know of each other.
const SETTLE_TIME: Duration = Duration::from_millis(600);
/// Claims that are due so soon go with one that is due, instead of a read and a write of
/// their own; less than hosts wait for one that comes before them.
const CLAIM_BATCH: Duration = Duration::from_millis(100);
/// Between two writes at most that the store refuses or does not answer: well under a lease.
const WRITE_PAUSE_MAX: Duration = Duration::from_millis(2_000);
/// Claims in one write, which holds 100 entries at most: a condition and a row for each
/// claim, as many for the leases that it ends, and the host's own.
const CLAIMS_MAX: usize = 24;
/// How long a host that answered counts as one whose lease lasts: well under a lease and the
/// rest behind it, so that no successor comes later for it.
const HEARD_FOR: Duration = Duration::from_secs(8);
/// How long after its lease's end a host counts as one that lives: without a free engine
/// nothing is read, and renewals are not seen.
const SEEN_FOR: Duration = Duration::from_secs(30);
/// Orders stop that long before the lease's end: an order's way to the engine.
const ORDER_MARGIN_MS: u64 = 300;

impl LeaseBook {
    /// Makes the book of an entry host that holds nothing.
    pub fn new(host: Arc<str>, address: SocketAddr, zone: Arc<str>, times: LeaseTimes) -> Self {
        LeaseBook {
            host,
            address,
            zone,
            link_mbps: 0,
            times,
            clock: None,
            hosts: BTreeMap::new(),
            claims: BTreeMap::new(),
            revision: None,
            own: None,
            fences: BTreeMap::new(),
            engines: BTreeMap::new(),
            heard_at: BTreeMap::new(),
            free_since: BTreeMap::new(),
            ranks: BTreeMap::new(),
            stale: true,
            read_at: Duration::ZERO,
            read_ms: 0,
            reads: Backoff::new(REREAD_PAUSE, READ_PAUSE_MAX),
            writes: Backoff::new(REREAD_PAUSE, WRITE_PAUSE_MAX),
            write_at: Duration::ZERO,
        }
    }

    /// Tells the other hosts what the host's link carries, in Mbit a second.
    pub fn set_link(&mut self, link_mbps: u32) {
        self.link_mbps = link_mbps;
    }

    /// Takes over which engines there are, and whether each is of the host's own zone.
    pub fn set_engines(&mut self, engines: BTreeMap<Arc<str>, bool>) {
        self.fences.retain(|engine, _| engines.contains_key(engine));
        self.free_since.retain(|engine, _| engines.contains_key(engine));
        self.ranks.retain(|engine, _| engines.contains_key(engine));
        self.engines = engines;
    }

    /// Takes over the table, or what changed in it, from an answer of the store.
    pub fn on_read(&mut self, table: LeaseTable, whole: bool, sent_at: Duration, now: Duration) {
        self.on_clock(table.shown_ms, sent_at, now);
        if whole {
            self.hosts.clear();
            self.claims.clear();
        }
        self.hosts.extend(table.hosts.into_iter().map(|row| (row.holder.clone(), row)));
        self.claims.extend(table.claims.into_iter().map(|row| (row.engine.clone(), row)));
        self.ranks.clear();
        self.heard_at.retain(|_, at| now < *at + HEARD_FOR);
        self.revision = Some(table.revision);
        self.stale = false;
        self.read_at = now;
        self.read_ms = table.shown_ms;
        self.reads.on_success();
        self.check_own();
    }

    /// Gives up what another host has taken over.
    fn check_own(&mut self) {
        let row = self.hosts.get(&self.host).filter(|row| row.until_ms > 0);
        match (row, &mut self.own) {
            // A renewal whose answer was lost took effect if the row shows it.
            (Some(row), Some(own)) => own.until_ms = own.until_ms.max(row.until_ms),
            (Some(_), None) => {}
            (None, own) => {
                *own = None;
                self.fences.clear();
            }
        }
        let (claims, host) = (&self.claims, &self.host);
        self.fences.retain(|engine, _| claims.get(engine).is_some_and(|row| row.holder == *host));
    }

    /// Reports that the store no longer keeps the changes asked for.
    pub fn on_history_lost(&mut self) {
        self.revision = None;
        self.stale = true;
    }

    /// Reports that rows were written at `revision`.
    pub fn on_written(
        &mut self,
        write: LeaseWrite,
        revision: u64,
        shown_ms: u64,
        sent_at: Duration,
        now: Duration,
    ) {
        self.on_clock(shown_ms, sent_at, now);
        self.writes.on_success();
        let settled_at = self.own.map_or(now + SETTLE_TIME, |own| own.settled_at);
        let renew_at = self.renew_at(sent_at);
        self.own = Some(Own { until_ms: write.host.until_ms, renew_at, settled_at });
        self.hosts.insert(self.host.clone(), HostLease { revision, ..write.host });
        for row in write.ended {
            self.hosts.insert(row.holder.clone(), HostLease { revision, ..row });
        }
        for row in write.claims {
            self.free_since.remove(&row.engine);
            self.fences.insert(row.engine.clone(), revision);
            self.claims.insert(row.engine.clone(), Claim { revision, ..row });
        }
    }

    /// Returns when a lease written at `sent_at` is renewed: in a zone of many hosts at moments
    /// of the store's clock that are the same for all, so that one write may renew them all.
    fn renew_at(&self, sent_at: Duration) -> Duration {
        let renew = self.times.renew;
        let Some(clock_ms) = self.latest_ms(sent_at) else { return sent_at + renew };
        if self.neighbours(sent_at).count() < ZONE_HOSTS_MIN {
            return sent_at + renew;
        }
        let renew_ms = renew.as_millis() as u64;
        let wanted_ms = clock_ms + renew_ms;
        // Half a period earlier or later at most, which a lease bears.
        let at_ms = (wanted_ms + renew_ms / 2) / renew_ms * renew_ms;
        sent_at + Duration::from_millis(at_ms.saturating_sub(clock_ms))
    }

    /// Reports that a row was not as expected, so that nothing was written.
    pub fn on_conflict(&mut self) {
        self.stale = true;
    }

    /// Reports that the store refused a write or did not answer; the next one follows after
    /// a while, which grows.
    pub fn on_write_failed(&mut self, now: Duration) {
        self.stale = true;
        // Hosts that failed together do not try together.
        self.write_at = now + self.writes.on_failure().mul_f64(0.5 + self.lot());
    }

    /// Reports that the table could not be read; it is read again after a while, which
    /// grows while the store refuses.
    pub fn on_read_failed(&mut self, now: Duration, refused: bool) {
        self.read_at = now;
        if refused {
            self.reads.on_failure();
        } else {
            self.reads.on_success();
        }
    }

    /// Reports that a host answered as one whose lease lasts.
    ///
    /// Its engines are then not taken for free, though its renewals were not read.
    pub fn on_heard(&mut self, holder: &Arc<str>, now: Duration) {
        self.heard_at.insert(holder.clone(), now);
    }

    /// Returns the revision up to which the table is known.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Says which leases last, for hosts that do not read the table themselves.
    pub fn leases_last(&self, now: Duration) -> LeasesLast {
        let earliest_ms = self.earliest_ms(now);
        let known_ms = earliest_ms + self.times.renew.as_millis() as u64 / 2;
        let until_ms = self.hosts.values().map(|host| host.until_ms).filter(|ms| *ms >= known_ms);
        let is_near_its_end = |host: &&HostLease| (earliest_ms..known_ms).contains(&host.until_ms);
        let except = self.hosts.values().filter(is_near_its_end);
        LeasesLast {
            until_ms: until_ms.min().unwrap_or(0),
            except: except.map(|host| host.holder.clone()).collect(),
        }
    }

    /// Takes over from a host that reads the table which leases last.
    ///
    /// One that has lapsed, by what is known here, is not brought back by hearsay: its engines
    /// may have gone to another host.
    pub fn on_leases_last(&mut self, last: &LeasesLast, now: Duration) {
        let earliest_ms = self.earliest_ms(now);
        for host in self.hosts.values_mut() {
            let lasts = host.until_ms >= earliest_ms && !last.except.contains(&host.holder);
            if lasts && host.holder != self.host {
                host.until_ms = host.until_ms.max(last.until_ms);
            }
        }
    }

    /// Reports that another host was seen to hold an engine, as from its answer.
    pub fn on_doubt(&mut self) {
        self.stale = true;
    }

    /// Returns the fencing token for orders to an engine, if the host may give any.
    pub fn fence(&self, engine: &str, now: Duration) -> Option<u64> {
        let fence = *self.fences.get(engine)?;
        let until_ms = self.own?.until_ms;
        (self.latest_ms(now)? + ORDER_MARGIN_MS < until_ms).then_some(fence)
    }

    /// Returns the entry host that is known to hold an engine, and its address.
    pub fn holder(&self, engine: &str) -> Option<(&Arc<str>, SocketAddr)> {
        let claim = self.claims.get(engine)?;
        let host = self.hosts.get(&claim.holder)?;
        Some((&claim.holder, host.address))
    }

    /// Lists the leases of the entry hosts that live, as last read.
    pub fn hosts(&self, now: Duration) -> impl Iterator<Item = &HostLease> {
        let earliest_ms = self.earliest_ms(now);
        let kept_ms = SEEN_FOR.as_millis() as u64;
        self.hosts.values().filter(move |host| {
            host.until_ms > 0 && host.until_ms.saturating_add(kept_ms) > earliest_ms
        })
    }

    /// Lists the leases of the entry hosts that lived when the table was last read, however long
    /// ago: the store may be away since.
    pub fn hosts_as_read(&self) -> impl Iterator<Item = &HostLease> {
        let kept_ms = SEEN_FOR.as_millis() as u64;
        self.hosts.values().filter(move |host| {
            host.until_ms > 0 && host.until_ms.saturating_add(kept_ms) > self.read_ms
        })
    }

    /// Lists the engines that the host may order.
    pub fn owned(&self, now: Duration) -> Vec<Arc<str>> {
        let owned = self.fences.keys().filter(|engine| self.fence(engine, now).is_some());
        owned.cloned().collect()
    }

    /// Answers what to do next.
    pub fn next(&mut self, now: Duration) -> LeaseNext {
        if self.stale || self.clock.is_none() {
            let at = self.read_at + self.reads.pause();
            let first = self.read_at == Duration::ZERO;
            let read = LeaseNext::Read(self.revision);
            return if first || at <= now { read } else { LeaseNext::Wait(at) };
        }
        if self.write_at > now {
            return LeaseNext::Wait(self.write_at);
        }
        let Some(own) = self.own.filter(|own| own.renew_at > now) else {
            // Alone, so that no other host's claim can make the renewal fail. What a process
            // before this one claimed goes along.
            return LeaseNext::Write(self.write(self.claimed_before(), now));
        };
        let claims = self.claim_times(own, now);
        let Some(next) = claims.iter().map(|(_, at)| *at).min() else {
            return LeaseNext::Wait(own.renew_at);
        };
        if next > now {
            return LeaseNext::Wait(next.min(own.renew_at));
        }
        // Others may have renewed or claimed since.
        if self.read_at + CLAIM_FRESH < now {
            return LeaseNext::Read(self.revision);
        }
        let due = claims.into_iter().filter(|(_, at)| *at <= now + CLAIM_BATCH);
        let due = due.map(|(engine, _)| engine);
        let share = self.share(now);
        let room = share - self.fences.len() % share;
        let due = due.take(room.min(CLAIMS_MAX)).collect();
        LeaseNext::Write(self.write(due, now))
    }

    fn write(&self, engines: Vec<Arc<str>>, now: Duration) -> LeaseWrite {
        let until_ms = self.latest_ms(now).unwrap_or(0) + self.times.lease.as_millis() as u64;
        let host = HostLease {
            holder: self.host.clone(),
            address: self.address,
            zone: self.zone.clone(),
            link_mbps: self.link_mbps,
            until_ms,
            revision: self.hosts.get(&self.host).map_or(0, |row| row.revision),
        };
        let holders: BTreeSet<&Arc<str>> =
            engines.iter().filter_map(|engine| Some(&self.claims.get(engine)?.holder)).collect();
        let others = holders.into_iter().filter(|holder| **holder != self.host);
        let lapsed = others.filter_map(|holder| self.hosts.get(holder)).cloned();
        let (mut ended, ended_before): (Vec<HostLease>, Vec<HostLease>) =
            lapsed.partition(|lease| lease.until_ms > 0);
        ended.iter_mut().for_each(|lease| lease.until_ms = 0);
        let claim = |engine: Arc<str>| {
            let revision = self.claims.get(&engine).map_or(0, |row| row.revision);
            Claim { engine, holder: self.host.clone(), revision }
        };
        let claims = engines.into_iter().map(claim).collect();
        LeaseWrite { host, claims, ended, ended_before, renewed: Vec::new() }
    }

    fn on_clock(&mut self, shown_ms: u64, sent_at: Duration, received_at: Duration) {
        self.clock = Some(StoreClock { shown_ms, sent_at, received_at });
    }

    /// Returns the earliest moment that the store's clock can show, `None` before it answered.
    pub fn shown_ms(&self, now: Duration) -> Option<u64> {
        self.clock.is_some().then(|| self.earliest_ms(now))
    }

    /// Returns the latest moment that the store's clock can show.
    fn latest_ms(&self, now: Duration) -> Option<u64> {
        let clock = self.clock?;
        Some(clock.shown_ms + now.saturating_sub(clock.sent_at).as_millis() as u64 + 1)
    }

    /// Returns the earliest moment that the store's clock can show.
    fn earliest_ms(&self, now: Duration) -> u64 {
        self.clock.map_or(0, |clock| {
            clock.shown_ms + now.saturating_sub(clock.received_at).as_millis() as u64
        })
    }
}
