//! Requests that may run at most once.
//!
//! Such a request runs in a task of its own, which goes on when the caller is
//! gone: the caller's repeat then finds the answer.

use futures::StreamExt;
use futures::stream;
use guavaspread_claims::{Claim, ClaimRow, ClaimState, Claimer, Ended, Next, StoredAnswer};
use guavaspread_config::Acknowledgement;
use guavaspread_control::MEMBER_PREFIX;
use guavaspread_model::content_hash;
use guavaspread_store::{Category, Committed, Error, Transaction, Write};
use guavaspread_wire::RunEvent;
use ntex::web::HttpRequest;
use tokio::sync::{mpsc, oneshot};

use crate::attempt::Answer;
use crate::completion::header_text;
use crate::prelude::*;
use crate::worker::Worker;

const KEY_HEADER: &str = "idempotency-key";
const KEY_CHARS_MAX: usize = 255;
/// Larger answers are not kept for a repeat.
const STORED_BYTES_MAX: usize = 256 * 1024;
const RECORD_TRIES_MAX: u32 = 50;
const RECORD_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Events on their way to a caller that reads slowly.
const EVENTS_BUFFERED: usize = 4_096;

/// Identifies a request that may run at most once.
pub(crate) struct OnceKey {
    row_key: String,
    content: u64,
}

/// Holds an answer of this run or of an earlier one.
pub(crate) enum Outcome {
    Live(Answer),
    Stored(StoredAnswer),
}

type EventSender = mpsc::Sender<Result<RunEvent, Refusal>>;

impl OnceKey {
    /// Reads the caller's `Idempotency-Key`.
    pub(crate) fn of(
        req: &HttpRequest,
        organisation: Name,
        path: &str,
        body: &[u8],
    ) -> Result<Self, Refusal> {
        let key = header_text(req, KEY_HEADER).unwrap_or("");
        if key.is_empty() || key.len() > KEY_CHARS_MAX {
            let detail = format!("send an `Idempotency-Key` of 1 to {KEY_CHARS_MAX} characters");
            return Err(Refusal::not_run(Code::IdempotencyKeyMissing, detail));
        }
        let content = [req.method().as_str().as_bytes(), path.as_bytes(), body].join(&0);
        let row_key = format!("claim/{organisation}/{key}");
        Ok(OnceKey { row_key, content: content_hash(&content) })
    }
}

/// Runs `start` if this process may, or answers with what an earlier run answered.
pub(crate) async fn run_once(
    worker: &Rc<Worker>,
    key: OnceKey,
    deadline: Duration,
    start: impl Future<Output = Result<Answer, Refusal>> + 'static,
) -> Result<Outcome, Refusal> {
    let (reply, outcome) = oneshot::channel();
    let claimer =
        Claimer { host: worker.cfg.process.host.clone(), incarnation: worker.incarnation };
    let claim = Claim::new(claimer, rand::random(), key.content, deadline);
    let driver = Driver { worker: worker.clone(), row_key: key.row_key, claim };
    ntex::rt::spawn(driver.run(start, reply));
    let lost = || Refusal::maybe_ran(Code::OutcomeUnknown, "the run was given up");
    outcome.await.unwrap_or_else(|_| Err(lost()))
}

struct Driver {
    worker: Rc<Worker>,
    row_key: String,
    claim: Claim,
}

impl Driver {
    async fn run(
        mut self,
        start: impl Future<Output = Result<Answer, Refusal>>,
        reply: oneshot::Sender<Result<Outcome, Refusal>>,
    ) {
        let first = self.claim.start();
        match self.drive(first).await {
            Next::Run => self.run_claimed(start, reply).await,
            Next::Answer(answer) => send(reply, Ok(Outcome::Stored(answer))),
            Next::Refuse(refusal) => send(reply, Err(refusal)),
            Next::Insert(_)
            | Next::Read
            | Next::ReadAfter(_)
            | Next::Update { .. }
            | Next::Nothing => {
                let refusal = Refusal::not_run(Code::Stopping, "the claim was given up");
                send(reply, Err(refusal));
            }
        }
    }

    /// Carries out what the claim decides, up to a decision about the request.
    async fn drive(&mut self, mut next: Next) -> Next {
        loop {
            next = match next {
                Next::Insert(row) => self.write(Some(row), None).await,
                Next::Update { row, revision } => self.write(row, Some(revision)).await,
                Next::Read => self.read().await,
                Next::ReadAfter(pause) => {
                    ntex::time::sleep(pause).await;
                    self.read().await
                }
                decided => return decided,
            };
        }
    }

