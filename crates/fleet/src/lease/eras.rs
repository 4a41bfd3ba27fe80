//! Ownership of engines over a return of the store from an older copy.
//!
//! Leases and claims that were acknowledged shortly before may be gone, and the copy may name
//! former owners. Two rules keep one owner for each engine:
//!
//! - A host that held an engine keeps it until its lease would have expired, and claims it again
//!   in the new era at once. In the earlier era, it was the only owner.
//! - Every other host waits until all leases of earlier eras have expired, by the time in the row
//!   that marks the start of the era.
//!
//! A host that finds an empty table, although the deployment has run before, takes it for a copy from
//! before the first lease.
//!
//! Each write is bound to its era, so that a delayed write of an earlier era fails.

use super::{CLAIMS_PER_WRITE_MAX, COMMAND_MARGIN_MS, EraCondition, LeaseManager, NewEra};
use crate::prelude::*;
use crate::revision::revision_era;

/// Interval between reads of the table while engines wait for the leases of earlier eras to
/// expire: first while their owners claim them again, then for those whose owners are lost.
const CLAIMING_READ_INTERVAL: Duration = Duration::from_millis(500);
const UNSETTLED_READ_INTERVAL: Duration = Duration::from_secs(5);
/// How long after the start of an era its owners usually claim their engines again: the interval
/// in which every host reads a feed.
const CLAIMING_TIME_MS: u64 = 2_000;

/// An engine that this host owned in an earlier era.
#[derive(Clone, Copy, Debug)]
pub(super) struct InheritedEngine {
    /// The fencing number.
    fence: u64,
    /// When this host's lease of the earlier era expires, by its own clock.
    until: Duration,
}

/// An engine that this host lost after the store came back from an older copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostEngine {
    /// The engine's id.
    pub engine: Arc<str>,
    /// The fencing number of the earlier era.
    pub fence: u64,
    /// The host that claimed the engine in the current era; `None` if this host's lease expired
    /// before a claim of its own was written.
    pub owner: Option<Arc<str>>,
}

impl LeaseManager {
    /// Returns the latest known era of the store; `None` before the first response.
    pub fn known_era(&self) -> Option<u64> {
        self.era
    }

    /// Returns the latest known era of the store, 0 before the first response.
    pub fn era(&self) -> u64 {
        self.era.unwrap_or(0)
    }

    /// Records that the store is in `era`; returns whether that is news.
    ///
    /// The table is read again. Engines with a valid lease are kept until it expires.
    pub fn on_era(&mut self, era: u64, now: Duration) -> bool {
        if self.era.is_some_and(|known| era <= known) {
            return false;
        }
        let until = self.commands_until(now);
        for (engine, fence) in std::mem::take(&mut self.fences) {
            if let Some(until) = until.filter(|until| now < *until) {
                self.inherited.insert(engine, InheritedEngine { fence, until });
            }
        }
        self.has_era_risen = self.era.is_some();
        self.era = Some(era);
        self.era_start = None;
        self.era_mark = 0;
        self.own_lease = None;
        self.revision = None;
        self.is_stale = true;
        true
    }

    /// Returns until when this host may send commands under its lease, by its own clock.
    pub(super) fn commands_until(&self, now: Duration) -> Option<Duration> {
        let own_lease = self.own_lease?;
        let margin = Duration::from_millis(COMMAND_MARGIN_MS);
        let by_store = own_lease.until_ms.saturating_sub(self.latest_ms(now)?);
        let by_store = now + Duration::from_millis(by_store);
        let by_host = own_lease.sent_at + self.times.lease_ttl;
        Some(by_store.min(by_host).saturating_sub(margin))
    }

    /// Returns the fencing number of an engine that this host owned in an earlier era.
    pub(super) fn inherited_fence(&self, engine: &str, now: Duration) -> Option<u64> {
        let inherited = self.inherited.get(engine).filter(|inherited| now < inherited.until);
        inherited.map(|inherited| inherited.fence)
    }

