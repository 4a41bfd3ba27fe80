//! Attempts at one request, until its answer is whole or it is refused.
//!
//! An attempt that did not run is followed by another elsewhere. One that may have
//! run is followed by another only if the request is repeatable, and, once the
//! caller has had a part of a stream, only if another run generates the same
//! events, of which the ones delivered are then left out.

use std::pin::Pin;

use futures::{Stream, stream};
use guavaspread_control::OpenError;
use guavaspread_placement::EngineKey;
use guavaspread_wire::{Ask, FrameReceiver, RunEvent, RunOrder};

use crate::prelude::*;
use crate::quarantine::{self, Verdict};
use crate::worker::{Chosen, Worker};

const ATTEMPTS_MAX: usize = 4;
/// How long a request waits for an engine to be reached: a lease and its takeover.
const PATIENCE: Duration = Duration::from_secs(8);
const NEWS_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a dispatcher may stay silent beyond the request's own deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(500);

/// Streams the events of an answer; dropping it cancels the run.
pub(crate) type Events = Pin<Box<dyn Stream<Item = Result<RunEvent, Refusal>>>>;

/// Holds an answer that has started.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) content_type: Option<String>,
    pub(crate) events: Events,
}

/// Carries one request through its attempts.
pub(crate) struct Run {
    worker: Rc<Worker>,
    order: RunOrder,
    content: u64,
    deterministic: bool,
    deadline: Duration,
    tried: Vec<EngineKey>,
    attempts: usize,
    /// Whether the last attempt reached a backend server, so that the next is a retry.
    reached: bool,
    /// Since when no engine could be reached.
    unreached_since: Option<Duration>,
    /// Events of a stream that the caller has had.
    delivered: u32,
}

/// Receives the events of one attempt.
struct Receiver {
    worker: Rc<Worker>,
    chosen: Chosen,
    rx: FrameReceiver,
    until: Duration,
}

struct Started {
    status: u16,
    content_type: Option<String>,
    rx: Receiver,
}

/// Tells what became of one attempt.
enum Attempt {
    Started(Box<Started>),
    /// It did not run; another engine may take it.
    Elsewhere(Refusal),
    /// It may have run.
    Unknown(Refusal),
    /// No engine would do better.
    Final(Refusal),
}

impl Run {
    /// Prepares to run `order`; its engine and remaining deadline are filled in for each attempt.
    pub(crate) fn new(
        worker: &Rc<Worker>,
        order: RunOrder,
        content: u64,
        deterministic: bool,
        deadline: Duration,
    ) -> Self {
        worker.on_first_attempt();
        Run {
            worker: worker.clone(),
            order,
            content,
            deterministic,
            deadline,
            tried: Vec::new(),
            attempts: 0,
            reached: false,
            unreached_since: None,
            delivered: 0,
        }
    }

    /// Tries engine after engine until an answer starts.
    pub(crate) async fn start(mut self) -> Result<Answer, Refusal> {
        let Started { status, content_type, rx } = self.try_engines(no_backend()).await?;
        let events = stream::unfold(Some((self, rx)), |state| async move {
            let (run, rx) = state?;
            let (event, state) = run.next_event(rx).await;
            Some((event, state))
        });
        Ok(Answer { status, content_type, events: Box::pin(events) })
    }

    async fn try_engines(&mut self, mut last: Refusal) -> Result<Started, Refusal> {
        while self.attempts < ATTEMPTS_MAX {
            let Some(chosen) = self.choose(&last) else {
                if !may_pass(&last) || self.is_patience_over() {
                    return Err(last);
                }
                self.wait_for_news().await;
                continue;
            };
            if std::mem::take(&mut self.reached) && !self.worker.try_retry() {
                self.worker.on_attempt_ended(chosen.key);
                return Err(budget_spent(&last));
            }
            self.tried.push(chosen.key);
            let attempt = self.attempt(&chosen).await;
            let unreached = matches!(&attempt, Attempt::Elsewhere(refusal) if may_pass(refusal));
            if !unreached {
                self.reached = true;
                self.unreached_since = None;
            }
            self.attempts += usize::from(!unreached);
            last = match attempt {
                Attempt::Started(started) => return Ok(*started),
                Attempt::Final(refusal) => return Err(refusal),
                Attempt::Elsewhere(refusal) => refusal,
                Attempt::Unknown(refusal) => self.after_unknown(refusal).await?,
            };
            self.worker.on_attempt_failed(&chosen);
        }
        Err(last)
    }

    /// Chooses an engine not tried yet; if there is none, one whose answer only broke off.
    fn choose(&mut self, last: &Refusal) -> Option<Chosen> {
        let adapter = &self.order.adapter;
        let fresh = self.worker.route(adapter, &self.tried);
        if fresh.is_some() || last.ran == Ran::No {
            return fresh;
        }
        self.tried.clear();
        self.worker.route(adapter, &self.tried)
    }

    /// Tells whether no engine could be reached for longer than it takes one to change hands.
    fn is_patience_over(&mut self) -> bool {
        let now = self.worker.clock.now();
        let since = *self.unreached_since.get_or_insert(now);
        now >= self.deadline || now >= since + PATIENCE
    }

    /// Waits until the control thread shows something new, then starts over.
    async fn wait_for_news(&mut self) {
        self.tried.clear();
        let mut board = self.worker.control.board.clone();
        board.mark_unchanged();
        // Without news the engines are tried again all the same: they may be back.
        let _ = ntex::time::timeout(NEWS_TIMEOUT, board.changed()).await;
    }

