//! Batched lease renewals.
//!
//! Hundreds of hosts that each renew a lease every few seconds would overload the store. One
//! host of the zone, the delegate, therefore writes the renewals of all hosts that request it,
//! and the number of store calls grows with the number of zones instead of hosts.
//!
//! Every row keeps the revision condition that its host set, and every host counts its lease
//! from the moment of its request. A delegate that stalls, is partitioned or crashes during a
//! write therefore costs its zone only a short delay, after which each host writes its own
//! renewal.

use crate::lease::HostLease;
use crate::prelude::*;

/// How long the first renewal waits for others. Hosts renew at the same moments of the store's
/// clock, so their requests arrive close together.
pub const RENEWAL_BATCH_DELAY: Duration = Duration::from_millis(200);
/// A write holds at most 100 entries; each renewal takes two, a condition and a row.
const RENEWALS_PER_WRITE_MAX: usize = 48;
/// Age from which a renewal is dropped. The host that requested it has given up on it by then,
/// for example because the delegate stalled.
const RENEWAL_AGE_MAX: Duration = Duration::from_millis(1_000);

/// Collects renewals for the next write, each with where to send its result.
#[derive(Debug)]
pub struct RenewalBatch<T> {
    pending: Vec<(HostLease, T, Duration)>,
}

impl<T> Default for RenewalBatch<T> {
    fn default() -> Self {
        RenewalBatch { pending: Vec::new() }
    }
}

impl<T> RenewalBatch<T> {
    /// Adds a renewal requested at `now`.
    pub fn add(&mut self, lease: HostLease, reply_to: T, now: Duration) {
        // A host that requests again has given up on its first request.
        self.pending.retain(|(other, ..)| other.holder != lease.holder);
        self.pending.push((lease, reply_to, now));
    }

    /// Returns when the next write is due, `None` without renewals.
    pub fn due_at(&self) -> Option<Duration> {
        let first = self.pending.iter().map(|(_, _, at)| *at).min()?;
        let is_full = self.pending.len() >= RENEWALS_PER_WRITE_MAX;
        Some(if is_full { first } else { first + RENEWAL_BATCH_DELAY })
    }

    /// Removes and returns the renewals of the next write; drops renewals that are too old.
    pub fn take_batch(&mut self, now: Duration) -> Vec<(HostLease, T)> {
        self.pending.retain(|(_, _, at)| now <= *at + RENEWAL_AGE_MAX);
        let count = self.pending.len().min(RENEWALS_PER_WRITE_MAX);
        self.pending.drain(..count).map(|(lease, reply_to, _)| (lease, reply_to)).collect()
    }
}
