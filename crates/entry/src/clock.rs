//! The time since the process started.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Reads a clock that also counts while the machine is suspended.
///
/// A lease must not seem valid to a process that slept through its end.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Starts at zero.
    pub fn start() -> Self {
        Clock { start: boot_time() }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        boot_time().saturating_sub(self.start)
    }
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}
