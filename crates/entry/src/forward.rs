//! Forwards a caller's request to a backend server and the response back to the caller.

mod attempt;
mod permit;
mod quarantine;

use std::convert::Infallible;
use std::net::IpAddr;

use guavaspread_fleet::{
    AdapterId, AttemptOutcome, Attempts, Availability, Caller, Pick, PlacementKey, Prompt,
    RequestClass, RetryDecision, Route, Server, ServerFilter,
};
use guavaspread_model::{ContentId, Ran, Refusal};
use http::{Request, Response, header, request};
use hyper::body::Incoming;

use crate::access::{self, Access, AccessParams, AdapterHold};
use crate::body::{CallerBody, ForwardedBody, InFlight, Media, Outdated};
use crate::body_budget::BodyShare;
use crate::connection_pool::{Framing, ServerResponse};
use crate::headers::strip_hop_by_hop;
use crate::intake::prepare;
use crate::platform::{RequestInfo, Sender};
use crate::prelude::*;
use crate::quotas::QuotaGrant;
use crate::rate_limits::Permit;
use crate::record::{Record, Step};
use crate::refusals::{
    deadline_exceeded, engines_full, no_server, not_loaded, retry_budget_spent, stopping,
    unknown_adapter,
};
use crate::respond::problem_response;
use crate::resume::{Resumer, is_event_stream_type};
use crate::state::EntryState;

/// How long a response body may still be streamed after the request's deadline.
const STREAM_DEADLINE_MARGIN: Duration = Duration::from_millis(350);
/// The shortest time before its deadline at which a request is still sent.
const REMAINING_TIME_MIN: Duration = Duration::from_millis(10);
/// Full engines that a request may meet before it is refused.
const FULL_ENGINES_MAX: u32 = 4;
/// Further engines from which a loaded adapter is requested before any engine fetches it.
///
/// While engines are lost, an adapter's requests move to about this many other engines.
const OTHER_ENGINES_MAX: usize = 2;

/// A server that was chosen for a request.
type Candidate = (PlacementKey, Arc<Server>);

/// Handles a caller's request and returns the response.
pub(crate) async fn handle(
    entry: Rc<EntryState>,
    caller: IpAddr,
    req: Request<Incoming>,
) -> Result<Response<CallerBody>, Infallible> {
    let mut record = Record::new(&entry, req.version());
    let (head, body) = req.into_parts();
    let prepared = tokio::select! {
        prepared = prepare(&entry, caller, head, body, &mut record) => prepared,
        () = entry.until_given_up() => Err(stopping(&Attempts::default())),
    };
    match prepared {
        Ok(call) => Ok(call.handle(record).await),
        Err(refusal) => Ok(refuse_request(record, &refusal)),
    }
}

fn refuse_request(mut record: Record, refusal: &Refusal) -> Response<CallerBody> {
    record.code = Some(refusal.code.number());
    record.set_end(refusal.code.status(), "refused", true);
    problem_response(refusal)
}

/// A caller's request, with its route, service and time limits.
pub(crate) struct Call {
    pub(crate) entry: Rc<EntryState>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    pub(crate) info: RequestInfo,
    /// Who sent the request.
    pub(crate) sender: Caller,
    /// Whether callers need keys.
    pub(crate) has_keys: bool,
    /// The part of the organisation's quota that the request was granted.
    pub(crate) quota: RefCell<QuotaGrant>,
    /// Identifies the request's content, across repeats by the caller.
    pub(crate) content: ContentId,
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    pub(crate) _body_share: BodyShare,
    /// When the response should begin, by the route's latency objective.
    pub(crate) response_due: Duration,
    /// The longest time to wait for an adapter to load.
    pub(crate) load_timeout: Duration,
    /// The deadline set by the caller or by the route, whichever is earlier.
    pub(crate) deadline: Duration,
}

/// The result of one attempt.
enum Attempt {
    /// The response can be forwarded.
    Response(Box<ServerResponse>, InFlight),
    /// The attempt failed; carries the server's own error response, if there is one.
    Failed(AttemptOutcome, Option<Box<ServerResponse>>),
    /// The same server may be tried again, for example after it evicted the adapter.
    RetrySame,
}