    /// Drops the engines of earlier eras that other hosts claimed in this one, and those whose
    /// lease has expired.
    pub(super) fn drop_lost_engines(&mut self, now: Duration) {
        let (claims, host, era) = (&self.claims, &self.host, self.era.unwrap_or(0));
        let lost_engines = &mut self.lost_engines;
        self.inherited.retain(|engine, InheritedEngine { fence, until }| {
            let claim = claims.get(engine).filter(|row| row.era == era && row.holder != *host);
            let is_kept = now < *until && claim.is_none();
            if !is_kept {
                let owner = claim.map(|row| row.holder.clone());
                lost_engines.push(LostEngine { engine: engine.clone(), fence: *fence, owner });
            }
            is_kept
        });
    }

    /// Returns the engines of earlier eras that this host has lost since the last call.
    pub fn take_lost_engines(&mut self) -> Vec<LostEngine> {
        std::mem::take(&mut self.lost_engines)
    }

    /// Returns the engines of earlier eras that this host still has to claim in this one.
    pub(super) fn unclaimed_inherited(&self, now: Duration) -> Vec<Arc<str>> {
        let valid = self.inherited.iter().filter(|(_, inherited)| now < inherited.until);
        valid.map(|(engine, _)| engine.clone()).take(CLAIMS_PER_WRITE_MAX).collect()
    }

    /// Returns the condition of a write at `now`; it creates the start of the era if the store is
    /// known to have come back and no host has marked that yet.
    pub(super) fn era_condition(&self, now: Duration) -> EraCondition {
        match self.era_start {
            Some(start) => EraCondition::Started(start.revision),
            None if !self.needs_era_start() => EraCondition::Unmarked,
            None => EraCondition::Starts(Box::new(NewEra {
                started_ms: self.latest_ms(now).unwrap_or(0),
                mark: self.era_mark,
                ended: self.ended_eras.clone(),
            })),
        }
    }

    /// Returns the condition of a write that only renews leases; `None` if the start of the era
    /// has to be marked first.
    pub fn renewal_condition(&self) -> Option<EraCondition> {
        match self.era_start {
            Some(start) => Some(EraCondition::Started(start.revision)),
            None => (!self.needs_era_start()).then_some(EraCondition::Unmarked),
        }
    }

    fn needs_era_start(&self) -> bool {
        let is_restored = |era: u64| era < self.era();
        self.era_start.is_none()
            && (self.has_era_risen
                || self.lacks_rows
                || self.era_mark > 0
                || self.hosts.values().any(|row| is_restored(row.era))
                || self.claims.values().any(|row| is_restored(row.era)))
    }

    /// Returns when all leases of earlier eras have expired and no command of theirs can arrive,
    /// in milliseconds of the store's clock; `None` if the start of the era is not marked.
    fn settled_at_ms(&self) -> Option<u64> {
        let wait = self.times.lease_ttl + self.times.takeover_delay;
        Some(self.era_start?.started_ms.saturating_add(wait.as_millis() as u64))
    }

    /// Returns whether no host can own an engine by a lease of an earlier era.
    pub(super) fn is_settled(&self, now: Duration) -> bool {
        match self.settled_at_ms() {
            Some(at_ms) => self.earliest_ms(now) >= at_ms,
            None => !self.needs_era_start(),
        }
    }

    /// Returns when to look at the table again while engines without an owner in this era wait;
    /// `None` if none does.
    fn unsettled_read_at(&self, now: Duration) -> Option<Duration> {
        let is_unclaimed =
            |engine: &Arc<str>| self.claims.get(engine).is_none_or(|row| row.era < self.era());
        let is_waiting = !self.is_settled(now) && self.engines.keys().any(is_unclaimed);
        let is_claiming = self
            .era_start
            .is_none_or(|start| self.earliest_ms(now) < start.started_ms + CLAIMING_TIME_MS);
        let interval = if is_claiming { CLAIMING_READ_INTERVAL } else { UNSETTLED_READ_INTERVAL };
        is_waiting.then_some(self.read_at + interval)
    }

    /// Returns when to look at the table again while an engine waits for a new owner; `None` if none
    /// does.
    pub(super) fn unowned_read_at(&self, now: Duration) -> Option<Duration> {
        let times = [self.unsettled_read_at(now), self.released_read_at(now)];
        times.into_iter().flatten().min()
    }

    /// Returns whether a revision is of the current era.
    pub(super) fn is_current(&self, revision: u64) -> bool {
        revision_era(revision) == self.era()
    }
}
