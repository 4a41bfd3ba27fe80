//! How long the engines of an owner that does not respond stay without load commands.
//!
//! An owner whose process was killed usually starts again soon, and claims its engines at once. One
//! that is gone for good, cut off or frozen may send commands until its lease expires, so its
//! engines have no other owner before that.

use super::LeaseManager;
use crate::prelude::*;
use crate::watch::ZONE_HOSTS_MIN;

/// Time in which a process that was killed usually starts again.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Retry delay while the owner may start again.
const RESTART_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time from the moment at which an engine may be claimed to its first load: the delays by rank, a
/// read and a write of the table, and the engine's report.
const CLAIM_TIME: Duration = Duration::from_millis(500);

impl LeaseManager {
    /// Records that the owner of an engine did not respond to this host; returns whether the table is
    /// to be read.
    ///
    /// It is read once the owner counts as lost, since renewals that this host has not read delay the
    /// takeover. One read serves all owners that are lost together. In a zone with a delegate, the
    /// delegate reads and tells of the leases with each renewal.
    pub fn on_peer_silent(&mut self, holder: &Arc<str>, now: Duration) -> bool {
        let since = *self.silent_since.entry(holder.clone()).or_insert(now);
        let lost_at = since + RESTART_TIME;
        let is_read = self.read_at >= lost_at || now < self.read_at + RESTART_TIME;
        let has_delegate = self.zone_hosts(now).count() >= ZONE_HOSTS_MIN;
        let is_due = now >= lost_at && !is_read && !has_delegate && !self.is_stale;
        self.is_stale |= is_due;
        is_due
    }

    /// Returns after which time an adapter may be loaded on an engine that was released or whose owner
    /// does not respond; `None` if neither is known.
    pub fn load_wait(&self, engine: &str, now: Duration) -> Option<Duration> {
        if let Some(wait) = self.release_wait(engine, now) {
            return Some(wait + CLAIM_TIME);
        }
        let claim = self.claims.get(engine)?;
        let since = self.silent_since.get(&claim.holder)?;
        if now < *since + RESTART_TIME {
            return Some(RESTART_RETRY_DELAY);
        }
        // 0 after the lease was revoked with another claim.
        let until_ms = self.hosts.get(&claim.holder).map_or(0, |host| host.until_ms);
        let left = Duration::from_millis(until_ms.saturating_sub(self.earliest_ms(now)));
        let takeover_delay = if until_ms == 0 { Duration::ZERO } else { self.times.takeover_delay };
        let expired_for = Duration::from_millis(self.earliest_ms(now).saturating_sub(until_ms));
        let wait = left.min(self.times.lease_ttl) + takeover_delay;
        Some(wait.saturating_sub(expired_for) + CLAIM_TIME)
    }

    /// Forgets silent owners that the table no longer holds.
    pub(super) fn forget_silent_owners(&mut self) {
        let hosts = &self.hosts;
        self.silent_since.retain(|holder, _| hosts.contains_key(holder));
    }
}
