//! Whether an engine breaks off what it is sent.
//!
//! Answers the pattern of an engine that is listed as ready and takes orders, while
//! connections for requests are refused or break. With many entry hosts each sends it a
//! few requests, and each would learn of it by requests of its own. The owner of the
//! engine's orders is asked before each request and told how it ended, so that it knows
//! after a few of them, and turns the others away before they are sent.

use guavaspread_placement::Demand;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Requests in a row that break from which an engine is no longer used: one or two may meet
/// a connection that an engine dropped while it was idle.
const BROKEN_MAX: u32 = 3;
/// How long a request that broke counts towards a row; an engine that breaks all gets
/// several a second.
const COUNTS_FOR: Duration = Duration::from_millis(1_000);
/// Between two requests that try an engine again: engines that go down and up by turns are
/// back after a second.
const TRIAL_PAUSE: Duration = Duration::from_millis(250);
/// How long after the last failure an engine is used again without a trial, as one that no
/// request can try.
const REOPEN_AFTER: Duration = Duration::from_millis(2_500);

/// Half-life of what a host knows of all engines: a host ends some 15 requests in it.
const BREAKAGE_HALF_LIFE: Duration = Duration::from_millis(1_000);
/// Share of a host's requests that break from which no engine is left for it: more than two
/// engines in ten would have to break all they get.
const GENERAL_SHARE: f64 = 0.2;

/// Tells how a request ended at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ended {
    /// With a whole answer.
    Whole,
    /// The connection was refused, or ended before the answer did.
    Broken,
    /// Otherwise, as when the caller left.
    #[default]
    Open,
}

/// Decides whether an engine is sent requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaker {
    /// Requests that broke since the last one that began and got a whole answer.
    broken: u32,
    broken_at: Duration,
    /// When the next request may try an engine that is not used.
    trial_at: Option<Duration>,
}

impl Breaker {
    /// Reports how a request ended that was allowed at `began`.
    pub fn on_ended(&mut self, ended: Ended, began: Duration, now: Duration) {
        match ended {
            // An engine may finish what it runs and break off all that is new.
            Ended::Whole if began < self.broken_at => {}
            Ended::Whole => {
                self.broken = 0;
                self.trial_at = None;
            }
            Ended::Broken => {
                if now >= self.broken_at + COUNTS_FOR {
                    self.broken = 0;
                }
                self.broken += 1;
                self.broken_at = now;
                if self.broken >= BROKEN_MAX || self.trial_at.is_some() {
                    self.trial_at = Some(now + TRIAL_PAUSE);
                }
            }
            Ended::Open => {}
        }
    }

    /// Tells whether the engine is used; if not, only [`Breaker::try_again`] allows a request.
    pub fn is_closed(&self, now: Duration) -> bool {
        self.trial_at.is_none() || now >= self.broken_at + REOPEN_AFTER
    }

    /// Allows a request to an engine that is not used, once in a while.
    pub fn try_again(&mut self, now: Duration) -> bool {
        let due = self.trial_at.is_none_or(|at| at <= now);
        if due && self.trial_at.is_some() {
            self.trial_at = Some(now + TRIAL_PAUSE);
        }
        due
    }
}

/// Follows how many requests break over all engines, as one host sees it.
///
/// Where answers of all engines are lost, leaving one for another only costs loads.
#[derive(Clone, Copy, Debug, Default)]
pub struct Breakage {
    whole: Demand,
    broken: Demand,
}

impl Breakage {
    /// Reports how a request ended at any engine.
    pub fn on_ended(&mut self, ended: Ended, now: Duration) {
        match ended {
            Ended::Whole => self.whole.add(now, BREAKAGE_HALF_LIFE, 1.0),
            Ended::Broken => self.broken.add(now, BREAKAGE_HALF_LIFE, 1.0),
            Ended::Open => {}
        }
    }

    /// Tells whether requests break in so many places that no engine is better than another.
    pub fn is_general(&self, now: Duration) -> bool {
        let broken = self.broken.count(now, BREAKAGE_HALF_LIFE);
        let whole = self.whole.count(now, BREAKAGE_HALF_LIFE);
        broken > (broken + whole) * GENERAL_SHARE
    }
}
