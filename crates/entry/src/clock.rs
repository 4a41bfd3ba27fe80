//! Time since the start of the process.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// A monotonic clock that also advances while the machine is suspended.
///
/// With a clock that stops, a process that resumes after a suspension would treat an expired
/// lease as valid.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Creates a clock that reads zero now.
    pub fn start() -> Self {
        Clock { start: boot_time() }
    }

    /// Returns the time since the clock was created.
    pub fn now(&self) -> Duration {
        boot_time().saturating_sub(self.start)
    }
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}
