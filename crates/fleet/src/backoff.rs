//! Exponential backoff for retries.
//!
//! Guards against a retry storm: while the store is unavailable for seconds, every host would
//! retry again and again, and add load when the store has the least capacity. Callers may retry
//! a lost response or a connection reset at once, without recording a failure. The maximum
//! delay bounds how late a host notices that the store has recovered.

use crate::prelude::*;

/// Doubles the delay after each consecutive failure, up to a maximum.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff without failures.
    pub const fn new(initial: Duration, max: Duration) -> Self {
        Backoff { initial, max, failures: 0 }
    }

    /// Records a failure and returns the delay before the next attempt.
    pub fn on_failure(&mut self) -> Duration {
        let delay = self.delay();
        self.failures = self.failures.saturating_add(1);
        delay
    }

    /// Records a success, which resets the delay.
    pub fn on_success(&mut self) {
        self.failures = 0;
    }

    /// Returns the delay that the next failure would cause.
    pub fn delay(&self) -> Duration {
        let doubled =
            self.initial.checked_mul(1_u32.checked_shl(self.failures).unwrap_or(u32::MAX));
        doubled.unwrap_or(self.max).min(self.max)
    }
}