/// The state of a request across its attempts.
#[derive(Default)]
pub(crate) struct Progress {
    attempts: Attempts,
    tried: Vec<Arc<str>>,
    /// The adapter version of the last successful attempt, which a resumed stream has to keep.
    version: Option<u64>,
    /// The software version that has to run the request.
    software: Option<Arc<str>>,
    was_refused: bool,
    /// Whether an attempt is in progress.
    is_sending: bool,
    /// Whether the request is the quarantine's trial of its content.
    is_trial: bool,
    /// Full engines met so far.
    full_engines: u32,
    /// The shortest time after which an engine whose owner is lost may load the adapter.
    owner_lost: Option<Duration>,
    /// A server's own error response, which is more specific than one of this host.
    last_failure: Option<Box<ServerResponse>>,
}

impl Progress {
    /// Records the loss of the server that responded, and decides whether to retry.
    pub(crate) fn on_server_lost(
        &mut self,
        route: &Route,
        outcome: AttemptOutcome,
    ) -> RetryDecision {
        self.was_refused = false;
        self.attempts.on_outcome(route, outcome)
    }

    /// Refuses the request because the process exits; an attempt in progress may have run it.
    fn on_exit(&mut self, route: &Route) -> Refusal {
        if std::mem::take(&mut self.is_sending) {
            self.attempts.on_sent();
            self.attempts.on_outcome(route, AttemptOutcome::Unknown);
        }
        stopping(&self.attempts)
    }

    fn exclude(&mut self, server: &Server) {
        self.tried.push(server.id.clone());
    }
}

/// The result of sending a request.
pub(crate) enum SendResult {
    /// A server responded.
    Response(Box<ServerResponse>, InFlight),
    /// The request is given up.
    GivenUp(Refusal),
}

/// The result of selecting a server.
enum Selection {
    /// The server accepts the request, for this version of the adapter.
    Server(Candidate, Option<u64>, AdapterHold),
    /// The selected server does not accept the request; another one is to be selected.
    Next,
    /// No server accepts the request.
    None(Refusal),
}

impl Call {
    async fn handle(self, mut record: Record) -> Response<CallerBody> {
        let software = match self.required_software().await {
            Ok(software) => software,
            Err(refusal) => return self.refuse(record, &refusal),
        };
        let mut progress = Progress { software, ..Progress::default() };
        let sent = tokio::select! {
            sent = self.send(&mut progress, &mut record) => sent,
            () = self.entry.until_given_up() => SendResult::GivenUp(progress.on_exit(&self.route)),
        };
        match sent {
            SendResult::Response(response, in_flight) => {
                self.forward_response(*response, in_flight, progress, record)
            }
            SendResult::GivenUp(refusal) => match progress.last_failure.take() {
                Some(response) => {
                    let in_flight = InFlight::start(&self.entry, PlacementKey::default());
                    self.forward_response(*response, in_flight, progress, record)
                }
                None => self.refuse(record, &refusal),
            },
        }
    }

    fn refuse(&self, record: Record, refusal: &Refusal) -> Response<CallerBody> {
        if refusal.ran == Ran::No {
            self.quota.borrow_mut().give_back(&self.entry);
        }
        refuse_request(record, refusal)
    }

