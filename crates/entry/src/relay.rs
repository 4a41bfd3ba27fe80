//! Carries one request to a backend server and its answer back.

mod attempt;

use std::convert::Infallible;
use std::net::IpAddr;

use guavaspread_fleet::{
    AdapterId, Attempts, Outcome, Passage, Pick, PlacementKey, Prompt, RequestClass, Route, Server,
    Standing, Verdict,
};
use guavaspread_model::{ContentId, Refusal};
use http::{Request, Response, header, request};
use hyper::body::Incoming;

use crate::access::{self, Access, Kept, Want};
use crate::body::{InFlight, RelayBody, Relayed};
use crate::border::Asked;
use crate::channel::Answered;
use crate::headers::strip_hop_by_hop;
use crate::intake::prepare;
use crate::prelude::*;
use crate::record::{Record, Step};
use crate::refusals::{all_full, budget_spent, held, no_server, not_loaded, out_of_time, unknown};
use crate::respond::refuse;
use crate::resume::Resumer;
use crate::state::Entry;
use crate::word;

/// How long past its limit a stream may still run.
const STREAM_MARGIN: Duration = Duration::from_millis(350);
/// A request with less time left than that is not sent.
const LEFT_MIN: Duration = Duration::from_millis(10);
/// Full engines that a request asks before it is refused.
const FULL_MAX: u32 = 4;

/// Servers that may end under one request before it is given up, however soon they did.
const OWN_ENDS_MAX: u32 = 3;
/// Engines asked whether they have an adapter at hand before another one fetches it: as many
/// as its requests may have moved to while engines were lost.
const OTHERS_ASKED: usize = 2;

/// A server that may be asked.
type Choice = (PlacementKey, Arc<Server>);

/// Answers a caller's request.
pub(crate) async fn handle(
    entry: Rc<Entry>,
    caller: IpAddr,
    req: Request<Incoming>,
) -> Result<Response<RelayBody>, Infallible> {
    let mut record = Record::new(&entry);
    let (head, body) = req.into_parts();
    match prepare(&entry, caller, head, body, &mut record).await {
        Ok(call) => Ok(call.run(record).await),
        Err(refusal) => Ok(answer_refusal(record, &refusal)),
    }
}

fn answer_refusal(mut record: Record, refusal: &Refusal) -> Response<RelayBody> {
    record.code = Some(refusal.code.number());
    record.end(refusal.code.status(), "refused", true);
    refuse(refusal)
}

/// Holds a request on its way to a server.
pub(crate) struct Call {
    pub(crate) entry: Rc<Entry>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    pub(crate) asked: Asked,
    /// Names what the caller asks for.
    pub(crate) content: ContentId,
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    /// When its answer should have begun.
    pub(crate) due: Duration,
    /// How long it waits for a load.
    pub(crate) load_wait: Duration,
    /// When its caller or its route gives it up.
    pub(crate) until: Duration,
}

/// Tells how one attempt ended.
enum Attempt {
    Answered(Box<Answered>, InFlight),
    Failed(Outcome, Option<Box<Answered>>),
    /// The same server may be asked again, as after it had dropped an adapter.
    Again,
}

/// What has come of a request so far.
#[derive(Default)]
pub(crate) struct Progress {
    attempts: Attempts,
    tried: Vec<Arc<str>>,
    /// The version of the adapter that the run before was on, if there was one.
    version: Option<u64>,
    missed: bool,
    /// Whether it is let through once, though servers ended under its content.
    is_trial: bool,
    full: u32,
    /// A server's own failure is the better answer than one of this host.
    failure: Option<Box<Answered>>,
}

impl Progress {
    /// Decides what follows the loss of the server that answered.
    pub(crate) fn on_lost(&mut self, route: &Route, outcome: Outcome) -> Verdict {
        self.missed = false;
        self.attempts.after(route, outcome)
    }

    fn leave_out(&mut self, server: &Server) {
        self.tried.push(server.id.clone());
    }
}

/// Tells what became of a request.
pub(crate) enum Sent {
    /// A server answers.
    Answered(Box<Answered>, InFlight),
    /// It is given up.
    GivenUp(Refusal),
}

/// Tells how a look for a server ended.
enum Found {
    Server(Choice, Option<u64>, Kept),
    /// The one chosen does not take it.
    Next,
    None(Refusal),
}

impl Call {
    async fn run(self, mut record: Record) -> Response<RelayBody> {
        let mut progress = Progress::default();
        match self.send(&mut progress, &mut record).await {
            Sent::Answered(answered, in_flight) => {
                self.pass_on(*answered, in_flight, progress, record)
            }
            Sent::GivenUp(refusal) => match progress.failure.take() {
                Some(answered) => {
                    let in_flight = InFlight::start(&self.entry, PlacementKey::default());
                    self.pass_on(*answered, in_flight, progress, record)
                }
                None => answer_refusal(record, &refusal),
            },
        }
    }

