//! What a host still does in a planned stop, by the time that is left.
//!
//! A request that is refused before it was sent may be repeated at another host at once. One that
//! was sent and then cut off may have run, and its caller may not repeat it.

use crate::prelude::*;

/// The phases of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// Requests are refused from this time on. Until then, the load balancer sends them here.
    refuses_from: Duration,
    /// When the requests that are left are given up.
    ends_at: Duration,
    /// When the process exits, even if responses are not sent.
    exits_at: Duration,
}

/// What a stopping host does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopAction {
    /// Wait for the responses that are left.
    Wait,
    /// Answer the requests whose responses have not begun.
    GiveUp,
    /// Exit.
    Exit,
}

impl StopSchedule {
    /// Creates the schedule of a stop that begins now.
    ///
    /// `notice_time` is how long the load balancer takes to notice, `grace` the time until requests
    /// are given up, and `answer_time` the time after that in which these are answered.
    pub fn new(
        now: Duration,
        notice_time: Duration,
        grace: Duration,
        answer_time: Duration,
    ) -> Self {
        let ends_at = now + grace;
        StopSchedule { refuses_from: now + notice_time, ends_at, exits_at: ends_at + answer_time }
    }

    /// Returns whether a request that arrives now is accepted.
    pub fn accepts_requests(&self, now: Duration) -> bool {
        now < self.refuses_from.min(self.ends_at)
    }

    /// Returns whether a request may be sent to a server now, if its response ends by `response_end`
    /// at the latest.
    ///
    /// A request that is sent as soon as it arrives mostly ends long before its time limit. One that
    /// had to wait is sent only if it certainly ends in time.
    pub fn can_send(&self, now: Duration, response_end: Duration) -> bool {
        self.accepts_requests(now) || response_end <= self.ends_at
    }

    /// Returns what to do next while responses are left, or not.
    pub fn next_action(&self, now: Duration, has_responses_left: bool) -> StopAction {
        match has_responses_left {
            _ if now >= self.exits_at => StopAction::Exit,
            true if now >= self.ends_at => StopAction::GiveUp,
            true => StopAction::Wait,
            // Callers still come here until the load balancer has noticed.
            false if self.accepts_requests(now) => StopAction::Wait,
            false => StopAction::Exit,
        }
    }
}
