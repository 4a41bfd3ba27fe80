//! Whether the owner of an engine reaches it, by the outcomes of its calls.
//!
//! An owner that is partitioned from its engine still holds its lease, but can't load adapters. It
//! stops commands and gives the engine up, so that a host that reaches the engine can claim it.

use crate::prelude::*;

/// Consecutive calls without a response before an engine counts as silent. A lost packet or a
/// closed connection costs one or two.
const FAILED_CALLS_MIN: u32 = 4;
/// How long an engine responds to no call before it counts as silent. With less, the timeouts of
/// two commands would suffice.
const SILENT_TIME: Duration = Duration::from_millis(250);
/// How long an engine responds to no call before it counts as out of reach. Engines that pause for
/// about a second recover by themselves. More delays a takeover only if it exceeds the takeover
/// delay, which counts from the last command.
const OUT_OF_REACH_TIME: Duration = Duration::from_millis(1_500);

/// The outcome of a call to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The engine responded.
    Answered,
    /// No connection could be opened; nothing was sent.
    NotSent,
    /// No response arrived; the engine may have received the call.
    NoResponse,
}

/// Whether an owner reaches its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// The engine responds, apart from a few calls.
    Reached,
    /// The engine responds to no call; it may only pause.
    Silent,
    /// The engine has responded to no call for so long that another host should own it.
    OutOfReach,
}

#[derive(Clone, Copy, Debug)]
struct FailedCalls {
    count: u32,
    /// When the first of them was started.
    since: Duration,
}

/// The outcomes of an owner's calls to one engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineReach {
    /// The calls since the last response.
    failed: Option<FailedCalls>,
    last_command_at: Duration,
}

impl EngineReach {
    /// Records the outcome of a command that was started at `started_at` and ended at `now`.
    pub fn on_command(
        &mut self,
        outcome: CallOutcome,
        started_at: Duration,
        now: Duration,
    ) -> Reach {
        if outcome != CallOutcome::NotSent {
            self.last_command_at = now;
        }
        self.on_call(outcome, started_at, now)
    }

    /// Records the outcome of a call that was started at `started_at` and ended at `now`.
    pub fn on_call(&mut self, outcome: CallOutcome, started_at: Duration, now: Duration) -> Reach {
        self.failed = match (outcome, self.failed) {
            (CallOutcome::Answered, _) => None,
            (CallOutcome::NotSent | CallOutcome::NoResponse, None) => {
                Some(FailedCalls { count: 1, since: started_at })
            }
            (CallOutcome::NotSent | CallOutcome::NoResponse, Some(failed)) => {
                Some(FailedCalls { count: failed.count.saturating_add(1), ..failed })
            }
        };
        self.reach(now)
    }

    /// Returns whether the engine is reached, as of its last call.
    pub fn reach(&self, now: Duration) -> Reach {
        let Some(failed) = self.failed.filter(|failed| failed.count >= FAILED_CALLS_MIN) else {
            return Reach::Reached;
        };
        match now.saturating_sub(failed.since) {
            silent_for if silent_for >= OUT_OF_REACH_TIME => Reach::OutOfReach,
            silent_for if silent_for >= SILENT_TIME => Reach::Silent,
            _ => Reach::Reached,
        }
    }

    /// Returns when the last command may have been sent.
    pub fn last_command_at(&self) -> Duration {
        self.last_command_at
    }
}
