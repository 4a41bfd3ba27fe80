//! Carries one request to a backend server and its answer back.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use guavaspread_fleet::{
    AdapterId, Attempts, Outcome, Pick, PlacementKey, RequestClass, Route, Server, Verdict,
};
use guavaspread_model::{Code, Refusal};
use http::{HeaderMap, Request, Response, StatusCode, header, request};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use crate::access::{self, Access, Kept};
use crate::border::{AnswerHead, Asked, Sending};
use crate::channel::{AnswerBody, Answered, SendError};
use crate::prelude::*;
use crate::record::{Record, Step};
use crate::respond::refuse;
use crate::state::Entry;

/// How long past its limit an answer is still awaited: the server stops at the limit too,
/// and what it says then is the better answer.
const LIMIT_MARGIN: Duration = Duration::from_millis(100);
/// How long past its limit a stream may still run.
const STREAM_MARGIN: Duration = Duration::from_millis(350);
/// A request with less time left than that is not sent.
const LEFT_MIN: Duration = Duration::from_millis(10);
/// When to come back while no server takes work: a server's restart takes seconds.
const RETRY_NO_SERVER_MS: u32 = 1_000;
/// When to come back after an adapter was not loaded in time: a load's duration.
const RETRY_NOT_LOADED_MS: u32 = 400;
/// When to come back to full engines: about the time in which half of a batch ends.
const RETRY_FULL_MS: u32 = 300;
/// Full engines that a request asks before it is refused.
const FULL_MAX: u32 = 4;
/// When to come back to a host that has no configuration yet, and finds others ready.
const RETRY_NOT_READY_MS: u32 = 500;

/// Holds the body of an answer: this host's own, or a server's.
pub(crate) enum RelayBody {
    /// Written here.
    Own(Full<Bytes>),
    /// Passed on as it arrives.
    Relayed(Box<Relayed>),
}

/// Passes a server's body on; dropping it closes the server's connection.
pub(crate) struct Relayed {
    body: AnswerBody,
    until: Pin<Box<tokio::time::Sleep>>,
    status: u16,
    record: Record,
    _in_flight: InFlight,
}

/// Ends a body that must not look complete.
#[derive(Debug)]
pub(crate) struct BrokenOff;

impl std::fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for BrokenOff {}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match self.get_mut() {
            RelayBody::Own(body) => Pin::new(body).poll_frame(cx).map_err(|e| match e {}),
            RelayBody::Relayed(relayed) => relayed.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RelayBody::Own(body) => body.is_end_stream(),
            RelayBody::Relayed(relayed) => relayed.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RelayBody::Own(body) => body.size_hint(),
            RelayBody::Relayed(relayed) => relayed.body.size_hint(),
        }
    }
}

impl Relayed {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                if self.body.is_end_stream() {
                    self.record.end(self.status, "whole", false);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(None) => {
                self.record.end(self.status, "whole", false);
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(e))) => {
                self.record.failed(Outcome::Unknown, e.to_string());
                self.record.end(self.status, "broken-off", false);
                Poll::Ready(Some(Err(BrokenOff)))
            }
            Poll::Pending if self.until.as_mut().poll(cx).is_ready() => {
                self.record.end(self.status, "out-of-time", false);
                Poll::Ready(Some(Err(BrokenOff)))
            }
            Poll::Pending => Poll::Pending,
        }
    }
}

/// Counts a request as under way at a server until it is dropped.
struct InFlight {
    entry: Rc<Entry>,
    key: PlacementKey,
    kept: Kept,
}

impl InFlight {
    fn start(entry: &Rc<Entry>, key: PlacementKey) -> Self {
        entry.placement.borrow_mut().on_sent(key);
        InFlight { entry: entry.clone(), key, kept: Kept::default() }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.entry.placement.borrow_mut().on_ended(self.key);
    }
}

