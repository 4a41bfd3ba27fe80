//! Release of a lease by a host that stops.

use super::{COMMAND_MARGIN_MS, LeaseAction, LeaseManager, LeaseWrite};
use crate::prelude::*;

impl LeaseManager {
    /// Gives up the lease and returns the write that ends it; `None` if there is no lease.
    ///
    /// No command may be sent from then on. The engines can be claimed by other hosts when the delay of
    /// a takeover is over, and by a new process of this host at once.
    pub fn release(&mut self, now: Duration) -> Option<LeaseWrite> {
        self.is_released = true;
        let own_lease = self.own_lease?;
        let mut write = self.build_write(Vec::new(), now);
        // The last command may be on its way.
        let until_ms = self.latest_ms(now)?.saturating_add(COMMAND_MARGIN_MS);
        write.host.until_ms = until_ms.min(own_lease.until_ms);
        self.own_lease = None;
        self.fences.clear();
        self.inherited.clear();
        Some(write)
    }

    /// Returns the action of a host that has released its lease.
    pub(super) fn action_after_release(&self, now: Duration) -> Option<LeaseAction> {
        self.is_released.then(|| LeaseAction::Wait(now + self.times.lease_ttl))
    }
}
