//! The monotonic clock that supplies the time to the state machines.

use std::time::{Duration, Instant};

/// Measures the time since it was started; copies share the start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts a clock at zero.
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