/// Answers a caller's request.
pub(crate) async fn handle(
    entry: Rc<Entry>,
    req: Request<Incoming>,
) -> Result<Response<RelayBody>, Infallible> {
    let mut record = Record::new(&entry);
    let (head, body) = req.into_parts();
    match prepare(&entry, head, body, &mut record).await {
        Ok(call) => Ok(call.run(record).await),
        Err(refusal) => Ok(answer_refusal(record, &refusal)),
    }
}

fn answer_refusal(mut record: Record, refusal: &Refusal) -> Response<RelayBody> {
    record.code = Some(refusal.code.number());
    record.end(refusal.code.status(), "refused", true);
    refuse(refusal)
}

/// Finds the route of a request and reads its body.
async fn prepare(
    entry: &Rc<Entry>,
    head: request::Parts,
    body: Incoming,
    record: &mut Record,
) -> Result<Call, Refusal> {
    let asked = entry.borders.dialect.read(&head);
    if let Ok(asked) = &asked {
        record.request = asked.id.clone();
        record.model = asked.model.clone();
        record.adapter = asked.adapter.clone();
    }
    if entry.closed.get() {
        let refusal = Refusal::not_run(Code::Stopping, "the host is stopping");
        return Err(refusal.retry_after_ms(RETRY_NOT_READY_MS));
    }
    let Some(catalog) = entry.catalog.borrow().clone() else {
        let refusal = Refusal::not_run(Code::ConfigInDoubt, "no configuration is known here yet");
        return Err(refusal.retry_after_ms(RETRY_NOT_READY_MS));
    };
    let host = host_of(&head).ok_or_else(|| malformed("the request names no host"))?;
    let route = catalog.route(&host, head.uri.path()).cloned();
    let route = route
        .ok_or_else(|| Refusal::not_run(Code::UnknownService, "no route leads from this path"))?;
    let asked = asked.map_err(malformed)?;
    let service = route.service(&asked.id).cloned();
    let service = service
        .ok_or_else(|| Refusal::not_run(Code::NoBackend, "the route leads to no service"))?;
    record.route = route.name.clone();
    record.service = service.clone();
    let patience = asked.patience.unwrap_or(route.timeout).min(route.timeout);
    let until = record.started() + patience;
    let left = until.saturating_sub(entry.clock.now());
    let reading = Limited::new(body, catalog.limits.body_bytes).collect();
    let body = match tokio::time::timeout(left, reading).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            return Err(Refusal::not_run(Code::BodyTooLarge, "the body exceeds the limit"));
        }
        Ok(Err(e)) => return Err(malformed(format!("the body broke off: {e}"))),
        Err(_) => return Err(Refusal::not_run(Code::RequestTimeout, "the body came too slowly")),
    };
    entry.on_request(&service);
    Ok(Call { entry: entry.clone(), route, service, asked, head, body, until })
}

fn malformed(detail: impl Into<String>) -> Refusal {
    Refusal::not_run(Code::MalformedRequest, detail)
}

fn host_of(head: &request::Parts) -> Option<String> {
    let host = match head.uri.host() {
        Some(host) => host,
        None => head.headers.get(header::HOST)?.to_str().ok()?,
    };
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    (!name.is_empty()).then(|| name.to_ascii_lowercase())
}

/// Holds a request on its way to a server.
struct Call {
    entry: Rc<Entry>,
    route: Arc<Route>,
    service: Arc<str>,
    asked: Asked,
    head: request::Parts,
    body: Bytes,
    /// When its caller or its route gives it up.
    until: Duration,
}

/// Tells how one attempt ended.
enum Attempt {
    Answered(Box<Answered>, InFlight),
    Failed(Outcome, Option<Box<Answered>>),
    /// The same server may be asked again, as after it had dropped an adapter.
    Again,
}

