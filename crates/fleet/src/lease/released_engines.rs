//! Release of single engines that their owner does not reach; the owner keeps its lease.
//!
//! The owner sends no more commands and writes into the claim until when its last one may arrive.
//! Another host may claim the engine when the takeover delay after that time is over. The owner
//! itself may claim it again at any time: every claim is written on the condition of the claim's
//! revision, so no other host has claimed it in between.
//!
//! A host claims a released engine only if it has just reached it. Otherwise an engine that responds
//! to nobody would pass from host to host.

use super::{CLAIMS_PER_WRITE_MAX, COMMAND_MARGIN_MS, Claim, LeaseManager, LeaseWrite};
use crate::prelude::*;

/// How long a response of an engine shows that this host reaches it. Covers the delays of a claim
/// by rank, a read and a write of the table.
const REACHED_TTL: Duration = Duration::from_secs(3);
/// Interval between two probes of an engine by its last owner, which may claim it at once.
const OWNER_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two probes of an engine by each other host.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time before a released engine may be claimed from which other hosts probe it.
const PROBE_LEAD_MS: u64 = 500;
/// How long a host that released an engine claims no engine that it has not reached: it may be
/// partitioned from all of them.
const RELEASER_CAUTION_TIME: Duration = Duration::from_secs(30);
/// Interval between two reads of the table while a released engine has no new owner. Hosts that do
/// not reach the engine learn of its new owner by these reads.
const RELEASED_READ_INTERVAL: Duration = Duration::from_secs(1);
/// The least interval of these reads for each host, which limits the reads of many hosts to 100
/// per second.
const READ_INTERVAL_PER_HOST: Duration = Duration::from_millis(10);

/// What a host knows of engines that were released.
#[derive(Debug, Default)]
pub(super) struct ReleasedEngines {
    /// Engines that this host released and whose claims still name it as the owner; the value is
    /// the time until which its last command may arrive, in milliseconds of the store's clock.
    unwritten: BTreeMap<Arc<str>, u64>,
    /// When engines that this host does not own last responded to it.
    reached_at: BTreeMap<Arc<str>, Duration>,
    probed_at: BTreeMap<Arc<str>, Duration>,
    /// Until when this host claims only engines that it has reached.
    cautious_until: Duration,
}

impl ReleasedEngines {
    pub(super) fn on_claim_written(&mut self, claim: &Claim) {
        self.unwritten.remove(&claim.engine);
        self.reached_at.remove(&claim.engine);
        self.probed_at.remove(&claim.engine);
    }

    pub(super) fn retain(&mut self, engines: &BTreeMap<Arc<str>, bool>) {
        self.unwritten.retain(|engine, _| engines.contains_key(engine));
        self.reached_at.retain(|engine, _| engines.contains_key(engine));
        self.probed_at.retain(|engine, _| engines.contains_key(engine));
    }
}

impl LeaseManager {
    /// Releases an engine that this host does not reach; returns whether this host owned it by its
    /// current lease.
    ///
    /// No command may be sent to it from then on; the last one was sent at `last_command_at` at the
    /// latest. The claim is written with the next action.
    pub fn release_engine(
        &mut self,
        engine: &Arc<str>,
        last_command_at: Duration,
        now: Duration,
    ) -> bool {
        let Some(last_command_ms) = self.latest_ms(last_command_at) else { return false };
        if self.fences.remove(engine).is_none() {
            return false;
        }
        let released_ms = last_command_ms.saturating_add(COMMAND_MARGIN_MS);
        self.released.unwritten.insert(engine.clone(), released_ms);
        self.released.reached_at.remove(engine);
        self.released.cautious_until = now + RELEASER_CAUTION_TIME;
        true
    }

