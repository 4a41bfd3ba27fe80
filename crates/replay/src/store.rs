//! Simulated weight store in virtual time.

use std::time::Duration;

/// Maximum number of concurrent loads at full speed.
const FULL_SPEED_LOADS_MAX: f64 = 2.0;
/// Loads in flight across all servers beyond which each load takes proportionally longer.
const LOADS_IN_FLIGHT_MAX: f64 = 16.0;

/// Model of the duration of adapter loads.
pub(crate) struct WeightStore {
    rate: f64,
    load_time: Duration,
    factor: f64,
    loads_in_flight: u32,
    /// Tokens left in the bucket that limits the rate of loads; negative if loads wait.
    tokens: f64,
    tokens_at: Duration,
}

impl WeightStore {
    pub(crate) fn new(rate: f64, load_time: Duration) -> Self {
        let tokens_at = Duration::ZERO;
        WeightStore { rate, load_time, factor: 1.0, loads_in_flight: 0, tokens: rate, tokens_at }
    }

    /// Sets the factor by which loads take longer.
    pub(crate) fn set_factor(&mut self, factor: f64) {
        self.factor = factor;
    }

    /// Admits a load and returns its duration, including the wait for the rate limit.
    pub(crate) fn start_load(&mut self, now: Duration) -> Duration {
        let refill = now.saturating_sub(self.tokens_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + refill).min(self.rate) - 1.0;
        self.tokens_at = now;
        self.loads_in_flight += 1;
        let rate_delay = Duration::from_secs_f64((-self.tokens / self.rate).max(0.0));
        let loads_in_flight = f64::from(self.loads_in_flight);
        let slowdown = (loads_in_flight / FULL_SPEED_LOADS_MAX)
            .max(loads_in_flight / LOADS_IN_FLIGHT_MAX)
            .max(1.0);
        rate_delay + self.load_time.mul_f64(slowdown * self.factor)
    }

    /// Records the end of a load.
    pub(crate) fn finish_load(&mut self) {
        self.loads_in_flight = self.loads_in_flight.saturating_sub(1);
    }
}