    /// Sends the request to one server after another until one answers.
    pub(crate) async fn send(&self, progress: &mut Progress, record: &mut Record) -> Sent {
        loop {
            if self.until < self.entry.clock.now() + LEFT_MIN {
                return Sent::GivenUp(out_of_time(&progress.attempts));
            }
            if let Some(left) = self.held_for(progress).await {
                self.entry.metrics.requests_held.inc();
                record.add(Step::Held { left_ms: left.as_millis() as u64 });
                return Sent::GivenUp(held(&progress.attempts, left));
            }
            let ((key, server), version, kept) = match self.find(progress, record).await {
                Found::Server(choice, version, kept) => (choice, version, kept),
                Found::Next => continue,
                Found::None(refusal) => return Sent::GivenUp(refusal),
            };
            if progress.attempts.sent() > 0 && !self.entry.try_retry(&self.service) {
                record.add(Step::NoBudget);
                return Sent::GivenUp(budget_spent(&progress.attempts));
            }
            let attempts = &mut progress.attempts;
            let attempt = self.attempt(key, &server, version, attempts, record).await;
            let (outcome, answered) = match attempt {
                Attempt::Answered(answered, mut in_flight) => {
                    kept.on_read(self.entry.clock.now());
                    in_flight.kept = kept;
                    progress.version = version;
                    progress.leave_out(&server);
                    return Sent::Answered(answered, in_flight);
                }
                Attempt::Again => (Outcome::Refused, None),
                Attempt::Failed(outcome, answered) => {
                    progress.leave_out(&server);
                    (outcome, answered)
                }
            };
            progress.missed = outcome == Outcome::Refused;
            if answered.is_some() {
                progress.failure = answered;
            }
            let verdict = progress.attempts.after(&self.route, outcome);
            if self.entry.clock.now() >= self.until {
                return Sent::GivenUp(out_of_time(&progress.attempts));
            }
            match verdict {
                Verdict::TryNext => {}
                Verdict::NotRun | Verdict::MayHaveRun => {
                    return Sent::GivenUp(no_server(&progress.attempts, None));
                }
            }
        }
    }

    /// Tells for how long the request is held, as servers ended under its content.
    async fn held_for(&self, progress: &mut Progress) -> Option<Duration> {
        let sent = progress.attempts.sent();
        if self.entry.quarantine.borrow().is_empty() && sent < 2 {
            return None;
        }
        if progress.is_trial {
            return (!progress.attempts.is_not_run()).then_some(Duration::ZERO);
        }
        if !progress.attempts.is_not_run() {
            // Its own last attempt counts, once it is known what became of the server.
            word::await_probe(&self.entry, self.content, sent).await;
        }
        let ends = self.entry.quarantine.borrow().ends(self.content);
        if sent >= OWN_ENDS_MAX && ends >= OWN_ENDS_MAX as usize {
            return Some(Duration::ZERO);
        }
        match word::pass(&self.entry, self.content).await {
            Passage::Open => None,
            Passage::Held(left) => Some(left),
            Passage::Trial => {
                progress.is_trial = true;
                None
            }
        }
    }

    /// Looks for a server that may be sent the request.
    async fn find(&self, progress: &mut Progress, record: &mut Record) -> Found {
        let now = self.entry.clock.now();
        let (key, server) = match self.pick(&progress.tried, now) {
            Pick::Server(key, server) => (key, server),
            Pick::None(opens_at) => {
                record.add(Step::NoServer);
                let wait = opens_at.map(|at| at.saturating_sub(now));
                return Found::None(no_server(&progress.attempts, wait));
            }
        };
        let choice = (key, server);
        let ((key, server), access) =
            self.reach(choice, progress.missed, &progress.tried, record).await;
        let (version, kept) = match access {
            Access::Granted(version, kept) => (version, kept),
            Access::NotSoon(wait) => return Found::None(not_loaded(&progress.attempts, wait)),
            Access::Full if progress.full + 1 >= FULL_MAX => {
                return Found::None(all_full(&progress.attempts));
            }
            Access::Unknown => return Found::None(unknown(&progress.attempts)),
            access @ (Access::Denied | Access::Absent | Access::Full) => {
                progress.full += u32::from(matches!(access, Access::Full));
                progress.leave_out(&server);
                progress.missed = false;
                return Found::Next;
            }
        };
        let is_other_version = progress.version.is_some() && progress.version != version;
        if is_other_version || !self.is_ready(&server) {
            // It began to leave while the request waited for a load, or would go on with an
            // answer on another version than the one that began it.
            progress.leave_out(&server);
            return Found::Next;
        }
        Found::Server((key, server), version, kept)
    }