    /// Returns the engines that this host should probe now, because it may claim them if it reaches
    /// them.
    pub fn engines_to_probe(&mut self, now: Duration) -> Vec<Arc<str>> {
        let engines = self.engines.keys().filter(|engine| {
            let interval = match self.claims.get(*engine) {
                Some(claim) if claim.holder == self.host => OWNER_PROBE_INTERVAL,
                Some(_) | None => PROBE_INTERVAL,
            };
            let is_over = |at: Option<&Duration>, time| at.is_none_or(|at| now >= *at + time);
            is_over(self.released.probed_at.get(*engine), interval)
                && is_over(self.released.reached_at.get(*engine), REACHED_TTL - PROBE_INTERVAL)
                && self.needs_reach(engine, now)
                && self.is_free_within(engine, PROBE_LEAD_MS, now)
        });
        let engines: Vec<Arc<str>> = engines.cloned().collect();
        self.released.probed_at.extend(engines.iter().map(|engine| (engine.clone(), now)));
        engines
    }

    /// Records that an engine responded to this host, which does not own it.
    pub fn on_engine_reached(&mut self, engine: &Arc<str>, now: Duration) {
        self.released.reached_at.insert(engine.clone(), now);
        self.released.unwritten.remove(engine);
    }

    /// Returns whether this host may claim an engine only if it reaches the engine.
    fn needs_reach(&self, engine: &str, now: Duration) -> bool {
        now < self.released.cautious_until || self.released_until_ms(engine).is_some()
    }

    /// Returns whether an engine has to be reached before this host may claim it.
    pub(super) fn lacks_reach(&self, engine: &str, now: Duration) -> bool {
        let reached_at = self.released.reached_at.get(engine);
        let is_reached = reached_at.is_some_and(|at| now < *at + REACHED_TTL);
        !is_reached && self.needs_reach(engine, now)
    }

    /// Returns until when the last command of the owner that released an engine may arrive, in
    /// milliseconds of the store's clock; `None` if the engine is not released.
    pub(super) fn released_until_ms(&self, engine: &str) -> Option<u64> {
        let unwritten = self.released.unwritten.get(engine).copied();
        unwritten.or_else(|| self.claims.get(engine)?.released_ms)
    }

    /// Returns the time until a released engine may be claimed by other hosts.
    pub(super) fn release_wait(&self, engine: &str, now: Duration) -> Option<Duration> {
        let free_ms = self.released_until_ms(engine)?.saturating_add(self.takeover_delay_ms());
        Some(Duration::from_millis(free_ms.saturating_sub(self.earliest_ms(now))))
    }

    /// Returns the engines whose release is to be written.
    ///
    /// After the store came back from an older copy, another host may own an engine although the
    /// copy names this one, until the leases of the earlier era have expired.
    pub(super) fn unwritten_releases(&self, now: Duration) -> Vec<Arc<str>> {
        let is_settled = self.is_settled(now);
        let is_own = |claim: &&Claim| {
            claim.holder == self.host
                && claim.released_ms.is_none()
                && (claim.era == self.era() || is_settled)
        };
        let unwritten = self.released.unwritten.keys();
        let own = unwritten.filter(|engine| self.claims.get(*engine).is_some_and(|c| is_own(&c)));
        own.take(CLAIMS_PER_WRITE_MAX).cloned().collect()
    }

    /// Builds the write that releases engines and renews the lease.
    pub(super) fn build_release(&mut self, engines: Vec<Arc<str>>, now: Duration) -> LeaseWrite {
        let mut write = self.build_write(engines, now);
        for claim in &mut write.claims {
            claim.released_ms = self.released.unwritten.get(&claim.engine).copied();
        }
        write
    }

    /// Returns when to read the table because a released engine may have a new owner; `None` if no
    /// engine is released.
    pub(super) fn released_read_at(&self, now: Duration) -> Option<Duration> {
        let released = self.engines.keys().filter(|engine| !self.fences.contains_key(*engine));
        let wait = released.filter_map(|engine| self.release_wait(engine, now)).min()?;
        let interval = RELEASED_READ_INTERVAL
            .max(READ_INTERVAL_PER_HOST * self.live_hosts(now).count() as u32);
        Some((self.read_at + interval).max(now + wait))
    }
}