    /// Sends the request to one server after another until one responds or it is given up.
    pub(crate) async fn send(&self, progress: &mut Progress, record: &mut Record) -> SendResult {
        loop {
            if self.deadline < self.entry.clock.now() + REMAINING_TIME_MIN {
                return SendResult::GivenUp(deadline_exceeded(&progress.attempts));
            }
            if !self.entry.can_send(self.deadline + STREAM_DEADLINE_MARGIN) {
                return SendResult::GivenUp(stopping(&progress.attempts));
            }
            if let Some(refusal) = self.check_quarantine(progress, record).await {
                return SendResult::GivenUp(refusal);
            }
            let ((key, server), version, hold) = match self.select(progress, record).await {
                Selection::Server(candidate, version, hold) => (candidate, version, hold),
                Selection::Next => continue,
                Selection::None(refusal) => return SendResult::GivenUp(refusal),
            };
            // The content or a part may have been quarantined while the request waited.
            if !progress.is_trial && !self.is_admitted() {
                continue;
            }
            // The host may have begun to stop while the request waited.
            if !self.entry.can_send(self.deadline + STREAM_DEADLINE_MARGIN) {
                continue;
            }
            if progress.attempts.sent_count() > 0 && !self.entry.try_spend_retry(&self.service) {
                record.add(Step::NoBudget);
                return SendResult::GivenUp(retry_budget_spent(&progress.attempts));
            }
            progress.is_sending = true;
            let attempts = &mut progress.attempts;
            let attempt = self.attempt(key, &server, version, attempts, record).await;
            progress.is_sending = false;
            let (outcome, response) = match attempt {
                Attempt::Response(response, mut in_flight) => {
                    hold.on_first_token(self.entry.clock.now());
                    in_flight.hold = hold;
                    in_flight.outdated = self.outdated(version);
                    progress.version = version;
                    self.remember_software(server.software.as_ref());
                    progress.exclude(&server);
                    return SendResult::Response(response, in_flight);
                }
                Attempt::RetrySame => (AttemptOutcome::Refused, None),
                Attempt::Failed(outcome, response) => {
                    progress.exclude(&server);
                    (outcome, response)
                }
            };
            progress.was_refused = outcome == AttemptOutcome::Refused;
            if response.is_some() {
                progress.last_failure = response;
            }
            let decision = progress.attempts.on_outcome(&self.route, outcome);
            if self.entry.clock.now() >= self.deadline {
                return SendResult::GivenUp(deadline_exceeded(&progress.attempts));
            }
            match decision {
                RetryDecision::TryNext => {}
                RetryDecision::NotRun | RetryDecision::MayHaveRun => {
                    return SendResult::GivenUp(no_server(&progress.attempts, None));
                }
            }
        }
    }

    /// Selects a server and requests access to the adapter on it.
    async fn select(&self, progress: &mut Progress, record: &mut Record) -> Selection {
        let now = self.entry.clock.now();
        if progress.tried.is_empty() {
            self.record_demand(now);
        }
        let without_permits = self.without_permits(now);
        let mut excluded = progress.tried.clone();
        excluded.extend(without_permits.iter().map(|(server, _)| server.clone()));
        let (key, server) = match self.pick(self.servers(progress), &excluded, now) {
            Pick::Server(key, server) => (key, server),
            Pick::Unavailable(available_at) => {
                record.add(Step::NoServer);
                let permit_at = without_permits.into_iter().map(|(_, until)| until).min();
                return Selection::None(self.no_server(progress, available_at, permit_at));
            }
        };
        let permit = self.acquire_permit(&server, progress, record).await;
        if permit == Permit::Denied {
            return Selection::Next;
        }
        let picked = server.id.clone();
        let candidate = (key, server);
        let ((key, server), access) =
            self.acquire_adapter(candidate, progress, &excluded, record).await;
        let (version, hold) = match access {
            Access::Granted(version, _, hold) => (Some(version), hold),
            Access::NoAdapter => (None, AdapterHold::default()),
            Access::LoadTooLate(wait) => {
                return Selection::None(not_loaded(&progress.attempts, wait));
            }
            Access::Full if progress.full_engines + 1 >= FULL_ENGINES_MAX => {
                return Selection::None(engines_full(&progress.attempts));
            }
            Access::NotFound => return Selection::None(unknown_adapter(&progress.attempts)),
            access @ (Access::Denied
            | Access::OwnerLost(_)
            | Access::FetchRequired
            | Access::Full) => {
                if let Access::OwnerLost(wait) = access {
                    progress.owner_lost = Some(progress.owner_lost.map_or(wait, |w| w.min(wait)));
                }
                progress.full_engines += u32::from(matches!(access, Access::Full));
                progress.exclude(&server);
                progress.was_refused = false;
                return Selection::Next;
            }
        };
        let is_other_version = progress.version.is_some() && progress.version != version;
        if is_other_version || !self.is_ready(&server) {
            // The server became unavailable while the request waited for the load, or it would
            // resume the stream with another adapter version than the one that started it.
            progress.exclude(&server);
            return Selection::Next;
        }
        let has_permit = server.id == picked && permit.is_valid(self.entry.clock.now());
        if !has_permit && self.acquire_permit(&server, progress, record).await == Permit::Denied {
            return Selection::Next;
        }
        if self.is_outdated(version) {
            // A newer version was named while the request waited.
            return Selection::Next;
        }
        let can_take = self.entry.placement.borrow().can_take(key, self.entry.clock.now());
        if !can_take || !self.is_ready(&server) {
            // The server became unavailable, or its room was used up, while the request waited.
            progress.exclude(&server);
            return Selection::Next;
        }
        Selection::Server((key, server), version, hold)
    }

