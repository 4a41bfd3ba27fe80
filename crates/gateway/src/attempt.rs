//! Attempts at one request, until an answer starts or the request is refused.

use std::pin::Pin;

use futures::{Stream, stream};
use guavaspread_control::OpenError;
use guavaspread_placement::EngineKey;
use guavaspread_wire::Ask;
use guavaspread_wire::{FrameReceiver, RunEvent, RunOrder};

use crate::prelude::*;
use crate::worker::{Chosen, Worker};

const ATTEMPTS_MAX: usize = 4;
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

/// Receives the events of one run.
struct Receiver {
    worker: Rc<Worker>,
    engine: EngineKey,
    rx: FrameReceiver,
    until: Duration,
}

/// Tells what became of one attempt.
enum Attempt {
    Started(Answer),
    /// It did not run; another engine may take it.
    Elsewhere(Refusal),
    /// It may have run.
    Unknown(Refusal),
    /// No engine would do better.
    Final(Refusal),
}

/// Runs `order` on engine after engine until an answer starts.
///
/// The order's engine and remaining deadline are filled in for each attempt.
pub(crate) async fn start(
    worker: &Rc<Worker>,
    mut order: RunOrder,
    deadline: Duration,
) -> Result<Answer, Refusal> {
    worker.on_first_attempt();
    let mut tried = Vec::new();
    let mut last = no_backend();
    for attempt in 0..ATTEMPTS_MAX {
        let Some(chosen) = worker.route(&order.adapter, &tried) else {
            return Err(last);
        };
        if attempt > 0 && !worker.try_retry() {
            worker.on_attempt_ended(chosen.key);
            return Err(budget_spent(&last));
        }
        tried.push(chosen.key);
        let remaining = deadline.saturating_sub(worker.clock.now());
        order.engine = chosen.host.clone();
        order.deadline_ms = remaining.as_millis() as u32;
        let refusal = match attempt_once(worker, &chosen, &order, deadline).await {
            Attempt::Started(answer) => return Ok(answer),
            Attempt::Final(refusal) => return Err(refusal),
            Attempt::Elsewhere(refusal) => refusal,
            Attempt::Unknown(refusal) if order.repeatable => refusal,
            Attempt::Unknown(refusal) => return Err(refusal),
        };
        worker.on_attempt_failed(chosen.key);
        last = refusal;
    }
    Err(last)
}

async fn attempt_once(
    worker: &Rc<Worker>,
    chosen: &Chosen,
    order: &RunOrder,
    deadline: Duration,
) -> Attempt {
    let ask = Ask::Run(Box::new(order.clone()));
    let rx = match worker.links.open(chosen.dispatcher, &ask).await {
        Ok(rx) => rx,
        Err(e) => {
            worker.on_attempt_ended(chosen.key);
            return not_opened(&e);
        }
    };
    let until = deadline + DEADLINE_MARGIN;
    let mut rx = Receiver { worker: worker.clone(), engine: chosen.key, rx, until };
    match rx.next().await {
        Ok(RunEvent::Head { status, content_type, digest }) => {
            if let Some(digest) = digest {
                worker.on_digest(chosen.key, &digest);
            }
            Attempt::Started(Answer { status, content_type, events: rx.into_events() })
        }
        Ok(RunEvent::Refused(refusal)) => sort_refusal(refusal),
        Ok(RunEvent::Data(_) | RunEvent::Done) => {
            let detail = "the dispatcher's answer has no head";
            Attempt::Unknown(Refusal::maybe_ran(Code::BackendFailed, detail))
        }
        Err(refusal) => {
            worker.links.forget(chosen.dispatcher);
            Attempt::Unknown(refusal)
        }
    }
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
        (Code::DeadlineUnreachable | Code::DeadlinePassed, _) => Attempt::Final(refusal),
        (_, Ran::No) => Attempt::Elsewhere(refusal),
        (_, Ran::Maybe | Ran::Yes) => Attempt::Unknown(refusal),
    }
}

impl Receiver {
    /// Streams events up to the first that ends the answer.
    fn into_events(self) -> Events {
        Box::pin(stream::unfold(Some(self), |state| async move {
            let mut rx = state?;
            let event = rx.next().await;
            let more = matches!(event, Ok(RunEvent::Data(_) | RunEvent::Head { .. }));
            Some((event, more.then_some(rx)))
        }))
    }

    /// Receives the next event, or why there is none.
    async fn next(&mut self) -> Result<RunEvent, Refusal> {
        let now = self.worker.clock.now();
        let left = self.until.saturating_sub(now).max(Duration::from_millis(1));
        let lost = |detail: String| Refusal::maybe_ran(Code::Cut, detail);
        match ntex::time::timeout(left, self.rx.recv::<RunEvent>()).await {
            Ok(Ok(Some(event))) => Ok(event),
            Ok(Ok(None)) => Err(lost("the dispatcher ended the answer early".to_owned())),
            Ok(Err(e)) => Err(lost(e.to_string())),
            Err(()) => {
                let detail = "the deadline passed during the run";
                Err(Refusal::maybe_ran(Code::DeadlinePassed, detail))
            }
        }
    }
}

impl Drop for Receiver {
    fn drop(&mut self) {
        self.worker.on_attempt_ended(self.engine);
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
