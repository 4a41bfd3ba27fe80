//! Which engines a host claims, and when.
//!
//! Answers the pattern of many hosts that see the same engines free at once, as after a start
//! or when a host is lost: they have a common order for each engine and a common idea of each
//! host's share, so that nearly all of their writes succeed.

use guavaspread_model::rendezvous_score;

use super::{CLAIMS_MAX, HEARD_FOR, HostLease, LeaseBook, Own};
use crate::prelude::*;

/// Lets hosts that come before this one claim first; a write takes some 10 ms.
const CLAIM_DELAY_PER_RANK: Duration = Duration::from_millis(150);
/// Beyond that many hosts the others no longer wait longer.
const RANK_MAX: u32 = 4;
/// Lets hosts that hold fewer engines claim first.
const CLAIM_DELAY_PER_SHARE: Duration = Duration::from_millis(600);
/// Lets hosts of the engine's own zone claim first.
const CLAIM_DELAY_FAR: Duration = Duration::from_millis(3_000);
/// Spreads the claims of all hosts: the store writes some 300 transactions a second to a
/// table, and a burst of more than a second of them makes all of them late.
const CLAIM_SPREAD_PER_HOST: Duration = Duration::from_millis(5);

impl LeaseBook {
    /// Lists engines that a process before this one claimed on the same host.
    pub(super) fn claimed_before(&self) -> Vec<Arc<str>> {
        let mine = self.claims.values().filter(|claim| {
            claim.holder == self.host
                && self.engines.contains_key(&claim.engine)
                && !self.fences.contains_key(&claim.engine)
        });
        mine.take(CLAIMS_MAX).map(|claim| claim.engine.clone()).collect()
    }

    /// Lists the engines that the host may claim, and from when on.
    pub(super) fn claim_times(&mut self, own: Own, now: Duration) -> Vec<(Arc<str>, Duration)> {
        let free: Vec<(Arc<str>, bool)> = self
            .engines
            .iter()
            .filter(|(engine, _)| self.is_free(engine, now))
            .map(|(engine, near)| (engine.clone(), *near))
            .collect();
        self.free_since
            .retain(|engine, _| free.binary_search_by(|(other, _)| other.cmp(engine)).is_ok());
        let held = CLAIM_DELAY_PER_SHARE * (self.fences.len() / self.share(now)) as u32;
        let spread = CLAIM_SPREAD_PER_HOST * self.hosts(now).count() as u32;
        let settled_at = own.settled_at + spread.mul_f64(self.lot());
        let mut times = Vec::with_capacity(free.len());
        for (engine, near) in free {
            let is_own = self.claims.get(&engine).is_some_and(|claim| claim.holder == self.host);
            if is_own {
                times.push((engine, now));
                continue;
            }
            let since = *self.free_since.entry(engine.clone()).or_insert(now);
            let ranked = CLAIM_DELAY_PER_RANK * self.rank(&engine, now);
            let far = if near { Duration::ZERO } else { CLAIM_DELAY_FAR };
            times.push((engine, since.max(settled_at) + ranked + held + far));
        }
        times
    }

    /// Tells whether no host may order an engine any more, and this one has not claimed it.
    fn is_free(&self, engine: &Arc<str>, now: Duration) -> bool {
        if self.fences.contains_key(engine) {
            return false;
        }
        let Some(claim) = self.claims.get(engine) else {
            return true;
        };
        if claim.holder == self.host {
            return true;
        }
        if self.heard_at.get(&claim.holder).is_some_and(|at| now < *at + HEARD_FOR) {
            return false;
        }
        // A lease that is not known, as one whose row can't be read, may last.
        let Some(HostLease { until_ms, .. }) = self.hosts.get(&claim.holder) else {
            return false;
        };
        let quarantine_ms = self.times.quarantine.as_millis() as u64;
        *until_ms == 0 || self.earliest_ms(now) >= until_ms.saturating_add(quarantine_ms)
    }

    /// Lists the hosts of the zone whose leases last.
    pub(super) fn neighbours(&self, now: Duration) -> impl Iterator<Item = &HostLease> {
        let earliest_ms = self.earliest_ms(now);
        self.hosts
            .values()
            .filter(move |host| host.zone == self.zone && host.until_ms > earliest_ms)
    }

    /// Returns a number from 0 to 1 that each host draws for itself.
    pub fn lot(&self) -> f64 {
        rendezvous_score("claims", &self.host) as f64 / u64::MAX as f64
    }

    /// Returns the host's share of the zone's engines.
    pub(super) fn share(&self, now: Duration) -> usize {
        let engines = self.engines.values().filter(|near| **near).count();
        engines.div_ceil(self.neighbours(now).count().max(1)).max(1)
    }

    /// Returns how many hosts of the zone come before this one for an engine.
    fn rank(&mut self, engine: &Arc<str>, now: Duration) -> u32 {
        if let Some(rank) = self.ranks.get(engine) {
            return *rank;
        }
        let mine = (rendezvous_score(engine, &self.host), &self.host);
        let before = self
            .neighbours(now)
            .filter(|host| (rendezvous_score(engine, &host.holder), &host.holder) > mine);
        let rank = before.take(RANK_MAX as usize).count() as u32;
        self.ranks.insert(engine.clone(), rank);
        rank
    }
}
