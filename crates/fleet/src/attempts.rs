//! The decision whether a failed request is sent to another server.
//!
//! A request counts as sent from its first byte. Only an explicit rejection by the server, or a
//! connection that never opened, proves that the request did not run. Without such proof, a request
//! that is not repeatable must not be sent again.

use crate::catalog::Route;

/// Failed connections and rejections after which a request is given up.
const REFUSALS_MAX: u32 = 4;

/// The outcome of an attempt that produced no response to forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No byte of the request was sent.
    NotSent,
    /// The server reported that it did not run the request.
    Refused,
    /// The request may have run.
    Unknown,
}

/// The decision after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The request may be sent to another server.
    TryNext,
    /// The request is given up and has not run.
    NotRun,
    /// The request is given up and may have run.
    MayHaveRun,
}

/// Counts the attempts of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Attempts {
    sent_count: u32,
    refusals: u32,
    possible_runs: u32,
}

impl Attempts {
    /// Records that the request was sent to a server.
    pub fn on_sent(&mut self) {
        self.sent_count += 1;
    }

    /// Returns the number of servers to which the request was sent.
    pub fn sent_count(&self) -> u32 {
        self.sent_count
    }

    /// Returns whether the request certainly has not run on any server.
    pub fn has_not_run(&self) -> bool {
        self.possible_runs == 0
    }

    /// Records the outcome of an attempt and decides whether to send the request again.
    pub fn on_outcome(&mut self, route: &Route, outcome: AttemptOutcome) -> RetryDecision {
        match outcome {
            AttemptOutcome::NotSent | AttemptOutcome::Refused => self.refusals += 1,
            AttemptOutcome::Unknown => self.possible_runs += 1,
        }
        if self.possible_runs == 0 {
            return if self.refusals < REFUSALS_MAX {
                RetryDecision::TryNext
            } else {
                RetryDecision::NotRun
            };
        }
        let can_repeat = self.possible_runs < route.attempts_max && self.refusals < REFUSALS_MAX;
        if route.is_repeatable() && can_repeat {
            RetryDecision::TryNext
        } else {
            RetryDecision::MayHaveRun
        }
    }
}
