//! Runs requests with an idempotency key at most once.
//!
//! Such a request runs in a separate task that continues when the caller
//! disconnects, so that a repeated request gets the stored response.

use futures::StreamExt;
use futures::stream;
use guavaspread_claims::{
    Claim, ClaimAction, ClaimRow, ClaimState, Claimer, RunOutcome, StoredResponse,
};
use guavaspread_config::Acknowledgement;
use guavaspread_control::MEMBER_PREFIX;
use guavaspread_model::content_hash;
use guavaspread_store::{Category, CommitReceipt, Error, Transaction, Write};
use guavaspread_wire::RunEvent;
use ntex::web::HttpRequest;
use tokio::sync::{mpsc, oneshot};

use crate::attempt::RunResponse;
use crate::completion::header_text;
use crate::prelude::*;
use crate::worker::Worker;

const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const IDEMPOTENCY_KEY_CHARS_MAX: usize = 255;
/// Limits the size of stored responses; a repeated request can't get a larger one.
const STORED_RESPONSE_BYTES_MAX: usize = 256 * 1024;
const RECORD_ATTEMPTS_MAX: u32 = 50;
const RECORD_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Number of events that are buffered for a caller that reads slowly.
const EVENT_BUFFER_CAPACITY: usize = 4_096;

/// Identifies a request that may run at most once, by its claim row and content.
pub(crate) struct IdempotencyKey {
    row_key: String,
    content: u64,
}

/// Holds the response of this run, or the stored response of an earlier run.
pub(crate) enum ResponseSource {
    Live(RunResponse),
    Stored(StoredResponse),
}

type EventSender = mpsc::Sender<Result<RunEvent, Refusal>>;

impl IdempotencyKey {
    /// Reads the request's `Idempotency-Key` header.
    pub(crate) fn from_request(
        req: &HttpRequest,
        organisation: Name,
        path: &str,
        body: &[u8],
    ) -> Result<Self, Refusal> {
        let key = header_text(req, IDEMPOTENCY_KEY_HEADER).unwrap_or("");
        if key.is_empty() || key.len() > IDEMPOTENCY_KEY_CHARS_MAX {
            let detail =
                format!("send an `Idempotency-Key` of 1 to {IDEMPOTENCY_KEY_CHARS_MAX} characters");
            return Err(Refusal::not_run(Code::IdempotencyKeyMissing, detail));
        }
        let content = [req.method().as_str().as_bytes(), path.as_bytes(), body].join(&0);
        let row_key = format!("claim/{organisation}/{key}");
        Ok(IdempotencyKey { row_key, content: content_hash(&content) })
    }
}

/// Runs `start` if this process gets the claim, or returns the stored response of an earlier run.
pub(crate) async fn run_at_most_once(
    worker: &Rc<Worker>,
    key: IdempotencyKey,
    deadline: Duration,
    start: impl Future<Output = Result<RunResponse, Refusal>> + 'static,
) -> Result<ResponseSource, Refusal> {
    let (reply, source) = oneshot::channel();
    let claimer =
        Claimer { host: worker.cfg.process.host.clone(), incarnation: worker.incarnation };
    let claim = Claim::new(claimer, rand::random(), key.content, deadline);
    let driver = ClaimDriver { worker: worker.clone(), row_key: key.row_key, claim };
    ntex::rt::spawn(driver.run(start, reply));
    let task_dropped = || Refusal::maybe_ran(Code::OutcomeUnknown, "the run was abandoned");
    source.await.unwrap_or_else(|_| Err(task_dropped()))
}

struct ClaimDriver {
    worker: Rc<Worker>,
    row_key: String,
    claim: Claim,
}

impl ClaimDriver {
    async fn run(
        mut self,
        start: impl Future<Output = Result<RunResponse, Refusal>>,
        reply: oneshot::Sender<Result<ResponseSource, Refusal>>,
    ) {
        let first_action = self.claim.start();
        match self.resolve_claim(first_action).await {
            ClaimAction::Run => self.run_claimed(start, reply).await,
            ClaimAction::Respond(response) => {
                send_reply(reply, Ok(ResponseSource::Stored(response)))
            }
            ClaimAction::Refuse(refusal) => send_reply(reply, Err(refusal)),
            ClaimAction::Insert(_)
            | ClaimAction::Read
            | ClaimAction::ReadAfter(_)
            | ClaimAction::Update { .. }
            | ClaimAction::Nothing => {
                let refusal = Refusal::not_run(Code::Stopping, "the claim was abandoned");
                send_reply(reply, Err(refusal));
            }
        }
    }

    /// Executes the claim's reads and writes until the claim decides on the request.
    async fn resolve_claim(&mut self, mut action: ClaimAction) -> ClaimAction {
        loop {
            action = match action {
                ClaimAction::Insert(row) => self.write_row(Some(row), None).await,
                ClaimAction::Update { row, revision } => self.write_row(row, Some(revision)).await,
                ClaimAction::Read => self.read_row().await,
                ClaimAction::ReadAfter(delay) => {
                    ntex::time::sleep(delay).await;
                    self.read_row().await
                }
                decision => return decision,
            };
        }
    }

