//! One attempt: sends a request to one server and classifies the response.

use guavaspread_fleet::{
    AttemptOutcome, Attempts, ConnectionLoss, KnownVersion, PlacementKey, Server,
};
use guavaspread_model::is_final_status;
use http::{Request, StatusCode, header};
use http_body_util::Full;

use super::{Attempt, Call};
use crate::body::{InFlight, ResponseKind, Run};
use crate::connection_pool::{SendError, ServerPath, ServerResponse};
use crate::end_check::OpenResponse;
use crate::headers::strip_hop_by_hop;
use crate::platform::{ForwardInfo, ResponseInfo, RunStatement};
use crate::prelude::*;
use crate::record::{Record, Step};
use crate::refusals::is_refusal_status;

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
        let remaining = self.deadline.saturating_sub(started);
        let left_ms = remaining.as_millis() as u64;
        record.add(Step::Sent { server: server.id.clone(), version, left_ms });
        let mut in_flight = InFlight::start(&self.entry, key);
        in_flight.run = Some(Run {
            server: server.clone(),
            content: self.content,
            parts: self.info.prompt_parts.clone(),
            response: ResponseKind::Failure,
            open: Some(OpenResponse::start(&self.entry, server)),
        });
        if !self.is_ready(server) {
            self.entry.metrics.sends_to_unavailable.inc();
            let id = &self.info.id;
            log::warn!("request {id} is sent to server {}, which accepts none", server.id);
        }
        let send = self.send_to(server, version, record);
        let sent = tokio::select! {
            biased;
            sent = tokio::time::timeout(remaining + RESPONSE_DEADLINE_MARGIN, send) => sent,
            () = self.until_outdated(version) => return self.withdraw(attempts, record),
        };
        let now = self.entry.clock.now();
        let is_not_sent = matches!(&sent, Ok(Err(SendError::NotSent(_))));
        if !is_not_sent {
            attempts.on_sent();
        }
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(e)) => {
                let outcome =
                    if is_not_sent { AttemptOutcome::NotSent } else { AttemptOutcome::Unknown };
                record.add_failure(outcome, e.to_string());
                match e {
                    SendError::NotSent(_) => {}
                    SendError::ConnectionLost(_) => {
                        in_flight.on_connection_lost(ConnectionLoss::Closed)
                    }
                    SendError::TimedOut(_) => {
                        in_flight.on_connection_lost(ConnectionLoss::TimedOut)
                    }
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
        if let Some(run) = &mut in_flight.run {
            run.response = ResponseKind::of(&response);
            if let Some(open) = run.open.as_mut().filter(|_| response.body.ends_with_connection()) {
                open.on_unframed_head();
            }
        }
        let elapsed = now.saturating_sub(started);
        let status = response.head.status;
        record.add(Step::Answered { status: status.as_u16(), took_ms: elapsed.as_millis() as u64 });
        self.note_old_version(version, now, record);
        let response_info =
            self.entry.platform.protocol.parse_response(status, &response.head.headers);
        if response_info.id.is_none() {
            self.entry.pool.on_unnamed_response(&server.id, now);
        }
        if self.is_foreign(&response, &response_info) {
            self.entry.metrics.foreign_responses.inc();
            // The next request would read this request's response.
            response.close();
            let detail = "the answer is another request's".to_owned();
            return self.on_unproven_run(key, None, detail, record);
        }
        if !response_info.is_other_server(&server.id) {
            self.entry.on_server_notice(server, response_info.notice);
        }
        if let Some(load) = response_info.load {
            self.entry.placement.borrow_mut().on_load_report(key, load, now);
        }
        if let Some(pace) = response_info.pace {
            if self.entry.metrics.paces.inc() == 0 {
                log::info!("server {} states its pace, which placement uses: {pace}", server.id);
            }
            self.entry.placement.borrow_mut().on_pace(key, pace, now);
        }
        self.classify((key, server), response, &response_info, started, in_flight, record)
    }

    /// Waits until a request that was sent for this version may no longer begin.
    async fn until_outdated(&self, version: Option<u64>) {
        match (self.adapter(), version) {
            (Some(id), Some(version)) => self.entry.until_outdated(&id, version).await,
            (None, _) | (_, None) => std::future::pending().await,
        }
    }

    /// Gives up an attempt that has not begun in time, on a version that is no longer the newest.
    ///
    /// The connection closes, upon which the server drops the request from its queue.
    fn withdraw(&self, attempts: &mut Attempts, record: &mut Record) -> Attempt {
        attempts.on_sent();
        self.entry.metrics.withdrawn.inc();
        let detail = "a newer version of the adapter was named and the request had not begun";
        record.add_failure(AttemptOutcome::Unknown, detail.to_owned());
        Attempt::Failed(AttemptOutcome::Unknown, None)
    }

    /// Records that the answer begins on an older version of the adapter than this host knows.
    fn note_old_version(&self, version: Option<u64>, now: Duration, record: &mut Record) {
        let (Some(id), Some(version)) = (self.adapter(), version) else { return };
        let newer = self.entry.versions.borrow().first_after(&id, version);
        let Some(KnownVersion { version: newer, since }) = newer else { return };
        let known_ms = now.saturating_sub(since).as_millis() as u64;
        record.add(Step::OldVersion { newer, known_ms });
        self.entry.metrics.old_versions.inc();
    }

    /// Sends the request to a server, directly or through a peer, and waits for the response head.
    async fn send_to(
        &self,
        server: &Arc<Server>,
        version: Option<u64>,
        record: &mut Record,
    ) -> Result<ServerResponse, SendError> {
        let entry = &self.entry;
        let reuse = entry.pool.reuse(&server.id, entry.clock.now());
        let (connection, key) = entry.connect_server(server, &self.info.id, reuse).await?;
        if let Some(peer) = connection.peer() {
            record.add(Step::Through { peer: peer.clone() });
        }
        // Opening the connection took some of the time.
        let remaining = self.deadline.saturating_sub(entry.clock.now());
        let req = self.build_request(server, version, remaining);
        let path = key.path;
        let sent = entry.pool.send_on(connection, key, req, entry.clock).await;
        match &sent {
            Ok(_) if path == ServerPath::Direct => entry.on_direct_response(&server.service),
            Err(SendError::TimedOut(_)) if path == ServerPath::Direct => {
                entry.on_server_open_failed(server);
            }
            Ok(_) | Err(_) => {}
        }
        sent
    }

    /// Decides whether to forward the response or to try another server.
    fn classify(
        &self,
        (key, server): (PlacementKey, &Arc<Server>),
        response: ServerResponse,
        response_info: &ResponseInfo,
        sent_at: Duration,
        in_flight: InFlight,
        record: &mut Record,
    ) -> Attempt {
        let status = response.head.status;
        if !is_final_status(status.as_u16()) {
            response.close();
            let detail = format!("an answer with the status {status}, which HTTP does not define");
            return self.on_unproven_run(key, None, detail, record);
        }
        if response_info.is_sealed || response_info.is_not_run() {
            self.entry.on_rate_limit_response(server, response_info, sent_at);
            let is_rejected =
                response_info.is_not_run() && status == StatusCode::SERVICE_UNAVAILABLE;
            self.entry.on_rejection_limit(server, response_info, is_rejected, sent_at);
        }
        if response_info.is_not_run() {
            return self.on_refusal(key, server, response, response_info, record);
        }
        if response_info.run_statement == RunStatement::Contradictory {
            response.close();
            let detail = format!("an answer {status} that says that the request did not run");
            return self.on_unproven_run(key, None, detail, record);
        }
        if !response_info.is_sealed {
            response.close();
            let detail = format!("an answer {status} without a seal");
            return self.on_unproven_run(key, None, detail, record);
        }
        let failure = || format!("the server failed with {status}");
        if is_refusal_status(status) {
            // The server does not state that the request did not run, but its status would. It may be
            // no response to this request, which then still follows.
            response.close();
            return self.on_unproven_run(key, None, failure(), record);
        }
        if status.is_server_error() && self.route.is_repeatable() {
            return self.on_unproven_run(key, Some(Box::new(response)), failure(), record);
        }
        if status.is_server_error() {
            self.entry.placement.borrow_mut().on_request_failed(key, self.entry.clock.now());
        }
        Attempt::Response(Box::new(response), in_flight)
    }

    /// Handles a response after which the request may have run; `response` is forwarded if no other
    /// server responds.
    fn on_unproven_run(
        &self,
        key: PlacementKey,
        response: Option<Box<ServerResponse>>,
        detail: String,
        record: &mut Record,
    ) -> Attempt {
        record.add_failure(AttemptOutcome::Unknown, detail);
        self.entry.placement.borrow_mut().on_request_failed(key, self.entry.clock.now());
        Attempt::Failed(AttemptOutcome::Unknown, response)
    }

    /// Returns whether a response belongs, or may belong, to another request on its connection.
    fn is_foreign(&self, response: &ServerResponse, response_info: &ResponseInfo) -> bool {
        match response_info.id.as_deref() {
            Some(id) => *id != *self.info.id,
            None => !response.is_first_on_connection,
        }
    }

    /// Handles a response that states that the server did not run the request.
    fn on_refusal(
        &self,
        key: PlacementKey,
        server: &Arc<Server>,
        response: ServerResponse,
        response_info: &ResponseInfo,
        record: &mut Record,
    ) -> Attempt {
        let now = self.entry.clock.now();
        let status = response.head.status;
        record.add_failure(AttemptOutcome::Refused, format!("refused with {status}"));
        if response_info.is_other_server(&server.id) {
            // Another server now listens at this address.
            self.entry.on_other_server(server);
            self.entry.placement.borrow_mut().on_unreachable(key, now);
            self.entry.pool.close_idle(&server.id);
            response.close();
            return Attempt::Failed(AttemptOutcome::Refused, None);
        }
        let is_full = response_info.load.is_some_and(|load| load.running >= load.slots);
        match self.adapter() {
            Some(id) if !is_full => {
                self.entry.grant_cache.borrow_mut().invalidate(&server.id, &id);
                // On the same connection, a late copy of this response would be read as the one
                // to the retry, whose id it bears.
                response.close();
                Attempt::RetrySame
            }
            Some(_) | None => {
                match response_info.id {
                    Some(_) => response.on_named_refusal(&self.info.id),
                    // Nothing would tell a late copy from the response to the next request.
                    None => response.close(),
                }
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
        remaining: Duration,
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
        let (priority, sender) = (self.priority(), self.forwarded_sender());
        let forward_info = ForwardInfo { server, remaining, version, priority, sender };
        self.entry.platform.protocol.set_forward_headers(&mut headers, &forward_info);
        *req.headers_mut() = headers;
        req
    }
}
