//! Renewals of many hosts' leases in one write.
//!
//! Answers the load pattern of hundreds of hosts that each renew a lease every few seconds:
//! one host of the zone writes for all that ask it, so that the store's calls grow with the
//! zones. Every row keeps the condition that its host gave it, and every host counts its
//! lease from when it asked. So a delegate that stands still, is cut off or dies in the
//! middle of a write costs its zone a moment: each host then writes for itself.

use crate::lease::HostLease;
use crate::prelude::*;

/// How long the first renewal waits for others; hosts renew at the same moments of the
/// store's clock.
pub const COLLECT_TIME: Duration = Duration::from_millis(200);
/// Renewals in one write: each takes a condition and a row, of 100 entries at most.
const RENEWALS_MAX: usize = 48;
/// Renewals that are older were given up by who asked, as after a delegate stood still.
const AGE_MAX: Duration = Duration::from_millis(1_000);

/// Collects renewals, each with what is needed to answer it.
#[derive(Debug)]
pub struct RenewalGroup<T> {
    waiting: Vec<(HostLease, T, Duration)>,
}

impl<T> Default for RenewalGroup<T> {
    fn default() -> Self {
        RenewalGroup { waiting: Vec::new() }
    }
}

impl<T> RenewalGroup<T> {
    /// Adds a renewal asked for at `now`.
    pub fn join(&mut self, lease: HostLease, asker: T, now: Duration) {
        // One that asks again has given the first one up.
        self.waiting.retain(|(other, ..)| other.holder != lease.holder);
        self.waiting.push((lease, asker, now));
    }

    /// Returns when the next write is due.
    pub fn due_at(&self) -> Option<Duration> {
        let first = self.waiting.iter().map(|(_, _, at)| *at).min()?;
        let is_full = self.waiting.len() >= RENEWALS_MAX;
        Some(if is_full { first } else { first + COLLECT_TIME })
    }

    /// Takes the renewals of the next write; those that are too old are dropped.
    pub fn take(&mut self, now: Duration) -> Vec<(HostLease, T)> {
        self.waiting.retain(|(_, _, at)| now <= *at + AGE_MAX);
        let count = self.waiting.len().min(RENEWALS_MAX);
        self.waiting.drain(..count).map(|(lease, asker, _)| (lease, asker)).collect()
    }
}
