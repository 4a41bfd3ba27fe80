//! Exclusive ownership of engines by leases.
//!
//! Engines need not check who sends their commands. At most one entry host may therefore send
//! commands to an engine at a time, and a new owner starts only when no command of the previous
//! owner can still arrive.
//!
//! Each host has one lease, a row that it renews. Each engine has a claim, a row with the host
//! that owns the engine while that host's lease is valid. Claims change only when an engine
//! changes its owner, so reads and writes grow with the number of hosts and not with the number
//! of engines. Every row is written on the condition that its revision is the one last read.
//! The revision of the write that claimed an engine is the fencing number. It keeps rising when
//! the store comes back from an older copy, see [`revision`](crate::revision).
//!
//! A host that claims an engine of a host with an expired lease revokes that lease in the same
//! write. A late renewal of the revoked lease then fails, and the previous owner has to start
//! over.
//!
//! Leases expire by the store's clock, which every response of the store contains. An owner
//! assumes the latest time that this clock can show and stops early; a new owner assumes the
//! earliest and starts late. No host needs a synchronized clock.

mod claims;
mod eras;
mod lost_owners;
mod reads;
mod release;
mod released_engines;
mod rows;
mod summary;

use std::collections::BTreeSet;
use std::net::SocketAddr;

pub use rows::{
    Claim, EraCondition, EraStart, HostLease, LeaseAction, LeaseSummary, LeaseTable, LeaseTimes,
    LeaseWrite, NewEra,
};

use self::eras::InheritedEngine;
pub use self::eras::LostEngine;
use self::released_engines::ReleasedEngines;
use crate::backoff::Backoff;
use crate::prelude::*;
use crate::revision::revision_era;
use crate::watch::ZONE_HOSTS_MIN;

#[derive(Clone, Copy, Debug)]
struct StoreClock {
    /// The store's clock in its last response, in milliseconds.
    store_time_ms: u64,
    sent_at: Duration,
    received_at: Duration,
}

/// The lease of this host.
#[derive(Clone, Copy, Debug)]
struct OwnLease {
    until_ms: u64,
    /// When the write of the lease was sent. A lease never lasts longer than from then on,
    /// whatever the store's clock showed.
    sent_at: Duration,
    renew_at: Duration,
    /// The earliest time to claim an engine that this host did not own before. By then the
    /// table contains the hosts that started at the same time.
    first_claim_at: Duration,
}

/// Decides when one entry host renews its lease and claims engines.
#[derive(Debug)]
pub struct LeaseManager {
    host: Arc<str>,
    address: SocketAddr,
    zone: Arc<str>,
    link_mbps: u32,
    times: LeaseTimes,
    clock: Option<StoreClock>,
    hosts: BTreeMap<Arc<str>, HostLease>,
    claims: BTreeMap<Arc<str>, Claim>,
    /// The revision up to which the table was read.
    revision: Option<u64>,
    own_lease: Option<OwnLease>,
    /// Whether the lease was given up, as the process stops.
    is_released: bool,
    /// The fencing numbers of the engines that this process claimed.
    fences: BTreeMap<Arc<str>, u64>,
    /// Engines that this host or others released.
    released: ReleasedEngines,
    /// The latest known era of the store.
    era: Option<u64>,
    /// Whether the store came back from an older copy while this process ran.
    has_era_risen: bool,
    /// Whether the whole deployment starts for the first time, so that an empty table is no copy.
    is_first_start: bool,
    /// Whether the table was empty at the first read, although the deployment has run before.
    lacks_rows: bool,
    /// The start of the current era, if it is marked.
    era_start: Option<EraStart>,
    /// The revision of the mark of all eras; 0 if there is none.
    era_mark: u64,
    /// Earlier eras with a start row.
    ended_eras: Vec<u64>,
    /// Engines that this host owned in an earlier era and has not claimed in this one.
    inherited: BTreeMap<Arc<str>, InheritedEngine>,
    /// Engines of earlier eras that were lost and not reported yet.
    lost_engines: Vec<LostEngine>,
    /// The end of the lease in the last write, and when that was sent.
    last_write: Option<(u64, Duration)>,
    /// All engines; the value is whether the engine is in this host's zone.
    engines: BTreeMap<Arc<str>, bool>,
    /// When each host last responded to this one as an owner.
    responded_at: BTreeMap<Arc<str>, Duration>,
    /// Since when the owners do not respond that did not respond to this host's last request.
    silent_since: BTreeMap<Arc<str>, Duration>,
    /// Since when each engine has had no owner with a valid lease.
    free_since: BTreeMap<Arc<str>, Duration>,
    /// How many hosts rank before this one for each engine.
    ranks: BTreeMap<Arc<str>, u32>,
    is_stale: bool,
    read_at: Duration,
    /// The store's clock at the last read, in milliseconds.
    read_store_ms: u64,
    read_backoff: Backoff,
    write_backoff: Backoff,
    /// The earliest time of the next write.
    next_write_at: Duration,
}