    /// Returns the priority; that of the organisation goes before that of the route.
    fn priority(&self) -> u8 {
        let organisation = match &self.sender {
            Caller::Organisation(organisation) => organisation.priority,
            Caller::Anonymous | Caller::Unknown => None,
        };
        organisation.unwrap_or(self.route.priority)
    }

    /// Returns who sent the request, as its server is told.
    fn forwarded_sender(&self) -> Sender<'_> {
        match &self.sender {
            Caller::Organisation(organisation) => Sender::Organisation(&organisation.name),
            Caller::Anonymous | Caller::Unknown if self.has_keys => Sender::Anonymous,
            Caller::Anonymous | Caller::Unknown => Sender::Unchecked,
        }
    }

    fn record_demand(&self, now: Duration) {
        if let Some(id) = self.adapter() {
            self.entry.placement.borrow_mut().record_demand(&id, now);
        }
    }

    /// Returns which servers may run the request.
    fn servers<'a>(&'a self, progress: &'a Progress) -> ServerFilter<'a> {
        ServerFilter { service: &self.service, software: progress.software.as_deref() }
    }

    fn pick(&self, servers: ServerFilter<'_>, excluded: &[Arc<str>], now: Duration) -> Pick {
        let placement = self.entry.placement.borrow();
        match (&self.info.model, self.adapter()) {
            (Some(_), Some(id)) => {
                let tokens = self.info.prompt_tokens;
                let grant_cache = self.entry.grant_cache.borrow();
                let is_holder =
                    |server: &Server| grant_cache.get(&server.id, &id, 0, now).is_some();
                placement.pick_for_adapter(servers, &id, tokens, excluded, &is_holder, now)
            }
            (Some(model), None) => placement.pick_for_model(servers, model, excluded, now),
            (None, _) => placement.pick_server(servers, excluded, now),
        }
    }

    fn is_ready(&self, server: &Server) -> bool {
        let server_list = self.entry.server_list.borrow();
        let known =
            server_list.get(&server.id).filter(|known| known.started_at_ms == server.started_at_ms);
        known.is_some_and(|known| self.entry.availability(known) == Availability::Available)
    }

    /// Returns a future that completes when a request sent for this version may no longer begin.
    fn outdated(&self, version: Option<u64>) -> Option<Outdated> {
        let (id, version, entry) = (self.adapter()?, version?, self.entry.clone());
        Some(Box::pin(async move { entry.until_outdated(&id, version).await }))
    }

    /// Returns whether this host knows a newer version of the request's adapter.
    fn is_outdated(&self, version: Option<u64>) -> bool {
        let (Some(id), Some(version)) = (self.adapter(), version) else { return false };
        version < self.entry.versions.borrow().newest(&id)
    }

    fn adapter(&self) -> Option<AdapterId> {
        let model = self.info.model.clone()?;
        self.info.adapter.clone().map(|adapter| AdapterId { model, adapter })
    }

    /// Requests access to the adapter, first on engines that have it loaded, then with a fetch.
    ///
    /// When lost engines return, their adapters are still loaded on the engines that follow in
    /// rendezvous order. Using these avoids fetches from the weight store, which is the
    /// bottleneck of all engines.
    async fn acquire_adapter(
        &self,
        (key, server): Candidate,
        progress: &Progress,
        tried: &[Arc<str>],
        record: &mut Record,
    ) -> (Candidate, Access) {
        let was_refused = progress.was_refused;
        let access = self.request_access((key, &server), (was_refused, false), record).await;
        if !matches!(access, Access::FetchRequired) {
            return ((key, server), access);
        }
        let mut excluded = tried.to_vec();
        excluded.push(server.id.clone());
        for (other_key, other) in self.next_engines(self.servers(progress), &excluded) {
            let access = self.request_access((other_key, &other), (false, false), record).await;
            if matches!(access, Access::Granted(..)) {
                return ((other_key, other), access);
            }
        }
        let access = self.request_access((key, &server), (was_refused, true), record).await;
        ((key, server), access)
    }

    /// Returns the next engines in the adapter's rendezvous order.
    fn next_engines(&self, servers: ServerFilter<'_>, excluded: &[Arc<str>]) -> Vec<Candidate> {
        let Some(id) = self.adapter() else { return Vec::new() };
        let placement = self.entry.placement.borrow();
        let mut engines = placement.ranked_engines(servers, &id, excluded, self.entry.clock.now());
        engines.truncate(OTHER_ENGINES_MAX);
        engines
    }

    /// Requests access to the adapter on one server, and waits for it to load.
    async fn request_access(
        &self,
        (key, server): (PlacementKey, &Arc<Server>),
        (was_refused, may_fetch): (bool, bool),
        record: &mut Record,
    ) -> Access {
        let Some(id) = self.adapter() else {
            return Access::NoAdapter;
        };
        let started = self.entry.clock.now();
        let prompt = Prompt {
            tokens: self.info.prompt_tokens,
            first_token_deadline: self.response_due,
            event_gap_max: self.route.pause_objective,
        };
        let load_timeout = self.load_timeout;
        let params = AccessParams {
            id: &id,
            prompt,
            was_refused,
            may_fetch,
            load_timeout,
            deadline: self.deadline,
        };
        let access = access::request(&self.entry, (key, server), params).await;
        let elapsed = self.entry.clock.now().saturating_sub(started);
        if elapsed > Duration::ZERO {
            let (version, by) = match &access {
                Access::Granted(version, basis, _) => (Some(*version), Some(*basis)),
                Access::NoAdapter
                | Access::Denied
                | Access::OwnerLost(_)
                | Access::FetchRequired
                | Access::LoadTooLate(_)
                | Access::Full
                | Access::NotFound => (None, None),
            };
            let took_ms = elapsed.as_millis() as u64;
            record.add(Step::Asked { server: server.id.clone(), version, by, took_ms });
            self.entry.metrics.load_wait_seconds.observe(elapsed.as_secs_f64());
        }
        access
    }

    fn forward_response(
        self,
        response: ServerResponse,
        in_flight: InFlight,
        progress: Progress,
        record: Record,
    ) -> Response<CallerBody> {
        let ServerResponse { head, body, .. } = response;
        let now = self.entry.clock.now();
        let waited = now.saturating_sub(record.started());
        self.entry.metrics.head_seconds.observe(waited.as_secs_f64());
        let remaining = self.deadline.saturating_sub(now) + STREAM_DEADLINE_MARGIN;
        let (status, mut headers) = (head.status, head.headers);
        strip_hop_by_hop(&mut headers);
        // Another server may not produce exactly the announced Content-Length.
        let can_resume = self.route.class == RequestClass::Stream
            && self.route.is_repeatable()
            && status.is_success()
            && !headers.contains_key(header::CONTENT_LENGTH);
        let is_stream = self.route.class == RequestClass::Stream && status.is_success();
        let media = match headers.get(header::CONTENT_TYPE) {
            _ if !is_stream => Media::Other,
            Some(declared) if is_event_stream_type(declared) => Media::Events,
            None if body.framing() == Framing::Close => Media::Events,
            Some(_) | None => Media::Unclear,
        };
        let resumer = can_resume.then(|| Box::new(Resumer::new(self, progress, &headers)));
        let body = (body, media);
        let forwarded =
            ForwardedBody::new(body, remaining, status.as_u16(), record, in_flight, resumer);
        let mut res = Response::new(CallerBody::Forwarded(Box::new(forwarded)));
        *res.status_mut() = status;
        *res.headers_mut() = headers;
        res
    }
}
