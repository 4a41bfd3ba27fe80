//! When a caller's connection is closed: the limits in force, applied to what it does now.
//!
//! A connection outlives configurations. Its limits are therefore read anew at each decision, and
//! none is fixed when it is accepted.

use crate::catalog::RequestLimits;
use crate::prelude::*;

/// What to do with a caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAction {
    /// Keep it open and decide again at this time, or when something changes.
    KeepUntil(Duration),
    /// Close it once the responses due are sent.
    Close,
    /// Close it at once: the caller is not waiting for a response.
    Abort,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No request is on the way.
    Idle { since: Duration },
    /// The head of a request has arrived in part.
    ReadingHead { since: Duration },
    /// A request is being served.
    Serving,
}

/// What a caller's connection is doing.
#[derive(Clone, Debug)]
pub struct CallerConnection {
    phase: Phase,
    /// The size of the largest head that the connection can read, in bytes.
    head_buffer_bytes: usize,
    closing_since: Option<Duration>,
}

impl CallerConnection {
    /// Creates the state of a connection that was accepted just now.
    pub fn new(head_buffer_bytes: usize, now: Duration) -> Self {
        CallerConnection {
            phase: Phase::Idle { since: now },
            head_buffer_bytes,
            closing_since: None,
        }
    }

    /// Records bytes from the caller; outside a request, they begin the head of the next one.
    pub fn on_bytes(&mut self, now: Duration) {
        if let Phase::Idle { .. } = self.phase {
            self.phase = Phase::ReadingHead { since: now };
        }
    }

    /// Records that the head of a request is complete.
    pub fn on_request(&mut self) {
        self.phase = Phase::Serving;
    }

    /// Records that the response was handed over completely, or was given up.
    pub fn on_response_end(&mut self, now: Duration) {
        self.phase = Phase::Idle { since: now };
    }

    /// Returns whether a head has arrived in part.
    pub fn is_reading_head(&self) -> bool {
        matches!(self.phase, Phase::ReadingHead { .. })
    }

    /// Decides what to do with the connection under the limits in force.
    ///
    /// Returns [`ConnectionAction::Close`] at most once.
    pub fn next_action(&mut self, limits: &RequestLimits, now: Duration) -> ConnectionAction {
        let due_at = match (self.phase, self.closing_since) {
            (Phase::Serving, _) => return self.serve(limits, now),
            (Phase::ReadingHead { since }, _) => since + limits.header_timeout,
            // Bytes of a head may have arrived together with those of the request before it.
            (Phase::Idle { since }, Some(closing)) => closing.max(since) + limits.header_timeout,
            (Phase::Idle { since }, None) => {
                let idle_until = since + limits.idle_timeout;
                if now < idle_until && self.can_read(limits) {
                    return ConnectionAction::KeepUntil(idle_until);
                }
                self.closing_since = Some(now);
                return ConnectionAction::Close;
            }
        };
        match now < due_at {
            true => ConnectionAction::KeepUntil(due_at),
            false => ConnectionAction::Abort,
        }
    }

    fn serve(&mut self, limits: &RequestLimits, now: Duration) -> ConnectionAction {
        if self.closing_since.is_none() && !self.can_read(limits) {
            self.closing_since = Some(now);
            return ConnectionAction::Close;
        }
        // No idle time that begins later ends earlier.
        ConnectionAction::KeepUntil(now + limits.idle_timeout)
    }

    /// Returns whether the connection can read the largest head that is allowed.
    fn can_read(&self, limits: &RequestLimits) -> bool {
        limits.header_bytes_max <= self.head_buffer_bytes
    }
}
