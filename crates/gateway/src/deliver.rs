//! Answers on their way to the caller.

use futures::StreamExt;
use guavaspread_claims::StoredAnswer;
use guavaspread_wire::RunEvent;
use ntex::http::{StatusCode, header};
use ntex::util::{Bytes, BytesMut};
use ntex::web::HttpResponse;

use crate::attempt::{Answer, Events};
use crate::prelude::*;
use crate::respond::cut_event;
use crate::worker::{Admission, Worker};

const EVENT_STREAM: &str = "text/event-stream";
const JSON: &str = "application/json";
const REPLAYED_HEADER: &str = "idempotency-replayed";
const END_MARKER: &str = "data: [DONE]\n\n";

/// Counts an answer once it was delivered whole.
pub(crate) struct Delivery {
    worker: Rc<Worker>,
    worth: u32,
    _admission: Admission,
}

struct EventStream {
    events: Events,
    delivery: Delivery,
}

impl Delivery {
    pub(crate) fn new(worker: &Rc<Worker>, worth: u32, admission: Admission) -> Self {
        Delivery { worker: worker.clone(), worth, _admission: admission }
    }

    /// Answers the caller, as a stream of events if that was asked for and begins well.
    pub(crate) async fn deliver(
        self,
        answer: Answer,
        stream: bool,
    ) -> Result<HttpResponse, Refusal> {
        match stream && answer.status == StatusCode::OK.as_u16() {
            true => Ok(self.deliver_stream(answer)),
            false => self.deliver_plain(answer).await,
        }
    }

    async fn deliver_plain(self, answer: Answer) -> Result<HttpResponse, Refusal> {
        let Answer { status, content_type, mut events } = answer;
        let mut body = BytesMut::new();
        loop {
            match events.next().await {
                Some(Ok(RunEvent::Data(data))) => body.extend_from_slice(&data),
                // The run was started again from the beginning.
                Some(Ok(RunEvent::Head { .. })) => body.clear(),
                Some(Ok(RunEvent::Done)) => break,
                Some(Ok(RunEvent::Refused(refusal)) | Err(refusal)) => return Err(refusal),
                None => return Err(ended_early()),
            }
        }
        self.whole();
        Ok(plain(status, content_type.as_deref(), body.freeze()))
    }

    /// Relays events as they come. A stream that was cut ends with an `error` event and
    /// without the end marker.
    fn deliver_stream(self, answer: Answer) -> HttpResponse {
        let state = EventStream { events: answer.events, delivery: self };
        let events = futures::stream::unfold(Some(state), |state| async move {
            let (text, state) = state?.next().await;
            Some((Ok::<_, std::io::Error>(Bytes::from(text)), state))
        });
        HttpResponse::Ok()
            .header(header::CONTENT_TYPE, EVENT_STREAM)
            .header(header::CACHE_CONTROL, "no-cache")
            .streaming(Box::pin(events))
    }

    fn whole(&self) {
        self.worker.metrics.whole.inc();
        self.worker.metrics.worth.inc_by(self.worth.into());
    }

    fn cut(&self, refusal: &Refusal) {
        self.worker.metrics.cut.inc();
        self.worker.metrics.refuse(refusal.code);
    }
}

impl EventStream {
    async fn next(mut self) -> (Vec<u8>, Option<Self>) {
        match self.events.next().await {
            Some(Ok(RunEvent::Data(data))) => (event_text(&data), Some(self)),
            Some(Ok(RunEvent::Head { .. })) => (Vec::new(), Some(self)),
            Some(Ok(RunEvent::Done)) => {
                self.delivery.whole();
                (END_MARKER.into(), None)
            }
            Some(Ok(RunEvent::Refused(refusal)) | Err(refusal)) => self.cut(&refusal),
            None => self.cut(&ended_early()),
        }
    }

    fn cut(self, refusal: &Refusal) -> (Vec<u8>, Option<Self>) {
        self.delivery.cut(refusal);
        (cut_event(refusal).into_bytes(), None)
    }
}

/// Answers again what an earlier run answered.
pub(crate) fn replay(answer: StoredAnswer) -> HttpResponse {
    let mut res = match answer.stream {
        true => {
            let events = answer.parts.iter().map(|part| event_text(part.as_bytes()));
            let mut body: Vec<u8> = events.flatten().collect();
            body.extend_from_slice(END_MARKER.as_bytes());
            plain(answer.status, Some(EVENT_STREAM), Bytes::from(body))
        }
        false => {
            let body = answer.parts.concat();
            plain(answer.status, answer.content_type.as_deref(), Bytes::from(body))
        }
    };
    let name = header::HeaderName::from_static(REPLAYED_HEADER);
    res.headers_mut().insert(name, header::HeaderValue::from_static("true"));
    res
}

fn plain(status: u16, content_type: Option<&str>, body: Bytes) -> HttpResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut res = HttpResponse::build(status);
    res.content_type(content_type.unwrap_or(JSON));
    res.body(body)
}

fn event_text(data: &[u8]) -> Vec<u8> {
    [b"data: ".as_slice(), data, b"\n\n"].concat()
}

fn ended_early() -> Refusal {
    Refusal::maybe_ran(Code::Cut, "the answer ended early")
}