    async fn run_claimed(
        &mut self,
        start: impl Future<Output = Result<Answer, Refusal>>,
        reply: oneshot::Sender<Result<Outcome, Refusal>>,
    ) {
        match start.await {
            Err(refusal) => {
                self.record(ended(&refusal)).await;
                send(reply, Err(refusal));
            }
            Ok(answer) => {
                let (tx, rx) = mpsc::channel(EVENTS_BUFFERED);
                let events =
                    stream::unfold(
                        rx,
                        |mut rx| async move { rx.recv().await.map(|event| (event, rx)) },
                    );
                let Answer { status, content_type, events: run } = answer;
                let live =
                    Answer { status, content_type: content_type.clone(), events: Box::pin(events) };
                send(reply, Ok(Outcome::Live(live)));
                let stored =
                    StoredAnswer { status, content_type, stream: false, parts: Vec::new() };
                self.follow(run, stored, tx).await;
            }
        }
    }

    /// Relays the events of the run, and records its end before the caller sees it.
    async fn follow(
        &mut self,
        mut run: crate::attempt::Events,
        mut stored: StoredAnswer,
        tx: EventSender,
    ) {
        let event_stream = "text/event-stream";
        stored.stream = stored.content_type.as_deref().is_some_and(|t| t.starts_with(event_stream));
        while let Some(event) = run.next().await {
            match &event {
                Ok(RunEvent::Data(data)) => {
                    stored.parts.push(String::from_utf8_lossy(data).into_owned());
                }
                Ok(RunEvent::Head { .. }) => {}
                Ok(RunEvent::Done) => self.record(whole(stored.clone())).await,
                Ok(RunEvent::Refused(refusal)) | Err(refusal) => self.record(ended(refusal)).await,
            }
            // The run goes on without its caller, whose repeat finds the answer.
            let _ = tx.try_send(event);
        }
    }

    async fn record(&mut self, ended: Ended) {
        let mut next = self.claim.on_ended(ended);
        for _ in 0..RECORD_TRIES_MAX {
            next = match next {
                Next::Update { row, revision } => self.write(row, Some(revision)).await,
                Next::Read => self.read().await,
                _ => return,
            };
            if next != Next::Nothing {
                ntex::time::sleep(RECORD_RETRY_INTERVAL).await;
            }
        }
        log::warn!("{}: the end of the run was not recorded", self.row_key);
    }

    async fn write(&mut self, row: Option<Box<ClaimRow>>, revision: Option<u64>) -> Next {
        let value = row.and_then(|row| serde_json::to_string(&*row).ok());
        let mut tx = Transaction::default();
        tx.conditions.push(guavaspread_store::Condition { key: self.row_key.clone(), revision });
        tx.writes.push(Write { key: self.row_key.clone(), value });
        let result = self.worker.claims.commit(tx).await;
        self.on_commit(result)
    }

    fn on_commit(&mut self, result: Result<Committed, Error>) -> Next {
        match result {
            Ok(committed) => self.claim.on_written(committed.revision),
            Err(e) => self.on_error(&e),
        }
    }

    fn on_error(&mut self, error: &Error) -> Next {
        match error.classify() {
            Category::Conflict => self.claim.on_conflict(),
            Category::NotDone => self.claim.on_not_reached(),
            Category::Unknown => self.claim.on_answer_lost(),
        }
    }

    async fn read(&mut self) -> Next {
        let found = match self.worker.platform.get(&self.row_key).await {
            Ok(found) => found,
            Err(e) => return self.on_error(&e),
        };
        let found = found.and_then(|row| {
            serde_json::from_str::<ClaimRow>(&row.value).ok().map(|value| (value, row.revision))
        });
        let alive = self.is_claimer_alive(found.as_ref()).await;
        self.claim.on_row(found, |_| alive, self.worker.clock.now())
    }

    /// Tells whether the process that claimed the request may still run it; a process that
    /// left in order, or was followed by another on its host, does not.
    async fn is_claimer_alive(&self, found: Option<&(ClaimRow, u64)>) -> bool {
        let Some((row, _)) = found.filter(|(row, _)| row.state == ClaimState::Claimed) else {
            return true;
        };
        let key = format!("{MEMBER_PREFIX}{}.gateway", row.claimer.host);
        match self.worker.platform.get(&key).await {
            Ok(Some(member)) => serde_json::from_str::<Acknowledgement>(&member.value)
                .is_ok_and(|member| member.incarnation == row.claimer.incarnation),
            Ok(None) => false,
            Err(_) => true,
        }
    }
}

fn whole(stored: StoredAnswer) -> Ended {
    let size: usize = stored.parts.iter().map(String::len).sum();
    if size <= STORED_BYTES_MAX {
        return Ended::Whole(stored);
    }
    let detail = "the request ran; its answer was too large to keep";
    Ended::Unknown(Refusal {
        code: Code::OutcomeUnknown,
        ran: Ran::Yes,
        detail: detail.to_owned(),
        retry_after_ms: None,
    })
}

fn ended(refusal: &Refusal) -> Ended {
    match refusal.ran {
        Ran::No => Ended::NotRun,
        Ran::Maybe | Ran::Yes => Ended::Unknown(refusal.clone()),
    }
}

fn send(reply: oneshot::Sender<Result<Outcome, Refusal>>, outcome: Result<Outcome, Refusal>) {
    // The caller may have gone; its repeat finds the row.
    let _ = reply.send(outcome);
}
