//! Runs the attempts of a request until its response is complete or it is refused.
//!
//! A request that did not run is retried on another engine. A request that may have
//! run is retried only if it is repeatable. Once the caller has received a part of a
//! stream, the request must also be deterministic: the retry generates the same
//! events, and those already delivered are skipped.

use std::pin::Pin;

use futures::{Stream, stream};
use guavaspread_control::OpenError;
use guavaspread_placement::EngineKey;
use guavaspread_wire::{DispatcherRequest, FrameReceiver, RunCommand, RunEvent};

use crate::prelude::*;
use crate::quarantine::{self, CrashAction};
use crate::worker::{ChosenEngine, Worker};

/// Statuses that callers take for the promise that the request did not run. Backend servers state
/// no such thing.
pub(crate) const REFUSAL_STATUSES: [u16; 4] = [408, 421, 429, 503];
const STATUS_OK: u16 = 200;
const ATTEMPTS_MAX: usize = 4;
/// How long a request waits for a reachable engine: enough for a lease expiry and a takeover.
const ENGINE_WAIT_TIMEOUT: Duration = Duration::from_secs(8);
const ROUTING_UPDATE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long after the request's deadline a dispatcher's events are still awaited.
const RESPONSE_DEADLINE_MARGIN: Duration = Duration::from_millis(500);

/// A stream of the events of a run; dropping it cancels the run.
pub(crate) type RunEvents = Pin<Box<dyn Stream<Item = Result<RunEvent, Refusal>>>>;

/// Holds a response whose head has arrived.
pub(crate) struct RunResponse {
    pub(crate) status: u16,
    pub(crate) content_type: Option<String>,
    pub(crate) events: RunEvents,
}

/// Attempts one request on one engine after another.
pub(crate) struct RequestAttempts {
    worker: Rc<Worker>,
    command: RunCommand,
    content: u64,
    deterministic: bool,
    deadline: Duration,
    tried_engines: Vec<EngineKey>,
    attempt_count: usize,
    /// Whether the last attempt reached a backend server, so that the next one counts as a retry.
    reached_backend: bool,
    /// The refusal of the last attempt that may have run.
    may_have_run: Option<Refusal>,
    /// Since when no engine has been reachable.
    unreachable_since: Option<Duration>,
    /// Number of stream events delivered to the caller.
    delivered_events: u32,
}

/// Receives the events of one attempt.
struct EventReceiver {
    worker: Rc<Worker>,
    chosen: ChosenEngine,
    rx: FrameReceiver,
    receive_deadline: Duration,
}

struct Started {
    status: u16,
    content_type: Option<String>,
    rx: EventReceiver,
}

/// Describes the outcome of one attempt.
enum AttemptOutcome {
    Started(Box<Started>),
    /// The request did not run and may be retried on another engine.
    NotRun(Refusal),
    /// The request may have run.
    MaybeRan(Refusal),
    /// The refusal holds for every engine.
    NotRetryable(Refusal),
}

impl RequestAttempts {
    /// Prepares the attempts; each fills in the engine and remaining deadline of `command`.
    pub(crate) fn new(
        worker: &Rc<Worker>,
        command: RunCommand,
        content: u64,
        deterministic: bool,
        deadline: Duration,
    ) -> Self {
        worker.count_first_attempt();
        RequestAttempts {
            worker: worker.clone(),
            command,
            content,
            deterministic,
            deadline,
            tried_engines: Vec::new(),
            attempt_count: 0,
            reached_backend: false,
            may_have_run: None,
            unreachable_since: None,
            delivered_events: 0,
        }
    }

    /// Tries one engine after another until a response starts.
    pub(crate) async fn start(mut self) -> Result<RunResponse, Refusal> {
        let Started { status, content_type, rx } = self.try_engines(no_backend_refusal()).await?;
        let events = stream::unfold(Some((self, rx)), |state| async move {
            let (attempts, rx) = state?;
            let (event, state) = attempts.next_event(rx).await;
            Some((event, state))
        });
        Ok(RunResponse { status, content_type, events: Box::pin(events) })
    }

    async fn try_engines(&mut self, last: Refusal) -> Result<Started, Refusal> {
        let started = self.try_each_engine(last).await;
        started.map_err(|last| final_refusal(last, self.may_have_run.take()))
    }

