//! Delivers responses to callers.

use futures::StreamExt;
use guavaspread_claims::StoredResponse;
use guavaspread_wire::RunEvent;
use ntex::http::{StatusCode, header};
use ntex::util::{Bytes, BytesMut};
use ntex::web::HttpResponse;

use crate::attempt::{RunEvents, RunResponse};
use crate::prelude::*;
use crate::problem::error_event;
use crate::worker::{Admission, Worker};

const EVENT_STREAM: &str = "text/event-stream";
const JSON: &str = "application/json";
const REPLAYED_HEADER: &str = "idempotency-replayed";
const END_MARKER: &str = "data: [DONE]\n\n";

/// Delivers one response and counts it as completed or cut.
///
/// The request stays admitted until the delivery is dropped.
pub(crate) struct Delivery {
    worker: Rc<Worker>,
    worth: u32,
    _admission: Admission,
}

struct EventStream {
    events: RunEvents,
    delivery: Delivery,
}

impl Delivery {
    pub(crate) fn new(worker: &Rc<Worker>, worth: u32, admission: Admission) -> Self {
        Delivery { worker: worker.clone(), worth, _admission: admission }
    }

    /// Returns the response to the caller, as a stream of events if `stream` is set and its status
    /// is 200.
    pub(crate) async fn deliver(
        self,
        response: RunResponse,
        stream: bool,
    ) -> Result<HttpResponse, Refusal> {
        match stream && response.status == StatusCode::OK.as_u16() {
            true => Ok(self.deliver_stream(response)),
            false => self.deliver_body(response).await,
        }
    }

    async fn deliver_body(self, response: RunResponse) -> Result<HttpResponse, Refusal> {
        let RunResponse { mut status, mut content_type, mut events } = response;
        let mut body = BytesMut::new();
        loop {
            match events.next().await {
                Some(Ok(RunEvent::Data(data))) => body.extend_from_slice(&data),
                // A retry restarted the run from the beginning.
                Some(Ok(RunEvent::ResponseHead {
                    status: next, content_type: next_type, ..
                })) => {
                    (status, content_type) = (next, next_type);
                    body.clear();
                }
                Some(Ok(RunEvent::Done)) => break,
                Some(Ok(RunEvent::Refused(refusal)) | Err(refusal)) => return Err(refusal),
                None => return Err(ended_early_refusal()),
            }
        }
        self.on_completed();
        Ok(build_response(status, content_type.as_deref(), body.freeze()))
    }

    /// Relays events as they arrive.
    ///
    /// A stream that is cut ends with an `error` event and without the end marker.
    fn deliver_stream(self, response: RunResponse) -> HttpResponse {
        let state = EventStream { events: response.events, delivery: self };
        let events = futures::stream::unfold(Some(state), |state| async move {
            let (chunk, state) = state?.next_chunk().await;
            Some((Ok::<_, std::io::Error>(Bytes::from(chunk)), state))
        });
        HttpResponse::Ok()
            .header(header::CONTENT_TYPE, EVENT_STREAM)
            .header(header::CACHE_CONTROL, "no-cache")
            .streaming(Box::pin(events))
    }

    fn on_completed(&self) {
        self.worker.metrics.completed.inc();
        self.worker.metrics.worth.inc_by(self.worth.into());
    }

    fn on_cut(&self, refusal: &Refusal) {
        self.worker.metrics.cut_streams.inc();
        self.worker.metrics.count_refusal(refusal.code);
    }
}

impl EventStream {
    async fn next_chunk(mut self) -> (Vec<u8>, Option<Self>) {
        match self.events.next().await {
            Some(Ok(RunEvent::Data(data))) => (format_event(&data), Some(self)),
            Some(Ok(RunEvent::ResponseHead { .. })) => (Vec::new(), Some(self)),
            Some(Ok(RunEvent::Done)) => {
                self.delivery.on_completed();
                (END_MARKER.into(), None)
            }
            Some(Ok(RunEvent::Refused(refusal)) | Err(refusal)) => self.end_with_error(&refusal),
            None => self.end_with_error(&ended_early_refusal()),
        }
    }

    fn end_with_error(self, refusal: &Refusal) -> (Vec<u8>, Option<Self>) {
        self.delivery.on_cut(refusal);
        (error_event(refusal).into_bytes(), None)
    }
}

/// Builds the response that an earlier run of the request stored.
pub(crate) fn replay_stored(response: StoredResponse) -> HttpResponse {
    let mut res = match response.stream {
        true => {
            let events = response.parts.iter().map(|part| format_event(part.as_bytes()));
            let mut body: Vec<u8> = events.flatten().collect();
            body.extend_from_slice(END_MARKER.as_bytes());
            build_response(response.status, Some(EVENT_STREAM), Bytes::from(body))
        }
        false => {
            let body = response.parts.concat();
            build_response(response.status, response.content_type.as_deref(), Bytes::from(body))
        }
    };
    let name = header::HeaderName::from_static(REPLAYED_HEADER);
    res.headers_mut().insert(name, header::HeaderValue::from_static("true"));
    res
}

fn build_response(status: u16, content_type: Option<&str>, body: Bytes) -> HttpResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut res = HttpResponse::build(status);
    res.content_type(content_type.unwrap_or(JSON));
    res.body(body)
}

fn format_event(data: &[u8]) -> Vec<u8> {
    [b"data: ".as_slice(), data, b"\n\n"].concat()
}

fn ended_early_refusal() -> Refusal {
    Refusal::maybe_ran(Code::Cut, "the response ended early")
}
