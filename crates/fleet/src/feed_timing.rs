//! How often a feed of the store is read, so that a silent channel is noticed in time.
//!
//! A channel may fall silent without a reset. Only the timeout of a read shows it, and the changes
//! since the read before it are known after the next one. The interval between two reads and the
//! wait of a read in the store therefore share what is left of the time in which a host has to be
//! up to date.

use crate::prelude::*;

/// The interval between two reads of a feed, and how long a read may wait for a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedTiming {
    /// The time between a response and the next read.
    pub interval: Duration,
    /// The longest time that the store may wait for a change.
    pub wait: Duration,
}

impl FeedTiming {
    /// Shortens the times to a sum of at most `sum_max`: the wait, and the interval only if the
    /// wait is `wait_min` already.
    ///
    /// A read that does not wait returns at once, so that a shorter interval means more calls,
    /// whereas a shorter wait means more calls only while nothing changes.
    pub fn bounded(self, sum_max: Duration, wait_min: Duration) -> Self {
        let wait_min = wait_min.min(self.wait);
        let interval = self.interval.min(sum_max.saturating_sub(wait_min));
        let wait = self.wait.min(sum_max.saturating_sub(interval));
        FeedTiming { interval, wait }
    }
}