    async fn run_claimed(
        &mut self,
        start: impl Future<Output = Result<RunResponse, Refusal>>,
        reply: oneshot::Sender<Result<ResponseSource, Refusal>>,
    ) {
        match start.await {
            Err(refusal) => {
                self.record_outcome(refused_outcome(&refusal)).await;
                send_reply(reply, Err(refusal));
            }
            Ok(response) => {
                let (tx, rx) = mpsc::channel(EVENT_BUFFER_CAPACITY);
                let events =
                    stream::unfold(
                        rx,
                        |mut rx| async move { rx.recv().await.map(|event| (event, rx)) },
                    );
                let RunResponse { status, content_type, events: run_events } = response;
                let live = RunResponse {
                    status,
                    content_type: content_type.clone(),
                    events: Box::pin(events),
                };
                send_reply(reply, Ok(ResponseSource::Live(live)));
                let stored =
                    StoredResponse { status, content_type, stream: false, parts: Vec::new() };
                self.relay_and_record(run_events, stored, tx).await;
            }
        }
    }

    /// Relays the events of the run.
    ///
    /// Records the outcome before the caller receives the last event.
    async fn relay_and_record(
        &mut self,
        mut run_events: crate::attempt::RunEvents,
        mut stored: StoredResponse,
        tx: EventSender,
    ) {
        let event_stream = "text/event-stream";
        stored.stream = stored.content_type.as_deref().is_some_and(|t| t.starts_with(event_stream));
        while let Some(event) = run_events.next().await {
            match &event {
                Ok(RunEvent::Data(data)) => {
                    stored.parts.push(String::from_utf8_lossy(data).into_owned());
                }
                Ok(RunEvent::ResponseHead { .. }) => {}
                Ok(RunEvent::Done) => self.record_outcome(completed_outcome(stored.clone())).await,
                Ok(RunEvent::Refused(refusal)) | Err(refusal) => {
                    self.record_outcome(refused_outcome(refusal)).await
                }
            }
            // The run continues if the caller has disconnected or is too slow; a repeated request
            // gets the stored response.
            let _ = tx.try_send(event);
        }
    }

    async fn record_outcome(&mut self, outcome: RunOutcome) {
        let mut action = self.claim.on_run_ended(outcome);
        for _ in 0..RECORD_ATTEMPTS_MAX {
            action = match action {
                ClaimAction::Update { row, revision } => self.write_row(row, Some(revision)).await,
                ClaimAction::Read => self.read_row().await,
                _ => return,
            };
            if action != ClaimAction::Nothing {
                ntex::time::sleep(RECORD_RETRY_INTERVAL).await;
            }
        }
        log::warn!("claim {}: giving up on recording the outcome of the run", self.row_key);
    }

    async fn write_row(
        &mut self,
        row: Option<Box<ClaimRow>>,
        revision: Option<u64>,
    ) -> ClaimAction {
        let value = row.and_then(|row| serde_json::to_string(&*row).ok());
        let mut tx = Transaction::default();
        tx.conditions.push(guavaspread_store::Condition { key: self.row_key.clone(), revision });
        tx.writes.push(Write { key: self.row_key.clone(), value });
        let result = self.worker.claim_commits.commit(tx).await;
        self.on_commit(result)
    }

    fn on_commit(&mut self, result: Result<CommitReceipt, Error>) -> ClaimAction {
        match result {
            Ok(receipt) => self.claim.on_written(receipt.revision),
            Err(e) => self.on_error(&e),
        }
    }

    fn on_error(&mut self, error: &Error) -> ClaimAction {
        match error.classify() {
            Category::Conflict => self.claim.on_conflict(),
            Category::NotCommitted => self.claim.on_table_unreachable(),
            Category::MaybeCommitted => self.claim.on_table_response_lost(),
        }
    }

    async fn read_row(&mut self) -> ClaimAction {
        let found = match self.worker.platform.get(&self.row_key).await {
            Ok(found) => found,
            Err(e) => return self.on_error(&e),
        };
        let found = match found.map(|row| (serde_json::from_str(&row.value), row.revision)) {
            Some((Ok(value), revision)) => Some((value, revision)),
            Some((Err(e), _)) => {
                log::error!("claim {} can't be read; its request is refused: {e}", self.row_key);
                return self.claim.on_unreadable_row();
            }
            None => None,
        };
        let is_alive = self.is_claimer_alive(found.as_ref()).await;
        self.claim.on_row_read(found, |_| is_alive, self.worker.clock.now())
    }

    /// Returns whether the process that claimed the request may still run it.
    ///
    /// A process that has deregistered, or that another process on its host has replaced, can't.
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

fn completed_outcome(stored: StoredResponse) -> RunOutcome {
    let size: usize = stored.parts.iter().map(String::len).sum();
    if size <= STORED_RESPONSE_BYTES_MAX {
        return RunOutcome::Complete(stored);
    }
    let detail = "the request ran; its response was too large to store";
    RunOutcome::Unknown(Refusal {
        code: Code::OutcomeUnknown,
        ran: Ran::Yes,
        detail: detail.to_owned(),
        retry_after_ms: None,
    })
}

fn refused_outcome(refusal: &Refusal) -> RunOutcome {
    match refusal.ran {
        Ran::No => RunOutcome::NotRun,
        Ran::Maybe | Ran::Yes => RunOutcome::Unknown(refusal.clone()),
    }
}

fn send_reply(
    reply: oneshot::Sender<Result<ResponseSource, Refusal>>,
    source: Result<ResponseSource, Refusal>,
) {
    // The receiver is gone if the caller has disconnected; a repeated request finds the row.
    let _ = reply.send(source);
}
