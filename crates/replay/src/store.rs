//! The weight store in virtual time.

use std::time::Duration;

/// Loads at once at full speed.
const AT_FULL_SPEED: f64 = 2.0;
/// Loads in transit across all servers beyond which each takes proportionally longer.
const TRANSIT_MAX: f64 = 16.0;

/// Says how long loads take.
pub(crate) struct Store {
    rate: f64,
    load: Duration,
    factor: f64,
    loading: u32,
    credit: f64,
    credit_at: Duration,
}

impl Store {
    pub(crate) fn new(rate: f64, load: Duration) -> Self {
        let credit_at = Duration::ZERO;
        Store { rate, load, factor: 1.0, loading: 0, credit: rate, credit_at }
    }

    pub(crate) fn set_factor(&mut self, factor: f64) {
        self.factor = factor;
    }

    /// Admits a load and returns how long it takes.
    pub(crate) fn start(&mut self, now: Duration) -> Duration {
        let earned = now.saturating_sub(self.credit_at).as_secs_f64() * self.rate;
        self.credit = (self.credit + earned).min(self.rate) - 1.0;
        self.credit_at = now;
        self.loading += 1;
        let owed = Duration::from_secs_f64((-self.credit / self.rate).max(0.0));
        let loading = f64::from(self.loading);
        let crowding = (loading / AT_FULL_SPEED).max(loading / TRANSIT_MAX).max(1.0);
        owed + self.load.mul_f64(crowding * self.factor)
    }

    pub(crate) fn end(&mut self) {
        self.loading = self.loading.saturating_sub(1);
    }
}
