//! When to try again what is away.
//!
//! Answers the pattern of a store that fails for seconds: every host asks it again and
//! again, for nothing, just when it has the least to give. A lost answer or a reset is made
//! good at once all the same, and the return of the store shows within the longest pause.

use crate::prelude::*;

/// Doubles the pause between tries, up to a limit.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    failures: u32,
}

impl Backoff {
    /// Makes one that has seen no failure.
    pub const fn new(first: Duration, longest: Duration) -> Self {
        Backoff { first, longest, failures: 0 }
    }

    /// Reports a failure; returns the pause before the next try.
    pub fn on_failure(&mut self) -> Duration {
        let pause = self.pause();
        self.failures = self.failures.saturating_add(1);
        pause
    }

    /// Reports that it worked.
    pub fn on_success(&mut self) {
        self.failures = 0;
    }

    /// Returns the pause that the next failure would bring.
    pub fn pause(&self) -> Duration {
        let doubled = self.first.checked_mul(1_u32.checked_shl(self.failures).unwrap_or(u32::MAX));
        doubled.unwrap_or(self.longest).min(self.longest)
    }
}
