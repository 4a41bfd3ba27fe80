//! The monotonic clock that the pure machines are driven by.

use std::time::{Duration, Instant};

/// Tells the time since it was made; clones agree.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts at zero.
    pub fn start() -> Self {
        Clock { started: Instant::now() }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::start()
    }
}