impl Call {
    async fn run(self, mut record: Record) -> Response<RelayBody> {
        let mut attempts = Attempts::default();
        let mut tried: Vec<Arc<str>> = Vec::new();
        let mut missed = false;
        let mut full = 0;
        // A server's own failure is the better answer than one of this host.
        let mut failure: Option<Box<Answered>> = None;
        loop {
            let now = self.entry.clock.now();
            if self.until < now + LEFT_MIN {
                return self.give_up(failure, &out_of_time(&attempts), record);
            }
            let Pick::Server(key, server) = self.pick(&tried, now) else {
                record.add(Step::NoServer);
                return self.give_up(failure, &no_server(&attempts), record);
            };
            let (version, kept) = match self.access((key, &server), missed, &mut record).await {
                Access::Granted(version, kept) => (version, kept),
                Access::Full if full + 1 >= FULL_MAX => {
                    return self.give_up(failure, &all_full(&attempts), record);
                }
                access @ (Access::Denied | Access::Full) => {
                    full += u32::from(matches!(access, Access::Full));
                    tried.push(server.id.clone());
                    missed = false;
                    continue;
                }
            };
            if !self.is_ready(&server) {
                // It began to leave while the request waited for a load.
                tried.push(server.id.clone());
                continue;
            }
            if attempts.sent() > 0 && !self.entry.try_retry(&self.service) {
                record.add(Step::NoBudget);
                return self.give_up(failure, &budget_spent(&attempts), record);
            }
            let attempt = self.attempt(key, &server, version, &mut attempts, &mut record).await;
            let (outcome, answered) = match attempt {
                Attempt::Answered(answered, mut in_flight) => {
                    in_flight.kept = kept;
                    return self.pass_on(*answered, in_flight, record);
                }
                Attempt::Again => (Outcome::Refused, None),
                Attempt::Failed(outcome, answered) => {
                    tried.push(server.id.clone());
                    (outcome, answered)
                }
            };
            missed = outcome == Outcome::Refused;
            failure = answered.or(failure);
            let verdict = attempts.after(&self.route, outcome);
            if self.entry.clock.now() >= self.until {
                return self.give_up(failure, &out_of_time(&attempts), record);
            }
            match verdict {
                Verdict::TryNext => {}
                Verdict::NotRun | Verdict::MayHaveRun => {
                    return self.give_up(failure, &no_server(&attempts), record);
                }
            }
        }
    }

    fn pick(&self, tried: &[Arc<str>], now: Duration) -> Pick {
        let mut placement = self.entry.placement.borrow_mut();
        match (&self.asked.model, self.adapter()) {
            (Some(_), Some(id)) => {
                if tried.is_empty() {
                    placement.count(&id, now);
                }
                let tokens = self.asked.prompt_tokens;
                placement.pick_adapter(&self.service, &id, tokens, tried, now)
            }
            (Some(model), None) => placement.pick_engine(&self.service, model, tried, now),
            (None, _) => placement.pick_plain(&self.service, tried, now),
        }
    }

    fn is_ready(&self, server: &Server) -> bool {
        let roster = self.entry.roster.borrow();
        roster.get(&server.id).is_some_and(|now| now.is_ready() && now.born == server.born)
    }

    fn adapter(&self) -> Option<AdapterId> {
        let model = self.asked.model.clone()?;
        self.asked.adapter.clone().map(|adapter| AdapterId { model, adapter })
    }

    /// Waits until the server may be sent the request.
    async fn access(
        &self,
        (key, server): (PlacementKey, &Arc<Server>),
        missed: bool,
        record: &mut Record,
    ) -> Access {
        let Some(id) = self.adapter() else {
            return Access::Granted(None, Kept::default());
        };
        let started = self.entry.clock.now();
        let access = access::request(&self.entry, (key, server), &id, missed, self.until).await;
        let took = self.entry.clock.now().saturating_sub(started);
        if took > Duration::ZERO {
            let version = match &access {
                Access::Granted(version, _) => *version,
                Access::Denied | Access::Full => None,
            };
            let took_ms = took.as_millis() as u64;
            record.add(Step::Asked { server: server.id.clone(), version, took_ms });
            self.entry.metrics.load_wait_seconds.observe(took.as_secs_f64());
        }
        access
    }