/// The maximum delay between two reads while the store rejects them.
const READ_BACKOFF_MAX: Duration = Duration::from_millis(1_000);
/// The maximum age of the table when engines are claimed. It has to be less than
/// `CLAIM_DELAY_PER_RANK`, otherwise a host does not see the claims of the hosts that rank
/// before it.
const CLAIM_TABLE_AGE_MAX: Duration = Duration::from_millis(60);
/// The delay before a stale table is read again, and before the retry after a first failure.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(250);
/// The delay between a host's first lease and its first claim of an engine that it did not own
/// before. Hosts that start at the same time then know of each other and divide the engines
/// evenly.
const FIRST_CLAIM_DELAY: Duration = Duration::from_millis(600);
/// Claims that become due within this time are written together with one that is due, which
/// saves a read and a write each. It has to be less than `CLAIM_DELAY_PER_RANK`, otherwise a
/// host overtakes the hosts that rank before it.
const CLAIM_BATCH_WINDOW: Duration = Duration::from_millis(100);
/// The maximum delay between two writes that the store rejects or leaves unanswered. It has to
/// be well under a lease's duration, otherwise the lease expires during the backoff.
const WRITE_BACKOFF_MAX: Duration = Duration::from_millis(2_000);
/// A write holds at most 100 entries: a condition and a row for each claim, the same for each
/// lease that it revokes, and the host's own lease.
const CLAIMS_PER_WRITE_MAX: usize = 24;
/// How long the lease of a host that responded counts as valid without a read. It is well under
/// a lease's duration plus the takeover delay; a longer time would delay takeovers.
const RESPONSE_VALIDITY: Duration = Duration::from_secs(8);
/// How long a host counts as live after its lease expired as last read. While no engine is
/// free, the table is not read and renewals stay unseen.
const EXPIRED_LEASE_GRACE: Duration = Duration::from_secs(30);
/// Commands stop this long before the lease expires, which covers a command's transit time to
/// the engine.
const COMMAND_MARGIN_MS: u64 = 300;

impl LeaseManager {
    /// Creates the lease manager of an entry host that owns no engines.
    pub fn new(host: Arc<str>, address: SocketAddr, zone: Arc<str>, times: LeaseTimes) -> Self {
        LeaseManager {
            host,
            address,
            zone,
            link_mbps: 0,
            times,
            clock: None,
            hosts: BTreeMap::new(),
            claims: BTreeMap::new(),
            revision: None,
            own_lease: None,
            is_released: false,
            fences: BTreeMap::new(),
            released: ReleasedEngines::default(),
            era: None,
            has_era_risen: false,
            is_first_start: true,
            lacks_rows: false,
            era_start: None,
            era_mark: 0,
            ended_eras: Vec::new(),
            inherited: BTreeMap::new(),
            lost_engines: Vec::new(),
            last_write: None,
            engines: BTreeMap::new(),
            responded_at: BTreeMap::new(),
            silent_since: BTreeMap::new(),
            free_since: BTreeMap::new(),
            ranks: BTreeMap::new(),
            is_stale: true,
            read_at: Duration::ZERO,
            read_store_ms: 0,
            read_backoff: Backoff::new(RETRY_DELAY_MIN, READ_BACKOFF_MAX),
            write_backoff: Backoff::new(RETRY_DELAY_MIN, WRITE_BACKOFF_MAX),
            next_write_at: Duration::ZERO,
        }
    }

    /// Sets the capacity of the host's network link, in Mbit/s, which its lease publishes.
    pub fn set_link_mbps(&mut self, link_mbps: u32) {
        self.link_mbps = link_mbps;
    }

