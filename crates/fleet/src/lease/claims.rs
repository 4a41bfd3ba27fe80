//! Which engines a host claims, and when.
//!
//! Many hosts find the same engines free at the same time, for example after a cold start or
//! the loss of a host. All hosts compute the same ranking for each engine and the same fair
//! share for each host, so that nearly all of their writes succeed.

use guavaspread_model::rendezvous_score;

use super::{CLAIMS_PER_WRITE_MAX, HostLease, LeaseManager, OwnLease, RESPONSE_VALIDITY};
use crate::prelude::*;

/// Lets hosts that rank before this one claim first; a write takes about 10 ms.
const CLAIM_DELAY_PER_RANK: Duration = Duration::from_millis(150);
/// Limits the rank, and with it the delay, of hosts that rank far back.
const RANK_MAX: u32 = 4;
/// Lets hosts that own fewer engines claim first.
const CLAIM_DELAY_PER_SHARE: Duration = Duration::from_millis(600);
/// Lets hosts in the engine's zone claim first.
const CLAIM_DELAY_OTHER_ZONE: Duration = Duration::from_millis(3_000);
/// The same delays for released engines. They are short, because only hosts that have just reached
/// the engine claim it, and often several engines are released at once. Most hosts of the engine's zone
/// rank before its end.
const CLAIM_DELAY_RELEASED_OTHER_ZONE: Duration = Duration::from_millis(300);
const CLAIM_DELAY_RELEASED_PER_SHARE: Duration = Duration::from_millis(150);
/// Spreads the first claims of all hosts. The store executes about 300 transactions per second
/// on a table; a burst that takes it longer than a second delays all of them.
const CLAIM_SPREAD_PER_HOST: Duration = Duration::from_millis(5);

impl LeaseManager {
    /// Returns the engines that a previous process on this host claimed.
    ///
    /// A claim of an earlier era may have been lost to another host since.
    pub(super) fn claimed_by_previous_process(&self, now: Duration) -> Vec<Arc<str>> {
        let is_settled = self.is_settled(now);
        let own_claims = self.claims.values().filter(|claim| {
            claim.holder == self.host
                && (claim.era == self.era() || is_settled)
                && !self.inherited.contains_key(&claim.engine)
                && self.engines.contains_key(&claim.engine)
                && !self.fences.contains_key(&claim.engine)
                && !self.lacks_reach(&claim.engine, now)
        });
        own_claims.take(CLAIMS_PER_WRITE_MAX).map(|claim| claim.engine.clone()).collect()
    }

    /// Returns the engines that the host may claim, each with the earliest time to claim it.
    pub(super) fn claim_times(
        &mut self,
        own_lease: OwnLease,
        now: Duration,
    ) -> Vec<(Arc<str>, Duration)> {
        let free: Vec<(Arc<str>, bool)> = self
            .engines
            .iter()
            .filter(|(engine, _)| self.is_free_within(engine, 0, now))
            .map(|(engine, is_same_zone)| (engine.clone(), *is_same_zone))
            .collect();
        self.free_since
            .retain(|engine, _| free.binary_search_by(|(other, _)| other.cmp(engine)).is_ok());
        let shares = (self.fences.len() / self.fair_share(now)) as u32;
        let claim_spread = CLAIM_SPREAD_PER_HOST * self.live_hosts(now).count() as u32;
        let first_claim_at =
            own_lease.first_claim_at + claim_spread.mul_f64(self.jitter_fraction());
        let mut times = Vec::with_capacity(free.len());
        for (engine, is_same_zone) in free {
            if self.lacks_reach(&engine, now) {
                self.free_since.entry(engine).or_insert(now);
                continue;
            }
            let is_own = self.claims.get(&engine).is_some_and(|claim| claim.holder == self.host);
            if is_own {
                times.push((engine, now));
                continue;
            }
            let free_since = *self.free_since.entry(engine.clone()).or_insert(now);
            let rank_delay = CLAIM_DELAY_PER_RANK * self.rank(&engine, now);
            let (per_share, other_zone) = match self.released_until_ms(&engine) {
                Some(_) => (CLAIM_DELAY_RELEASED_PER_SHARE, CLAIM_DELAY_RELEASED_OTHER_ZONE),
                None => (CLAIM_DELAY_PER_SHARE, CLAIM_DELAY_OTHER_ZONE),
            };
            let share_delay = per_share * shares;
            let zone_delay = if is_same_zone { Duration::ZERO } else { other_zone };
            times.push((
                engine,
                free_since.max(first_claim_at) + rank_delay + share_delay + zone_delay,
            ));
        }
        times
    }

    /// Returns whether an engine may be claimed within `lead_ms`: no other host may then still send
    /// it commands, and this process has not claimed it.
    pub(super) fn is_free_within(&self, engine: &Arc<str>, lead_ms: u64, now: Duration) -> bool {
        if self.fences.contains_key(engine) || self.inherited.contains_key(engine) {
            return false;
        }
        let claim = self.claims.get(engine);
        if claim.is_none_or(|claim| claim.era < self.era()) && !self.is_settled(now) {
            return false;
        }
        let Some(claim) = claim else {
            return true;
        };
        if claim.holder == self.host {
            return true;
        }
        let earliest_ms = self.earliest_ms(now).saturating_add(lead_ms);
        if let Some(released_ms) = claim.released_ms {
            return earliest_ms >= released_ms.saturating_add(self.takeover_delay_ms());
        }
        if self.responded_at.get(&claim.holder).is_some_and(|at| now < *at + RESPONSE_VALIDITY) {
            return false;
        }
        // An unknown lease may be valid, for example if its row cannot be decoded.
        let Some(HostLease { until_ms, .. }) = self.hosts.get(&claim.holder) else {
            return false;
        };
        *until_ms == 0 || earliest_ms >= until_ms.saturating_add(self.takeover_delay_ms())
    }

    /// Returns the hosts of this zone with valid leases.
    pub(super) fn zone_hosts(&self, now: Duration) -> impl Iterator<Item = &HostLease> {
        let earliest_ms = self.earliest_ms(now);
        self.hosts
            .values()
            .filter(move |host| host.zone == self.zone && host.until_ms > earliest_ms)
    }

    /// Returns a fraction from 0 to 1 for jitter, derived from the host's name.
    pub fn jitter_fraction(&self) -> f64 {
        rendezvous_score("claims", &self.host) as f64 / u64::MAX as f64
    }

    /// Returns this host's fair share of the zone's engines, rounded up and at least 1.
    pub(super) fn fair_share(&self, now: Duration) -> usize {
        let engines = self.engines.values().filter(|is_same_zone| **is_same_zone).count();
        engines.div_ceil(self.zone_hosts(now).count().max(1)).max(1)
    }

    /// Returns how many hosts of the zone rank before this one for an engine, at most
    /// `RANK_MAX`.
    fn rank(&mut self, engine: &Arc<str>, now: Duration) -> u32 {
        if let Some(rank) = self.ranks.get(engine) {
            return *rank;
        }
        let own_key = (rendezvous_score(engine, &self.host), &self.host);
        let before = self
            .zone_hosts(now)
            .filter(|host| (rendezvous_score(engine, &host.holder), &host.holder) > own_key);
        let rank = before.take(RANK_MAX as usize).count() as u32;
        self.ranks.insert(engine.clone(), rank);
        rank
    }
}
