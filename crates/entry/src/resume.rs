//! Resumption of streams on another server after their server was lost.

use std::pin::Pin;

use guavaspread_fleet::{AttemptOutcome, EventFramer, RetryDecision};
use http::{HeaderMap, HeaderValue, StatusCode, header};

use crate::access::RESUME_LOAD_TIMEOUT;
use crate::body::InFlight;
use crate::connection_pool::{ResponseBody, ServerResponse};
use crate::forward::{Call, Progress, SendResult};
use crate::prelude::*;
use crate::record::{Record, Step};

/// The header with the id of the last event received, as defined for server-sent events.
pub(crate) const LAST_EVENT_ID: http::HeaderName = http::HeaderName::from_static("last-event-id");

const EVENT_STREAM: &str = "text/event-stream";
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
    /// Whether the first response declared its type.
    has_declared_type: bool,
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
    /// Prepares to resume a stream whose first response had these headers.
    pub(crate) fn new(call: Call, progress: Progress, headers: &HeaderMap) -> Self {
        let last_id = call.head.headers.get(LAST_EVENT_ID).and_then(|id| id.to_str().ok());
        let events = EventFramer::after(last_id).sharing(&call.entry.event_buffers);
        let has_declared_type = headers.contains_key(header::CONTENT_TYPE);
        Resumer { call, progress, events, has_declared_type }
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
        if !self.events.can_resume() || remaining.is_zero() {
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
        let next = self.next_response(&mut record);
        match tokio::time::timeout(remaining, next).await {
            Ok(Some((response, in_flight))) => {
                Resumed { record, continuation: Some((response.body, in_flight, self)) }
            }
            Ok(None) | Err(_) => Resumed { record, continuation: None },
        }
    }

    /// Sends the request to one server after another until one continues the stream.
    async fn next_response(
        &mut self,
        record: &mut Record,
    ) -> Option<(Box<ServerResponse>, InFlight)> {
        loop {
            let outcome = AttemptOutcome::Unknown;
            let decision = self.progress.on_server_lost(&self.call.route, outcome);
            if decision != RetryDecision::TryNext {
                return None;
            }
            match self.call.send(&mut self.progress, record).await {
                SendResult::Response(response, in_flight) if self.continues(&response) => {
                    return Some((response, in_flight));
                }
                SendResult::Response(response, _) => {
                    let status = response.head.status;
                    record.add_failure(outcome, format!("an answer {status} that is no stream"));
                    response.close();
                }
                SendResult::GivenUp(_) => return None,
            }
        }
    }

    /// Returns whether the rest of the stream may follow this head.
    ///
    /// The caller has the head of the first response, so nothing else tells it what the body is.
    fn continues(&self, response: &ServerResponse) -> bool {
        let headers = &response.head.headers;
        let is_typed = match headers.get(header::CONTENT_TYPE) {
            Some(declared) => is_event_stream_type(declared),
            None => !self.has_declared_type,
        };
        response.head.status == StatusCode::OK
            && is_typed
            && !headers.contains_key(header::CONTENT_ENCODING)
    }
}

/// Returns whether a `Content-Type` declares server-sent events.
pub(crate) fn is_event_stream_type(content_type: &HeaderValue) -> bool {
    let text = content_type.to_str().unwrap_or("").trim_start();
    text.get(..EVENT_STREAM.len()).is_some_and(|start| start.eq_ignore_ascii_case(EVENT_STREAM))
}