    /// Sets whether the whole deployment starts for the first time.
    pub fn set_first_start(&mut self, is_first_start: bool) {
        self.is_first_start = is_first_start;
    }

    /// Sets the existing engines, and whether each is in the host's zone.
    pub fn set_engines(&mut self, engines: BTreeMap<Arc<str>, bool>) {
        self.fences.retain(|engine, _| engines.contains_key(engine));
        self.released.retain(&engines);
        self.inherited.retain(|engine, _| engines.contains_key(engine));
        self.free_since.retain(|engine, _| engines.contains_key(engine));
        self.ranks.retain(|engine, _| engines.contains_key(engine));
        self.engines = engines;
    }

    /// Records a successful write at `revision`.
    pub fn on_written(
        &mut self,
        write: LeaseWrite,
        revision: u64,
        store_time_ms: u64,
        sent_at: Duration,
        now: Duration,
    ) {
        if self.is_released {
            // The write was sent before; others may have claimed the engines since.
            return;
        }
        self.on_era(revision_era(revision), now);
        if write.era != self.era() || !self.is_current(revision) {
            // The store came back meanwhile; the rows that the write replaced were others.
            self.is_stale = true;
            return;
        }
        self.set_store_clock(store_time_ms, sent_at, now);
        self.write_backoff.on_success();
        if let EraCondition::Starts(new_era) = write.era_condition {
            let started_ms = new_era.started_ms;
            self.era_start = Some(EraStart { era: write.era, started_ms, revision });
            self.era_mark = revision;
            self.ended_eras.clear();
        }
        let first_claim_at =
            self.own_lease.map_or(now + FIRST_CLAIM_DELAY, |own| own.first_claim_at);
        let renew_at = self.renew_at(sent_at);
        let until_ms = write.host.until_ms;
        self.own_lease = Some(OwnLease { until_ms, sent_at, renew_at, first_claim_at });
        let era = write.era;
        self.hosts.insert(self.host.clone(), HostLease { revision, era, ..write.host });
        for row in write.revoked {
            self.hosts.insert(row.holder.clone(), HostLease { revision, era, ..row });
        }
        for row in write.claims {
            self.free_since.remove(&row.engine);
            self.inherited.remove(&row.engine);
            self.released.on_claim_written(&row);
            if row.released_ms.is_none() {
                self.fences.insert(row.engine.clone(), revision);
            }
            self.claims.insert(row.engine.clone(), Claim { revision, era, ..row });
        }
    }

    /// Returns when to renew a lease written at `sent_at`.
    ///
    /// In a zone of many hosts, all hosts renew at the same moments of the store's clock, so
    /// that one write can renew all their leases.
    fn renew_at(&self, sent_at: Duration) -> Duration {
        let renewal_interval = self.times.renewal_interval;
        let Some(clock_ms) = self.latest_ms(sent_at) else { return sent_at + renewal_interval };
        if self.zone_hosts(sent_at).count() < ZONE_HOSTS_MIN {
            return sent_at + renewal_interval;
        }
        let renewal_interval_ms = renewal_interval.as_millis() as u64;
        let wanted_ms = clock_ms + renewal_interval_ms;
        // Shifts the renewal by at most half an interval, which the lease's duration allows.
        let at_ms =
            (wanted_ms + renewal_interval_ms / 2) / renewal_interval_ms * renewal_interval_ms;
        sent_at + Duration::from_millis(at_ms.saturating_sub(clock_ms))
    }

    /// Records a write that failed because a row had another revision than expected.
    pub fn on_conflict(&mut self) {
        self.is_stale = true;
    }

    /// Records a write that the store rejected or left unanswered; schedules the next write
    /// with backoff.
    pub fn on_write_failed(&mut self, now: Duration) {
        self.is_stale = true;
        // Jitter: hosts whose writes failed together do not retry together.
        self.next_write_at =
            now + self.write_backoff.on_failure().mul_f64(0.5 + self.jitter_fraction());
    }

    /// Records that a host responded as the owner of an engine.
    ///
    /// Its lease then counts as valid although its renewals were not read.
    pub fn on_peer_response(&mut self, holder: &Arc<str>, now: Duration) {
        self.responded_at.insert(holder.clone(), now);
        self.silent_since.remove(holder);
    }