    async fn try_each_engine(&mut self, mut last: Refusal) -> Result<Started, Refusal> {
        while self.attempt_count < ATTEMPTS_MAX {
            let Some(chosen) = self.choose_engine(&last) else {
                if !is_transient(&last) || self.has_wait_expired() {
                    return Err(last);
                }
                self.wait_for_routing_update().await;
                continue;
            };
            if std::mem::take(&mut self.reached_backend) && !self.worker.try_spend_retry() {
                self.worker.on_attempt_ended(chosen.key);
                return Err(retry_budget_refusal(&last));
            }
            self.tried_engines.push(chosen.key);
            let outcome = self.run_attempt(&chosen).await;
            let was_unreachable =
                matches!(&outcome, AttemptOutcome::NotRun(refusal) if is_transient(refusal));
            if !was_unreachable {
                self.reached_backend = true;
                self.unreachable_since = None;
            }
            self.attempt_count += usize::from(!was_unreachable);
            last = match outcome {
                AttemptOutcome::Started(started) => return Ok(*started),
                AttemptOutcome::NotRetryable(refusal) => return Err(refusal),
                AttemptOutcome::NotRun(refusal) => refusal,
                AttemptOutcome::MaybeRan(refusal) => self.on_maybe_ran(refusal).await?,
            };
            self.log_failure(&chosen, &last);
            self.worker.on_attempt_failed(&chosen);
        }
        Err(last)
    }

    /// Chooses an engine not tried yet.
    ///
    /// If all were tried and the last attempt may have run, any engine can be chosen again.
    fn choose_engine(&mut self, last: &Refusal) -> Option<ChosenEngine> {
        let adapter = &self.command.adapter;
        let untried = self.worker.route(adapter, &self.tried_engines);
        if untried.is_some() || last.ran == Ran::No {
            return untried;
        }
        self.tried_engines.clear();
        self.worker.route(adapter, &self.tried_engines)
    }

    /// Returns whether the deadline passed or no engine was reachable for [`ENGINE_WAIT_TIMEOUT`].
    fn has_wait_expired(&mut self) -> bool {
        let now = self.worker.clock.now();
        let since = *self.unreachable_since.get_or_insert(now);
        now >= self.deadline || now >= since + ENGINE_WAIT_TIMEOUT
    }

    /// Waits until the control thread publishes a new routing state and allows all engines again.
    async fn wait_for_routing_update(&mut self) {
        self.tried_engines.clear();
        let mut routing = self.worker.control.routing.clone();
        routing.mark_unchanged();
        // After a timeout the engines are tried again too: they may be reachable by now.
        let _ = ntex::time::timeout(ROUTING_UPDATE_TIMEOUT, routing.changed()).await;
    }

    async fn run_attempt(&mut self, chosen: &ChosenEngine) -> AttemptOutcome {
        let remaining = self.deadline.saturating_sub(self.worker.clock.now());
        self.command.engine = chosen.host.clone();
        self.command.timeout_ms = remaining.as_millis() as u32;
        self.command.events_delivered = self.delivered_events;
        let request = DispatcherRequest::Run(Box::new(self.command.clone()));
        let rx = match self
            .worker
            .dispatcher_client
            .open_stream(chosen.dispatcher_address, &request)
            .await
        {
            Ok(rx) => rx,
            Err(e) => {
                self.worker.on_attempt_ended(chosen.key);
                return open_error_outcome(&e);
            }
        };
        let receive_deadline = self.deadline + RESPONSE_DEADLINE_MARGIN;
        let mut rx = EventReceiver {
            worker: self.worker.clone(),
            chosen: chosen.clone(),
            rx,
            receive_deadline,
        };
        match rx.next().await {
            Ok(RunEvent::ResponseHead { status, .. }) if REFUSAL_STATUSES.contains(&status) => {
                let detail = format!("the engine failed with {status}");
                AttemptOutcome::MaybeRan(Refusal::maybe_ran(Code::BackendFailed, detail))
            }
            Ok(RunEvent::ResponseHead { status, content_type, digest }) => {
                if let Some(digest) = digest {
                    self.worker.on_digest(chosen.key, &digest);
                }
                AttemptOutcome::Started(Box::new(Started { status, content_type, rx }))
            }
            Ok(RunEvent::Refused(refusal)) => classify_refusal(refusal),
            Ok(RunEvent::Data(_) | RunEvent::Done) => {
                let detail = "the dispatcher's response has no head";
                AttemptOutcome::MaybeRan(Refusal::maybe_ran(Code::BackendFailed, detail))
            }
            Err(refusal) => AttemptOutcome::MaybeRan(refusal),
        }
    }

    fn log_failure(&self, chosen: &ChosenEngine, refusal: &Refusal) {
        log::debug!(
            "request {:016x} failed on {} after {} events, retrying if allowed: {refusal}",
            self.command.id,
            chosen.host,
            self.delivered_events
        );
    }

    /// Counts a crash and returns the refusal as `Ok` if the request can be retried.
    async fn on_maybe_ran(&mut self, refusal: Refusal) -> Result<Refusal, Refusal> {
        if refusal.code == Code::BackendCrashed {
            match quarantine::on_crash(&self.worker, self.content).await {
                CrashAction::RetryExclusive => self.command.exclusive = true,
                CrashAction::Quarantined => return Err(quarantine::refusal(refusal.ran)),
            }
        }
        let deadline_passed = refusal.code == Code::DeadlinePassed;
        self.may_have_run = Some(refusal.clone());
        match self.command.repeatable && !deadline_passed {
            true => Ok(refusal),
            false => Err(refusal),
        }
    }

