//! How long the engines of an owner that does not respond stay without load commands.
//!
//! An owner whose process was killed usually starts again soon, and claims its engines at once. One
//! that is gone for good, cut off or frozen may send commands until its lease expires, so its
//! engines have no other owner before that.

use super::LeaseManager;
use crate::prelude::*;

/// Time in which a process that was killed usually starts again.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Retry delay while the owner may start again.
const RESTART_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time from the moment at which an engine may be claimed to its first load: the delays by rank, a
/// read and a write of the table, and the engine's report.
const CLAIM_TIME: Duration = Duration::from_millis(500);

/// An owner that does not respond.
#[derive(Clone, Copy, Debug)]
pub(super) struct SilentOwner {
    since: Duration,
    /// Whether the table was read since the owner counts as lost.
    is_read: bool,
}

impl LeaseManager {
    /// Records that the owner of an engine did not respond to this host.
    ///
    /// After [`RESTART_TIME`], the table is read once: renewals of the owner's lease that this host
    /// has not read delay the takeover.
    pub fn on_peer_silent(&mut self, holder: &Arc<str>, now: Duration) {
        let first = SilentOwner { since: now, is_read: false };
        let silent = self.silent_owners.entry(holder.clone()).or_insert(first);
        if now >= silent.since + RESTART_TIME && !std::mem::replace(&mut silent.is_read, true) {
            self.is_stale = true;
        }
    }

    /// Returns after which time an adapter may be loaded on an engine whose owner does not respond;
    /// `None` if the owner is not known to be silent.
    pub fn load_wait(&self, engine: &str, now: Duration) -> Option<Duration> {
        let claim = self.claims.get(engine)?;
        let silent = self.silent_owners.get(&claim.holder)?;
        if now < silent.since + RESTART_TIME {
            return Some(RESTART_RETRY_DELAY);
        }
        let until_ms = self.hosts.get(&claim.holder).map_or(0, |host| host.until_ms);
        let takeover_delay = self.times.takeover_delay;
        let wait_ms = match until_ms {
            // The lease was revoked with another claim.
            0 => 0,
            until_ms => {
                (until_ms + takeover_delay.as_millis() as u64).saturating_sub(self.earliest_ms(now))
            }
        };
        Some(Duration::from_millis(wait_ms) + CLAIM_TIME)
    }

    /// Forgets silent owners that the table no longer holds.
    pub(super) fn forget_silent_owners(&mut self) {
        let hosts = &self.hosts;
        self.silent_owners.retain(|holder, _| hosts.contains_key(holder));
    }
}