    /// Sends the request to one server and reads the head of its answer.
    async fn attempt(
        &self,
        key: PlacementKey,
        server: &Arc<Server>,
        version: Option<u64>,
        attempts: &mut Attempts,
        record: &mut Record,
    ) -> Attempt {
        let started = self.entry.clock.now();
        let left = self.until.saturating_sub(started);
        let left_ms = left.as_millis() as u64;
        record.add(Step::Sent { server: server.id.clone(), version, left_ms });
        let in_flight = InFlight::start(&self.entry, key);
        let req = self.request(server, version, left);
        let sending = self.entry.pool.send(server.address, &server.id, req, self.entry.clock);
        let sent = tokio::time::timeout(left + LIMIT_MARGIN, sending).await;
        let now = self.entry.clock.now();
        let unreached = matches!(&sent, Ok(Err(SendError::NotSent(_))));
        if !unreached {
            attempts.on_sent();
        }
        let answered = match sent {
            Ok(Ok(answered)) => answered,
            Ok(Err(e)) => {
                let outcome = if unreached { Outcome::NotSent } else { Outcome::Unknown };
                record.failed(outcome, e.to_string());
                let mut placement = self.entry.placement.borrow_mut();
                placement.on_failed(key, now);
                if unreached {
                    placement.on_unreachable(key, now);
                }
                return Attempt::Failed(outcome, None);
            }
            Err(_) => {
                record.failed(Outcome::Unknown, "no answer in time".to_owned());
                self.entry.placement.borrow_mut().on_failed(key, now);
                return Attempt::Failed(Outcome::Unknown, None);
            }
        };
        let took = now.saturating_sub(started);
        let status = answered.head.status;
        record.add(Step::Answered { status: status.as_u16(), took_ms: took.as_millis() as u64 });
        let answer = self.entry.borders.dialect.answer(status, &answered.head.headers);
        if let Some(load) = answer.load {
            self.entry.placement.borrow_mut().on_report(key, load, now);
        }
        self.sort(key, server, answered, &answer, in_flight, record)
    }

    /// Tells an answer to pass on from one that another server may better.
    fn sort(
        &self,
        key: PlacementKey,
        server: &Arc<Server>,
        answered: Answered,
        answer: &AnswerHead,
        in_flight: InFlight,
        record: &mut Record,
    ) -> Attempt {
        let now = self.entry.clock.now();
        if answer.id.as_deref().is_some_and(|id| *id != *self.asked.id) {
            record.failed(Outcome::Unknown, "the answer is another request's".to_owned());
            self.entry.placement.borrow_mut().on_failed(key, now);
            return Attempt::Failed(Outcome::Unknown, None);
        }
        if answer.not_run {
            return self.on_refused(key, server, answered, answer, record);
        }
        let status = answered.head.status;
        if !answer.is_sealed {
            record.failed(Outcome::Unknown, format!("an answer {status} without a seal"));
            self.entry.placement.borrow_mut().on_failed(key, now);
            return Attempt::Failed(Outcome::Unknown, None);
        }
        if status.is_server_error() {
            self.entry.placement.borrow_mut().on_failed(key, now);
            if self.route.class == RequestClass::Safe {
                record.failed(Outcome::Unknown, format!("the server failed with {status}"));
                return Attempt::Failed(Outcome::Unknown, Some(Box::new(answered)));
            }
        }
        Attempt::Answered(Box::new(answered), in_flight)
    }

    fn on_refused(
        &self,
        key: PlacementKey,
        server: &Arc<Server>,
        answered: Answered,
        answer: &AnswerHead,
        record: &mut Record,
    ) -> Attempt {
        let now = self.entry.clock.now();
        let status = answered.head.status;
        record.failed(Outcome::Refused, format!("refused with {status}"));
        if answer.is_other_server(&server.id) {
            // The address belongs to another server by now.
            self.entry.placement.borrow_mut().on_unreachable(key, now);
            self.entry.pool.close(&server.id);
            return Attempt::Failed(Outcome::Refused, None);
        }
        let is_full = answer.load.is_some_and(|load| load.running >= load.slots);
        match self.adapter() {
            Some(id) if !is_full => {
                self.entry.grants.borrow_mut().revoke(&server.id, &id);
                Attempt::Again
            }
            Some(_) | None => {
                self.entry.placement.borrow_mut().on_failed(key, now);
                Attempt::Failed(Outcome::Refused, None)
            }
        }
    }