    async fn attempt(&mut self, chosen: &Chosen) -> Attempt {
        let remaining = self.deadline.saturating_sub(self.worker.clock.now());
        self.order.engine = chosen.host.clone();
        self.order.deadline_ms = remaining.as_millis() as u32;
        self.order.events_seen = self.delivered;
        let ask = Ask::Run(Box::new(self.order.clone()));
        let rx = match self.worker.links.open(chosen.dispatcher, &ask).await {
            Ok(rx) => rx,
            Err(e) => {
                self.worker.on_attempt_ended(chosen.key);
                return not_opened(&e);
            }
        };
        let until = self.deadline + DEADLINE_MARGIN;
        let mut rx = Receiver { worker: self.worker.clone(), chosen: chosen.clone(), rx, until };
        match rx.next().await {
            Ok(RunEvent::Head { status, content_type, digest }) => {
                if let Some(digest) = digest {
                    self.worker.on_digest(chosen.key, &digest);
                }
                Attempt::Started(Box::new(Started { status, content_type, rx }))
            }
            Ok(RunEvent::Refused(refusal)) => sort_refusal(refusal),
            Ok(RunEvent::Data(_) | RunEvent::Done) => {
                let detail = "the dispatcher's answer has no head";
                Attempt::Unknown(Refusal::maybe_ran(Code::BackendFailed, detail))
            }
            Err(refusal) => Attempt::Unknown(refusal),
        }
    }

    /// Decides whether a request that may have run is tried again.
    async fn after_unknown(&mut self, refusal: Refusal) -> Result<Refusal, Refusal> {
        if refusal.code == Code::BackendCrashed {
            match quarantine::on_crash(&self.worker, self.content).await {
                Verdict::RetryAlone => self.order.alone = true,
                Verdict::Quarantined => return Err(quarantine::refusal(refusal.ran)),
            }
        }
        let out_of_time = refusal.code == Code::DeadlinePassed;
        match self.order.repeatable && !out_of_time {
            true => Ok(refusal),
            false => Err(refusal),
        }
    }

    async fn next_event(
        mut self,
        mut rx: Receiver,
    ) -> (Result<RunEvent, Refusal>, Option<(Self, Receiver)>) {
        let refusal = match rx.next().await {
            Ok(RunEvent::Done) => return (Ok(RunEvent::Done), None),
            Ok(RunEvent::Refused(refusal)) | Err(refusal) => refusal,
            Ok(event) => {
                self.delivered += u32::from(self.order.stream);
                return (Ok(event), Some((self, rx)));
            }
        };
        self.worker.on_attempt_failed(&rx.chosen);
        drop(rx);
        match self.resume(refusal).await {
            Ok(started) => {
                let Started { status, content_type, rx } = started;
                let head = RunEvent::Head { status, content_type, digest: None };
                (Ok(head), Some((self, rx)))
            }
            Err(refusal) => (Err(refusal), None),
        }
    }

    /// Runs the request again after its answer broke off, if that can go unnoticed.
    async fn resume(&mut self, refusal: Refusal) -> Result<Started, Refusal> {
        let refusal = self.after_unknown(refusal).await?;
        if self.delivered > 0 && !self.deterministic {
            return Err(refusal);
        }
        self.try_engines(refusal).await
    }
}

impl Receiver {
    /// Receives the next event, or why there is none.
    async fn next(&mut self) -> Result<RunEvent, Refusal> {
        let now = self.worker.clock.now();
        let left = self.until.saturating_sub(now).max(Duration::from_millis(1));
        let lost = |detail: String| Refusal::maybe_ran(Code::Cut, detail);
        let result = match ntex::time::timeout(left, self.rx.recv::<RunEvent>()).await {
            Ok(Ok(Some(event))) => return Ok(event),
            Ok(Ok(None)) => Err(lost("the dispatcher ended the answer early".to_owned())),
            Ok(Err(e)) => Err(lost(e.to_string())),
            Err(()) => {
                let detail = "the deadline passed during the run";
                Err(Refusal::maybe_ran(Code::DeadlinePassed, detail))
            }
        };
        self.worker.links.forget(self.chosen.dispatcher);
        result
    }
}

impl Drop for Receiver {
    fn drop(&mut self) {
        self.worker.on_attempt_ended(self.chosen.key);
    }
}

/// Tells a failure that passes by itself, as when an engine changes hands.
fn may_pass(refusal: &Refusal) -> bool {
    refusal.ran == Ran::No
        && matches!(refusal.code, Code::NoBackend | Code::NotOwner | Code::Stopping)
}

fn not_opened(error: &OpenError) -> Attempt {
    match error {
        OpenError::NotSent(detail) => {
            let refusal = Refusal::not_run(Code::NoBackend, detail.clone());
            Attempt::Elsewhere(refusal.retry_after_ms(1_000))
        }
        OpenError::Unknown(detail) => {
            Attempt::Unknown(Refusal::maybe_ran(Code::BackendFailed, detail.clone()))
        }
    }
}

fn sort_refusal(refusal: Refusal) -> Attempt {
    match (refusal.code, refusal.ran) {
        (Code::DeadlineUnreachable, _) => Attempt::Final(refusal),
        (_, Ran::No) => Attempt::Elsewhere(refusal),
        (_, Ran::Maybe | Ran::Yes) => Attempt::Unknown(refusal),
    }
}

fn no_backend() -> Refusal {
    Refusal::not_run(Code::NoBackend, "no backend server takes work").retry_after_ms(1_000)
}

/// Keeps what is known of whether the request ran.
fn budget_spent(last: &Refusal) -> Refusal {
    let detail = format!("no retry is left; the last attempt ended with {last}");
    Refusal { code: Code::RetryBudgetSpent, ran: last.ran, detail, retry_after_ms: Some(1_000) }
}