    async fn next_event(
        mut self,
        mut rx: EventReceiver,
    ) -> (Result<RunEvent, Refusal>, Option<(Self, EventReceiver)>) {
        let refusal = match rx.next().await {
            Ok(RunEvent::Done) => return (Ok(RunEvent::Done), None),
            Ok(RunEvent::Refused(refusal)) | Err(refusal) => refusal,
            Ok(event) => {
                self.delivered_events += u32::from(self.command.stream);
                return (Ok(event), Some((self, rx)));
            }
        };
        self.log_failure(&rx.chosen, &refusal);
        self.worker.on_attempt_failed(&rx.chosen);
        drop(rx);
        match self.resume(refusal).await {
            // The caller has the head of a stream of events; nothing else may follow it.
            Ok(Started { status, .. }) if self.command.stream && status != STATUS_OK => {
                let detail =
                    format!("the engine that was to continue the stream answered {status}");
                (Err(Refusal::maybe_ran(Code::Cut, detail)), None)
            }
            Ok(started) => {
                let Started { status, content_type, rx } = started;
                let head = RunEvent::ResponseHead { status, content_type, digest: None };
                (Ok(head), Some((self, rx)))
            }
            Err(refusal) => (Err(refusal), None),
        }
    }

    /// Retries a request whose response was cut, if the caller can't notice the retry.
    async fn resume(&mut self, refusal: Refusal) -> Result<Started, Refusal> {
        let refusal = self.on_maybe_ran(refusal).await?;
        if self.delivered_events > 0 && !self.deterministic {
            return Err(refusal);
        }
        self.try_engines(refusal).await
    }
}

impl EventReceiver {
    /// Receives the next event, or returns the reason why none arrived.
    async fn next(&mut self) -> Result<RunEvent, Refusal> {
        let now = self.worker.clock.now();
        let remaining = self.receive_deadline.saturating_sub(now).max(Duration::from_millis(1));
        let connection_lost = |detail: String| Refusal::maybe_ran(Code::Cut, detail);
        let result = match ntex::time::timeout(remaining, self.rx.recv::<RunEvent>()).await {
            Ok(Ok(Some(event))) => return Ok(event),
            Ok(Ok(None)) => {
                Err(connection_lost("the dispatcher ended the response early".to_owned()))
            }
            Ok(Err(e)) => Err(connection_lost(e.to_string())),
            Err(()) => {
                let detail = "the deadline passed during the run";
                Err(Refusal::maybe_ran(Code::DeadlinePassed, detail))
            }
        };
        self.worker.dispatcher_client.drop_connection(self.chosen.dispatcher_address);
        result
    }
}

impl Drop for EventReceiver {
    fn drop(&mut self) {
        self.worker.on_attempt_ended(self.chosen.key);
    }
}

/// Returns whether the failure is transient, as during a change of an engine's owner.
fn is_transient(refusal: &Refusal) -> bool {
    refusal.ran == Ran::No
        && matches!(refusal.code, Code::NoBackend | Code::NotOwner | Code::Stopping)
}

fn open_error_outcome(error: &OpenError) -> AttemptOutcome {
    match error {
        OpenError::NotSent(detail) => {
            let refusal = Refusal::not_run(Code::NoBackend, detail.clone());
            AttemptOutcome::NotRun(refusal.with_retry_after_ms(1_000))
        }
        OpenError::MaybeSent(detail) => {
            AttemptOutcome::MaybeRan(Refusal::maybe_ran(Code::BackendFailed, detail.clone()))
        }
    }
}

fn classify_refusal(refusal: Refusal) -> AttemptOutcome {
    match (refusal.code, refusal.ran) {
        (Code::DeadlineUnreachable, _) => AttemptOutcome::NotRetryable(refusal),
        (_, Ran::No) => AttemptOutcome::NotRun(refusal),
        (_, Ran::Maybe | Ran::Yes) => AttemptOutcome::MaybeRan(refusal),
    }
}

fn no_backend_refusal() -> Refusal {
    Refusal::not_run(Code::NoBackend, "no backend server accepts requests")
        .with_retry_after_ms(1_000)
}

/// Returns the refusal of a request whose last attempt failed with `last`: no status may promise
/// that it did not run if an earlier attempt may have run it.
pub(crate) fn final_refusal(last: Refusal, may_have_run: Option<Refusal>) -> Refusal {
    match may_have_run {
        Some(refusal) if last.ran == Ran::No => {
            let detail = format!("{}; its retry failed: {last}", refusal.detail);
            Refusal { detail, ..refusal }
        }
        Some(_) | None => last,
    }
}

fn retry_budget_refusal(last: &Refusal) -> Refusal {
    let detail = format!("the retry budget is spent; the last attempt failed with {last}");
    Refusal::not_run(Code::RetryBudgetSpent, detail).with_retry_after_ms(1_000)
}
