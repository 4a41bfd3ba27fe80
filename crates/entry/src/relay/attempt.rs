//! One attempt: sends a request to one server and classifies the response.

use guavaspread_fleet::{AttemptOutcome, Attempts, ConnectionLoss, PlacementKey, Server};
use http::{Request, header};
use http_body_util::Full;

use super::{Attempt, Call};
use crate::body::{InFlight, Run};
use crate::border::{AnswerHead, Sending};
use crate::channel::{Answered, SendError};
use crate::headers::strip_hop_by_hop;
use crate::prelude::*;
use crate::record::{Record, Step};

/// How long an attempt waits for a response after the request's deadline.
///
/// The server gives up at the deadline too, and its error response is more specific than one of
/// this host.
const RESPONSE_DEADLINE_MARGIN: Duration = Duration::from_millis(100);

impl Call {
    /// Sends the request to one server and reads the response head.
    pub(super) async fn attempt(
        &self,
        key: PlacementKey,
        server: &Arc<Server>,
        version: Option<u64>,
        attempts: &mut Attempts,
        record: &mut Record,
    ) -> Attempt {
        let started = self.entry.clock.now();
        let left = self.deadline.saturating_sub(started);
        let left_ms = left.as_millis() as u64;
        record.add(Step::Sent { server: server.id.clone(), version, left_ms });
        let mut in_flight = InFlight::start(&self.entry, key);
        in_flight.run = Some(Run { server: server.clone(), content: self.content });
        let req = self.build_request(server, version, left);
        let sending = self.entry.pool.send(server.address, &server.id, req, self.entry.clock);
        let sent = tokio::time::timeout(left + RESPONSE_DEADLINE_MARGIN, sending).await;
        let now = self.entry.clock.now();
        let is_not_sent = matches!(&sent, Ok(Err(SendError::NotSent(_))));
        if !is_not_sent {
            attempts.on_sent();
        }
        let answered = match sent {
            Ok(Ok(answered)) => answered,
            Ok(Err(e)) => {
                let outcome =
                    if is_not_sent { AttemptOutcome::NotSent } else { AttemptOutcome::Unknown };
                record.add_failure(outcome, e.to_string());
                match e {
                    SendError::NotSent(_) => {}
                    SendError::Unknown(_) => in_flight.on_connection_lost(ConnectionLoss::Closed),
                    SendError::Silent(_) => in_flight.on_connection_lost(ConnectionLoss::TimedOut),
                }
                let mut placement = self.entry.placement.borrow_mut();
                placement.on_request_failed(key, now);
                if is_not_sent {
                    placement.on_unreachable(key, now);
                }
                return Attempt::Failed(outcome, None);
            }
            Err(_) => {
                record.add_failure(AttemptOutcome::Unknown, "no answer in time".to_owned());
                in_flight.on_connection_lost(ConnectionLoss::TimedOut);
                self.entry.placement.borrow_mut().on_request_failed(key, now);
                return Attempt::Failed(AttemptOutcome::Unknown, None);
            }
        };
        let elapsed = now.saturating_sub(started);
        let status = answered.head.status;
        record.add(Step::Answered { status: status.as_u16(), took_ms: elapsed.as_millis() as u64 });
        let answer = self.entry.borders.dialect.answer(status, &answered.head.headers);
        self.entry.on_answer(server, answer.said);
        if let Some(load) = answer.load {
            self.entry.placement.borrow_mut().on_load_report(key, load, now);
        }
        self.classify(key, server, answered, &answer, in_flight, record)
    }

    /// Decides whether to forward the response or to try another server.
    fn classify(
        &self,
        key: PlacementKey,
        server: &Arc<Server>,
        answered: Answered,
        answer: &AnswerHead,
        in_flight: InFlight,
        record: &mut Record,
    ) -> Attempt {
        let now = self.entry.clock.now();
        if answer.id.as_deref().is_some_and(|id| *id != *self.info.id) {
            record
                .add_failure(AttemptOutcome::Unknown, "the answer is another request's".to_owned());
            self.entry.placement.borrow_mut().on_request_failed(key, now);
            return Attempt::Failed(AttemptOutcome::Unknown, None);
        }
        if answer.not_run {
            return self.on_refusal(key, server, answered, answer, record);
        }
        let status = answered.head.status;
        if !answer.is_sealed {
            record
                .add_failure(AttemptOutcome::Unknown, format!("an answer {status} without a seal"));
            self.entry.placement.borrow_mut().on_request_failed(key, now);
            return Attempt::Failed(AttemptOutcome::Unknown, None);
        }
        if status.is_server_error() {
            self.entry.placement.borrow_mut().on_request_failed(key, now);
            if self.route.is_repeatable() {
                record.add_failure(
                    AttemptOutcome::Unknown,
                    format!("the server failed with {status}"),
                );
                return Attempt::Failed(AttemptOutcome::Unknown, Some(Box::new(answered)));
            }
        }
        Attempt::Answered(Box::new(answered), in_flight)
    }

    /// Handles a response that states that the server did not run the request.
    fn on_refusal(
        &self,
        key: PlacementKey,
        server: &Arc<Server>,
        answered: Answered,
        answer: &AnswerHead,
        record: &mut Record,
    ) -> Attempt {
        let now = self.entry.clock.now();
        let status = answered.head.status;
        record.add_failure(AttemptOutcome::Refused, format!("refused with {status}"));
        if answer.is_other_server(&server.id) {
            // Another server now listens at this address.
            self.entry.on_other_server(server);
            self.entry.placement.borrow_mut().on_unreachable(key, now);
            self.entry.pool.close(&server.id);
            return Attempt::Failed(AttemptOutcome::Refused, None);
        }
        let is_full = answer.load.is_some_and(|load| load.running >= load.slots);
        match self.adapter() {
            Some(id) if !is_full => {
                self.entry.grants.borrow_mut().invalidate(&server.id, &id);
                Attempt::RetrySame
            }
            Some(_) | None => {
                self.entry.placement.borrow_mut().on_request_failed(key, now);
                Attempt::Failed(AttemptOutcome::Refused, None)
            }
        }
    }

    /// Builds the request to the server, with the headers of this hop.
    fn build_request(
        &self,
        server: &Server,
        version: Option<u64>,
        left: Duration,
    ) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.head.method.clone();
        let path = self.head.uri.path_and_query().map_or("/", |path| path.as_str());
        // The path and query come from a parsed URI, so parsing them again can't fail.
        *req.uri_mut() = path.parse().unwrap_or_default();
        let mut headers = self.head.headers.clone();
        strip_hop_by_hop(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        let sending = Sending { server, left, version, priority: self.route.priority };
        self.entry.borders.dialect.prepare(&mut headers, &sending);
        *req.headers_mut() = headers;
        req
    }
}
