//! How long work takes on one server, compared with the usual.

use crate::prelude::*;

/// Half-life of the weight of the last figure: about half of the moments for which a server is
/// slowed. With a longer one, a server is avoided after its moment is over.
const LAST_HALF_LIFE: Duration = Duration::from_millis(300);
/// Half-life of the mean: longer than the moments for which a server is slowed.
const MEAN_HALF_LIFE: Duration = Duration::from_secs(5);
/// The range in which a figure counts. One false figure would otherwise draw all requests to a
/// server, or keep all away.
const PACE_MIN: f64 = 0.25;
const PACE_MAX: f64 = 4.0;

/// The pace of one server; 1 is the usual, 2 means that work takes twice as long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Pace {
    mean: f64,
    last: f64,
    at: Duration,
}

impl Pace {
    /// Creates the pace from the first figure.
    pub(super) fn new(figure: f64, now: Duration) -> Self {
        let figure = figure.clamp(PACE_MIN, PACE_MAX);
        Pace { mean: figure, last: figure, at: now }
    }

    /// Applies a further figure.
    pub(super) fn on_figure(&mut self, figure: f64, now: Duration) {
        let figure = figure.clamp(PACE_MIN, PACE_MAX);
        // The figure before held for the time until now.
        let weight = decay(now.saturating_sub(self.at), MEAN_HALF_LIFE);
        self.mean = self.mean * weight + self.last * (1.0 - weight);
        (self.last, self.at) = (figure, now);
    }

    /// Returns the pace that is to be expected now.
    pub(super) fn expected(&self, now: Duration) -> f64 {
        let weight = decay(now.saturating_sub(self.at), LAST_HALF_LIFE);
        self.last * weight + self.mean * (1.0 - weight)
    }
}

fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