    fn pick(&self, tried: &[Arc<str>], now: Duration) -> Pick {
        let mut placement = self.entry.placement.borrow_mut();
        match (&self.asked.model, self.adapter()) {
            (Some(_), Some(id)) => {
                if tried.is_empty() {
                    placement.count(&id, now);
                }
                let tokens = self.asked.prompt_tokens;
                let grants = self.entry.grants.borrow();
                let holds = |server: &Server| grants.get(&server.id, &id, 0, now).is_some();
                placement.pick_adapter(&self.service, &id, tokens, tried, &holds, now)
            }
            (Some(model), None) => placement.pick_engine(&self.service, model, tried, now),
            (None, _) => placement.pick_plain(&self.service, tried, now),
        }
    }

    fn is_ready(&self, server: &Server) -> bool {
        let roster = self.entry.roster.borrow();
        let known = roster.get(&server.id).filter(|known| known.born == server.born);
        known.is_some_and(|known| self.entry.standing(known) == Standing::Open)
    }

    fn adapter(&self) -> Option<AdapterId> {
        let model = self.asked.model.clone()?;
        self.asked.adapter.clone().map(|adapter| AdapterId { model, adapter })
    }

    /// Asks for the use of the adapter: first of engines that have it at hand, then of the one
    /// chosen to fetch it.
    ///
    /// Answers the load pattern of engines that are lost and come back: their adapters are at
    /// hand at the engines next in order, and the weight store is what all engines wait for.
    async fn reach(
        &self,
        (key, server): Choice,
        missed: bool,
        tried: &[Arc<str>],
        record: &mut Record,
    ) -> (Choice, Access) {
        let access = self.access((key, &server), (missed, false), record).await;
        if !matches!(access, Access::Absent) {
            return ((key, server), access);
        }
        let mut left_out = tried.to_vec();
        left_out.push(server.id.clone());
        for (other_key, other) in self.others_in_order(&left_out) {
            let access = self.access((other_key, &other), (false, false), record).await;
            if matches!(access, Access::Granted(..)) {
                return ((other_key, other), access);
            }
        }
        let access = self.access((key, &server), (missed, true), record).await;
        ((key, server), access)
    }

    /// Returns the engines that are next in the adapter's order.
    fn others_in_order(&self, left_out: &[Arc<str>]) -> Vec<Choice> {
        let Some(id) = self.adapter() else { return Vec::new() };
        let placement = self.entry.placement.borrow();
        let mut engines = placement.in_order(&self.service, &id, left_out, self.entry.clock.now());
        engines.truncate(OTHERS_ASKED);
        engines
    }

    /// Waits until the server may be sent the request.
    async fn access(
        &self,
        (key, server): (PlacementKey, &Arc<Server>),
        (missed, may_fetch): (bool, bool),
        record: &mut Record,
    ) -> Access {
        let Some(id) = self.adapter() else {
            return Access::Granted(None, Kept::default());
        };
        let started = self.entry.clock.now();
        let prompt = Prompt {
            tokens: self.asked.prompt_tokens,
            due: self.due,
            pause: self.route.pause_objective,
        };
        let load_wait = self.load_wait;
        let want = Want { id: &id, prompt, missed, may_fetch, load_wait, until: self.until };
        let access = access::request(&self.entry, (key, server), want).await;
        let took = self.entry.clock.now().saturating_sub(started);
        if took > Duration::ZERO {
            let version = match &access {
                Access::Granted(version, _) => *version,
                Access::Denied
                | Access::Absent
                | Access::NotSoon(_)
                | Access::Full
                | Access::Unknown => None,
            };
            let took_ms = took.as_millis() as u64;
            record.add(Step::Asked { server: server.id.clone(), version, took_ms });
            self.entry.metrics.load_wait_seconds.observe(took.as_secs_f64());
        }
        access
    }

    fn pass_on(
        self,
        answered: Answered,
        in_flight: InFlight,
        progress: Progress,
        record: Record,
    ) -> Response<RelayBody> {
        let Answered { head, body } = answered;
        let now = self.entry.clock.now();
        let waited = now.saturating_sub(record.started());
        self.entry.metrics.head_seconds.observe(waited.as_secs_f64());
        let left = self.until.saturating_sub(now) + STREAM_MARGIN;
        let (status, mut headers) = (head.status, head.headers);
        strip_hop_by_hop(&mut headers);
        // A length that was named can't be kept by another server.
        let may_resume = self.route.class == RequestClass::Stream
            && self.route.is_repeatable()
            && status.is_success()
            && !headers.contains_key(header::CONTENT_LENGTH);
        let resumer = may_resume.then(|| Box::new(Resumer::new(self, progress)));
        let relayed = Relayed::new(body, left, status.as_u16(), record, in_flight, resumer);
        let mut res = Response::new(RelayBody::Relayed(Box::new(relayed)));
        *res.status_mut() = status;
        *res.headers_mut() = headers;
        res
    }
}