    /// Returns the revision up to which the table was read.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Records that the known owner of an engine replied that it does not own the engine; the
    /// table is read again.
    pub fn on_not_owner(&mut self, holder: &str) {
        self.silent_since.remove(holder);
        self.is_stale = true;
    }

    /// Returns the fencing number for commands to an engine, if this host may send them.
    pub fn fence(&self, engine: &str, now: Duration) -> Option<u64> {
        let Some(token) = self.fences.get(engine) else {
            return self.inherited_fence(engine, now);
        };
        (now < self.commands_until(now)?).then_some(*token)
    }

    /// Returns the entry host that owns an engine as last read, and its address; `None` if the engine
    /// was released.
    pub fn owner_of(&self, engine: &str) -> Option<(&Arc<str>, SocketAddr)> {
        let claim = self.claims.get(engine).filter(|claim| claim.released_ms.is_none())?;
        let host = self.hosts.get(&claim.holder)?;
        Some((&claim.holder, host.address))
    }

    /// Returns the leases of the entry hosts that count as live at `now`.
    pub fn live_hosts(&self, now: Duration) -> impl Iterator<Item = &HostLease> {
        let earliest_ms = self.earliest_ms(now);
        let grace_ms = EXPIRED_LEASE_GRACE.as_millis() as u64;
        self.hosts.values().filter(move |host| {
            host.until_ms > 0 && host.until_ms.saturating_add(grace_ms) > earliest_ms
        })
    }

    /// Returns how long ago, at least, an earlier process of this host ended, as its lease shows until
    /// this process writes one.
    pub fn predecessor_age(&self, now: Duration) -> Option<Duration> {
        let own_row = self.hosts.get(&self.host).filter(|row| row.until_ms > 0)?;
        let age_ms = self.earliest_ms(now).saturating_sub(own_row.until_ms);
        self.own_lease.is_none().then(|| Duration::from_millis(age_ms))
    }

    /// Returns when the leases were last read.
    pub fn read_at(&self) -> Duration {
        self.read_at
    }

    /// Returns the leases of the entry hosts that were live when the table was last read.
    ///
    /// The last read may be long ago if the store is unavailable.
    pub fn live_hosts_at_last_read(&self) -> impl Iterator<Item = &HostLease> {
        let grace_ms = EXPIRED_LEASE_GRACE.as_millis() as u64;
        self.hosts.values().filter(move |host| {
            host.until_ms > 0 && host.until_ms.saturating_add(grace_ms) > self.read_store_ms
        })
    }

    /// Returns the engines to which this host may send commands.
    pub fn owned_engines(&self, now: Duration) -> Vec<Arc<str>> {
        let owned_engines = self.fences.keys().chain(self.inherited.keys());
        let owned_engines = owned_engines.filter(|engine| self.fence(engine, now).is_some());
        owned_engines.cloned().collect()
    }

    /// Returns the next action.
    pub fn next_action(&mut self, now: Duration) -> LeaseAction {
        if let Some(action) = self.action_after_release(now) {
            return action;
        }
        if self.is_stale || self.clock.is_none() {
            let at = self.read_at + self.read_backoff.delay();
            let first = self.read_at == Duration::ZERO;
            let read = LeaseAction::Read(self.revision);
            return if first || at <= now { read } else { LeaseAction::Wait(at) };
        }
        if self.next_write_at > now {
            return LeaseAction::Wait(self.next_write_at);
        }
        let Some(own_lease) = self.own_lease.filter(|own| own.renew_at > now) else {
            // A renewal contains no new claims, because another host's claim could make the
            // whole write fail. Engines that a previous process on this host claimed are
            // included.
            let mut engines = self.unclaimed_inherited(now);
            engines.extend(self.claimed_by_previous_process(now));
            engines.truncate(CLAIMS_PER_WRITE_MAX);
            return LeaseAction::Write(self.build_write(engines, now));
        };
        let inherited = self.unclaimed_inherited(now);
        if !inherited.is_empty() {
            return LeaseAction::Write(self.build_write(inherited, now));
        }
        let releases = self.unwritten_releases(now);
        if !releases.is_empty() {
            return LeaseAction::Write(self.build_release(releases, now));
        }
        let claims = self.claim_times(own_lease, now);
        let next = claims.iter().map(|(_, at)| *at).min();
        let read_at = self.unowned_read_at(now).filter(|_| next.is_none_or(|at| at > now));
        if read_at.is_some_and(|at| at <= now) {
            return LeaseAction::Read(self.revision);
        }
        let wait_until = read_at.map_or(own_lease.renew_at, |at| at.min(own_lease.renew_at));
        let Some(next) = next else { return LeaseAction::Wait(wait_until) };
        if next > now {
            return LeaseAction::Wait(next.min(wait_until));
        }
        // Other hosts may have renewed or claimed since the last read.
        if self.read_at + CLAIM_TABLE_AGE_MAX < now {
            return LeaseAction::Read(self.revision);
        }
        let due = claims.into_iter().filter(|(_, at)| *at <= now + CLAIM_BATCH_WINDOW);
        let due = due.map(|(engine, _)| engine);
        let share = self.fair_share(now);
        let claims_left = share - self.fences.len() % share;
        let due = due.take(claims_left.min(CLAIMS_PER_WRITE_MAX)).collect();
        LeaseAction::Write(self.build_write(due, now))
    }

