//! Resumption of streams on another server after their server was lost.

use std::pin::Pin;

use guavaspread_fleet::{AttemptOutcome, EventFramer, RetryDecision};

use crate::access::RESUME_LOAD_TIMEOUT;
use crate::body::InFlight;
use crate::connection_pool::ResponseBody;
use crate::forward::{Call, Progress, SendResult};
use crate::prelude::*;
use crate::record::{Record, Step};

/// The header with the id of the last event received, as defined for server-sent events.
pub(crate) const LAST_EVENT_ID: http::HeaderName = http::HeaderName::from_static("last-event-id");

/// The longest stall of a stream during which it may still be resumed.
///
/// Callers give up on a stalled stream after two seconds or more, and then do not retry. A caller
/// whose stream is broken off earlier retries at another host.
const STALL_MAX: Duration = Duration::from_millis(1_200);
/// When the next event is due if the route sets no pause objective.
const EVENT_PAUSE_DEFAULT: Duration = Duration::from_millis(300);

/// Resends the request of a stream to another server when its server is lost.
pub(crate) struct Resumer {
    call: Call,
    progress: Progress,
    pub(crate) events: EventFramer,
}

/// The result of an attempt to resume a stream.
pub(crate) struct Resumed {
    pub(crate) record: Record,
    /// The stream's continuation; `None` if no server took the stream over in time.
    pub(crate) continuation: Option<(ResponseBody, InFlight, Box<Resumer>)>,
}

/// An attempt to resume a stream, in progress.
pub(crate) type ResumeFuture = Pin<Box<dyn Future<Output = Resumed>>>;

impl Resumer {
    pub(crate) fn new(call: Call, progress: Progress) -> Self {
        Resumer { call, progress, events: EventFramer::default() }
    }

    /// Resumes the stream on another server, after the last event that was forwarded.
    ///
    /// `stall_time` is how long the stream has stalled already. The stream is not resumed if it
    /// would stall for longer than [`STALL_MAX`] in total, because its caller then does better
    /// to repeat the request at another host.
    ///
    /// The lost server may have run the request. Its attempt therefore counts, and the next one
    /// takes a token from the retry budget.
    pub(crate) async fn resume(
        mut self: Box<Self>,
        mut record: Record,
        stall_time: Duration,
    ) -> Resumed {
        let remaining = STALL_MAX.saturating_sub(stall_time);
        let decision = self.progress.on_server_lost(&self.call.route, AttemptOutcome::Unknown);
        if decision != RetryDecision::TryNext || !self.events.can_resume() || remaining.is_zero() {
            return Resumed { record, continuation: None };
        }
        self.events.discard_partial();
        if let Some(id) = self.events.last_id().and_then(|id| id.parse().ok()) {
            self.call.head.headers.insert(LAST_EVENT_ID, id);
        }
        // The latency objective applies to the first event; the caller waits for the next one.
        let pause = self.call.route.pause_objective.unwrap_or(EVENT_PAUSE_DEFAULT);
        self.call.load_timeout = RESUME_LOAD_TIMEOUT;
        self.call.response_due = self.call.entry.clock.now() + pause;
        record.add(Step::Resumes { behind: self.events.last_id().map(Into::into) });
        let send = self.call.send(&mut self.progress, &mut record);
        match tokio::time::timeout(remaining, send).await {
            Ok(SendResult::Response(response, in_flight)) if response.head.status.is_success() => {
                Resumed { record, continuation: Some((response.body, in_flight, self)) }
            }
            Ok(SendResult::Response(..) | SendResult::GivenUp(..)) | Err(_) => {
                Resumed { record, continuation: None }
            }
        }
    }
}