    fn request(
        &self,
        server: &Server,
        version: Option<u64>,
        left: Duration,
    ) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.head.method.clone();
        let path = self.head.uri.path_and_query().map_or("/", |path| path.as_str());
        // What was a path and query before still is one.
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

    fn pass_on(
        self,
        answered: Answered,
        in_flight: InFlight,
        record: Record,
    ) -> Response<RelayBody> {
        let Answered { head, body } = answered;
        let now = self.entry.clock.now();
        let status = head.status.as_u16();
        let waited = now.saturating_sub(record.started());
        self.entry.metrics.head_seconds.observe(waited.as_secs_f64());
        let left = self.until.saturating_sub(now) + STREAM_MARGIN;
        let mut headers = head.headers;
        strip_hop_by_hop(&mut headers);
        let mut record = record;
        if body.is_end_stream() {
            record.end(status, "whole", false);
        }
        let relayed = Relayed {
            body,
            until: Box::pin(tokio::time::sleep(left)),
            status,
            record,
            _in_flight: in_flight,
        };
        let mut res = Response::new(RelayBody::Relayed(Box::new(relayed)));
        *res.status_mut() = head.status;
        *res.headers_mut() = headers;
        res
    }

    /// Ends a request without success; a server's own failure is passed on.
    fn give_up(
        self,
        failure: Option<Box<Answered>>,
        refusal: &Refusal,
        record: Record,
    ) -> Response<RelayBody> {
        let Some(answered) = failure else {
            return answer_refusal(record, refusal);
        };
        let in_flight = InFlight::start(&self.entry, PlacementKey::default());
        self.pass_on(*answered, in_flight, record)
    }
}

/// Removes the headers that concern one connection only, RFC 9110, 7.6.1.
fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_owned())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    let always = [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::TE,
        header::TRAILER,
        header::UPGRADE,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
    ];
    for name in always {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

fn out_of_time(attempts: &Attempts) -> Refusal {
    if attempts.is_not_run() {
        return Refusal::not_run(Code::DeadlineUnreachable, "no server could run it in time")
            .retry_after_ms(RETRY_NOT_LOADED_MS);
    }
    Refusal::maybe_ran(Code::DeadlinePassed, "no answer came in time")
}

fn no_server(attempts: &Attempts) -> Refusal {
    if attempts.is_not_run() {
        return Refusal::not_run(Code::NoBackend, "no server takes the request now")
            .retry_after_ms(RETRY_NO_SERVER_MS);
    }
    may_have_run()
}

fn may_have_run() -> Refusal {
    Refusal::maybe_ran(Code::BackendFailed, "the server failed without an answer")
}

/// Refuses a request that several engines have no room for.
fn all_full(attempts: &Attempts) -> Refusal {
    if attempts.is_not_run() {
        return Refusal::not_run(Code::Overloaded, "the engines asked are full")
            .retry_after_ms(RETRY_FULL_MS);
    }
    may_have_run()
}

fn budget_spent(attempts: &Attempts) -> Refusal {
    if attempts.is_not_run() {
        return Refusal::not_run(Code::RetryBudgetSpent, "no repeated send is left")
            .retry_after_ms(RETRY_NO_SERVER_MS);
    }
    may_have_run()
}

/// Answers the load balancer whether this host takes callers.
pub(crate) fn readiness(entry: &Entry) -> (StatusCode, String) {
    match entry.is_ready() {
        true => (StatusCode::OK, "ready\n".to_owned()),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
    }
}