    fn build_write(&mut self, engines: Vec<Arc<str>>, now: Duration) -> LeaseWrite {
        let until_ms = self.latest_ms(now).unwrap_or(0) + self.times.lease_ttl.as_millis() as u64;
        self.last_write = Some((until_ms, now));
        let host = HostLease {
            holder: self.host.clone(),
            address: self.address,
            zone: self.zone.clone(),
            link_mbps: self.link_mbps,
            until_ms,
            revision: self.hosts.get(&self.host).map_or(0, |row| row.revision),
            era: self.era(),
        };
        // The owner that the copy names for an inherited engine lost it in the earlier era, but
        // may own others.
        let claimed = engines.iter().filter(|engine| !self.inherited.contains_key(*engine));
        // The owner that released an engine keeps its lease, and others of its engines.
        let claims = claimed.filter_map(|engine| self.claims.get(engine));
        let unreleased = claims.filter(|claim| claim.released_ms.is_none());
        let holders: BTreeSet<&Arc<str>> = unreleased.map(|claim| &claim.holder).collect();
        let other_holders = holders.into_iter().filter(|holder| **holder != self.host);
        let expired = other_holders.filter_map(|holder| self.hosts.get(holder)).cloned();
        let (mut revoked, already_revoked): (Vec<HostLease>, Vec<HostLease>) =
            expired.partition(|lease| lease.until_ms > 0);
        revoked.iter_mut().for_each(|lease| lease.until_ms = 0);
        let claim = |engine: Arc<str>| {
            let revision = self.claims.get(&engine).map_or(0, |row| row.revision);
            let (holder, era) = (self.host.clone(), self.era());
            Claim { engine, holder, revision, era, released_ms: None }
        };
        let claims = engines.into_iter().map(claim).collect();
        let (era, era_condition) = (self.era(), self.era_condition(now));
        let renewed = Vec::new();
        LeaseWrite { era, era_condition, host, claims, revoked, already_revoked, renewed }
    }

    fn set_store_clock(&mut self, store_time_ms: u64, sent_at: Duration, received_at: Duration) {
        self.clock = Some(StoreClock { store_time_ms, sent_at, received_at });
    }

    /// Returns the earliest time that the store's clock can show, in milliseconds; `None`
    /// before its first response.
    pub fn store_time_ms(&self, now: Duration) -> Option<u64> {
        self.clock.is_some().then(|| self.earliest_ms(now))
    }

    /// Returns the latest time that the store's clock can show at `at`, which may lie before the
    /// store's last response, in milliseconds.
    fn latest_ms(&self, at: Duration) -> Option<u64> {
        let StoreClock { store_time_ms, sent_at, .. } = self.clock?;
        let before_ms = sent_at.saturating_sub(at).as_millis() as u64;
        let after_ms = at.saturating_sub(sent_at).as_millis() as u64;
        Some(store_time_ms.saturating_sub(before_ms) + after_ms + 1)
    }

    fn takeover_delay_ms(&self) -> u64 {
        self.times.takeover_delay.as_millis() as u64
    }

    /// Returns the earliest time that the store's clock can show, in milliseconds.
    fn earliest_ms(&self, now: Duration) -> u64 {
        self.clock.map_or(0, |clock| {
            clock.store_time_ms + now.saturating_sub(clock.received_at).as_millis() as u64
        })
    }
}
