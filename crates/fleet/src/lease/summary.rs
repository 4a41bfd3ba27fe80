//! Summaries of the valid leases, for hosts that do not read the table.

use super::{HostLease, LeaseManager, LeaseSummary};
use crate::prelude::*;

impl LeaseManager {
    /// Returns a summary of the valid leases for hosts that do not read the table themselves.
    pub fn lease_summary(&self, now: Duration) -> LeaseSummary {
        let earliest_ms = self.earliest_ms(now);
        let valid_from_ms = earliest_ms + self.times.renewal_interval.as_millis() as u64 / 2;
        let until_ms =
            self.hosts.values().map(|host| host.until_ms).filter(|ms| *ms >= valid_from_ms);
        let is_near_expiry =
            |host: &&HostLease| (earliest_ms..valid_from_ms).contains(&host.until_ms);
        let except = self.hosts.values().filter(is_near_expiry);
        LeaseSummary {
            until_ms: until_ms.min().unwrap_or(0),
            except: except.map(|host| host.holder.clone()).collect(),
            holder_count: self.live_hosts(now).count(),
        }
    }

    /// Applies a summary of the valid leases from a host that reads the table.
    ///
    /// A lease that has expired according to this host's table stays expired, because another
    /// host may have claimed its engines since.
    pub fn on_lease_summary(&mut self, summary: &LeaseSummary, now: Duration) {
        let earliest_ms = self.earliest_ms(now);
        for host in self.hosts.values_mut() {
            let is_valid = host.until_ms >= earliest_ms && !summary.except.contains(&host.holder);
            if is_valid && host.holder != self.host {
                host.until_ms = host.until_ms.max(summary.until_ms);
            }
        }
    }
}
