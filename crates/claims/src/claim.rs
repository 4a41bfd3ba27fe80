//! The state machine of one attempt to run a request at most once.

use std::time::Duration;

use guavaspread_model::{Code, Refusal};

use crate::row::{ClaimRow, ClaimState, Claimer, StoredResponse};

/// The action that the process must perform next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Insert the row if none exists.
    Insert(Box<ClaimRow>),
    /// Read the row.
    Read,
    /// Read the row again after the given delay; another process may be running the request.
    ReadAfter(Duration),
    /// Run the request, then call [`Claim::on_run_ended`].
    Run,
    /// Replace or delete the row if its current revision is `revision`.
    Update {
        /// The new row, or `None` to delete the row.
        row: Option<Box<ClaimRow>>,
        /// The expected revision.
        revision: u64,
    },
    /// Send the stored response of an earlier run.
    Respond(StoredResponse),
    /// Refuse the request.
    Refuse(Refusal),
    /// No action is left.
    Nothing,
}

/// The outcome of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The request ran and its response is complete.
    Complete(StoredResponse),
    /// The request did not run, and this process will not run it.
    NotRun,
    /// The request ran or may have run, without a response to store.
    Unknown(Refusal),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Inserting,
    /// The response to the insert was lost; the insert may have taken effect.
    InsertInDoubt,
    Waiting,
    Running {
        revision: Option<u64>,
    },
    Recording {
        row: Option<Box<ClaimRow>>,
        revision: Option<u64>,
    },
    Finished,
}

const POLL_INTERVAL: Duration = Duration::from_millis(100);
const TABLE_RETRY_DELAY_MS: u32 = 2_000;
const RUNNING_RETRY_DELAY_MS: u32 = 1_000;

/// Decides whether this process may run a request.
#[derive(Clone, Debug)]
pub struct Claim {
    mine: ClaimRow,
    deadline: Duration,
    state: State,
}

impl Claim {
    /// Creates a claim on the request with the content hash `content`.
    ///
    /// While another process runs the request, the claim waits until `deadline`. `token` must be
    /// random and differ between attempts.
    pub fn new(claimer: Claimer, token: u64, content: u64, deadline: Duration) -> Self {
        let mine = ClaimRow { content, claimer, token, state: ClaimState::Claimed };
        Claim { mine, deadline, state: State::Inserting }
    }

    /// Returns the first action.
    pub fn start(&self) -> ClaimAction {
        ClaimAction::Insert(Box::new(self.mine.clone()))
    }

    /// Handles a successful write.
    pub fn on_written(&mut self, revision: u64) -> ClaimAction {
        match &self.state {
            State::Inserting => {
                self.state = State::Running { revision: Some(revision) };
                ClaimAction::Run
            }
            State::Recording { .. } => self.finish(ClaimAction::Nothing),
            State::InsertInDoubt | State::Waiting | State::Running { .. } | State::Finished => {
                ClaimAction::Nothing
            }
        }
    }

    /// Handles a write that was rejected because the row had changed.
    pub fn on_conflict(&mut self) -> ClaimAction {
        match &self.state {
            State::Inserting => {
                self.state = State::Waiting;
                ClaimAction::Read
            }
            // No other process changes the row, so an earlier write of this process took effect.
            State::Recording { .. } => self.finish(ClaimAction::Nothing),
            State::InsertInDoubt | State::Waiting | State::Running { .. } | State::Finished => {
                ClaimAction::Nothing
            }
        }
    }

    /// Handles a call that did not reach the table and so had no effect.
    pub fn on_table_unreachable(&mut self) -> ClaimAction {
        match &self.state {
            State::Inserting => self.finish(ClaimAction::Refuse(table_unavailable())),
            State::InsertInDoubt => self.finish(ClaimAction::Refuse(insert_in_doubt())),
            State::Waiting => self.finish(ClaimAction::Refuse(still_running())),
            State::Recording { row, revision } => self.record(row.clone(), *revision),
            State::Running { .. } | State::Finished => ClaimAction::Nothing,
        }
    }

    /// Handles a lost response from the table; the last write may have taken effect.
    pub fn on_table_response_lost(&mut self) -> ClaimAction {
        match &self.state {
            State::Inserting => {
                self.state = State::InsertInDoubt;
                ClaimAction::Read
            }
            State::InsertInDoubt => self.finish(ClaimAction::Refuse(insert_in_doubt())),
            State::Waiting => self.finish(ClaimAction::Refuse(still_running())),
            State::Recording { .. } => ClaimAction::Read,
            State::Running { .. } | State::Finished => ClaimAction::Nothing,
        }
    }

    /// Handles a read of the row.
    ///
    /// `is_alive` returns whether the process that claimed the request may still be running.
    pub fn on_row_read(
        &mut self,
        found: Option<(ClaimRow, u64)>,
        is_alive: impl Fn(&Claimer) -> bool,
        now: Duration,
    ) -> ClaimAction {
        match self.state.clone() {
            State::InsertInDoubt => self.check_insert(found, is_alive, now),
            State::Waiting => self.check_row(found, is_alive, now),
            State::Recording { row, .. } => self.check_record(found, row),
            State::Inserting | State::Running { .. } | State::Finished => ClaimAction::Nothing,
        }
    }

    /// Handles a read of the request's row that can't be decoded.
    ///
    /// The row holds a claim under which the request may have run.
    pub fn on_unreadable_row(&mut self) -> ClaimAction {
        match self.state {
            State::InsertInDoubt | State::Waiting => {
                let detail = "the row of the request's claim can't be read";
                let refusal = Refusal::maybe_ran(Code::OutcomeUnknown, detail);
                self.finish(ClaimAction::Refuse(refusal))
            }
            State::Recording { .. } => self.finish(ClaimAction::Nothing),
            State::Inserting | State::Running { .. } | State::Finished => ClaimAction::Nothing,
        }
    }

    /// Handles the end of the run.
    pub fn on_run_ended(&mut self, outcome: RunOutcome) -> ClaimAction {
        let State::Running { revision } = self.state else {
            return ClaimAction::Nothing;
        };
        let row = match outcome {
            RunOutcome::Complete(response) => Some(ClaimState::Done(response)),
            RunOutcome::Unknown(refusal) => Some(ClaimState::Ended(refusal)),
            RunOutcome::NotRun => None,
        };
        let row = row.map(|state| Box::new(ClaimRow { state, ..self.mine.clone() }));
        self.record(row, revision)
    }

    /// Writes the outcome of the run, or reads the revision of the row first if it is unknown.
    fn record(&mut self, row: Option<Box<ClaimRow>>, revision: Option<u64>) -> ClaimAction {
        self.state = State::Recording { row: row.clone(), revision };
        match revision {
            Some(revision) => ClaimAction::Update { row, revision },
            None => ClaimAction::Read,
        }
    }

    fn check_insert(
        &mut self,
        found: Option<(ClaimRow, u64)>,
        is_alive: impl Fn(&Claimer) -> bool,
        now: Duration,
    ) -> ClaimAction {
        match found {
            // The delayed insert may still arrive. The delayed insert and a new one can't both take
            // effect, because an insert requires that no row exists.
            None if now >= self.deadline => self.finish(ClaimAction::Refuse(insert_in_doubt())),
            other => {
                self.state = State::Waiting;
                self.check_row(other, is_alive, now)
            }
        }
    }

    fn check_row(
        &mut self,
        found: Option<(ClaimRow, u64)>,
        is_alive: impl Fn(&Claimer) -> bool,
        now: Duration,
    ) -> ClaimAction {
        let Some((row, revision)) = found else {
            self.state = State::Inserting;
            return self.start();
        };
        if row == self.mine {
            self.state = State::Running { revision: Some(revision) };
            return ClaimAction::Run;
        }
        if row.content != self.mine.content {
            let detail = "the Idempotency-Key was sent with a different request before";
            return self.finish(ClaimAction::Refuse(Refusal::not_run(Code::KeyReused, detail)));
        }
        match row.state {
            ClaimState::Done(response) => self.finish(ClaimAction::Respond(response)),
            ClaimState::Ended(refusal) => self.finish(ClaimAction::Refuse(refusal)),
            ClaimState::Claimed if !is_alive(&row.claimer) => {
                let detail =
                    format!("the process on {} ended while it ran the request", row.claimer.host);
                let refusal = Refusal::maybe_ran(Code::OutcomeUnknown, detail);
                self.finish(ClaimAction::Refuse(refusal))
            }
            ClaimState::Claimed if now >= self.deadline => {
                self.finish(ClaimAction::Refuse(still_running()))
            }
            ClaimState::Claimed => ClaimAction::ReadAfter(POLL_INTERVAL),
        }
    }

    /// Writes the outcome over the revision found, unless it has already been written.
    fn check_record(
        &mut self,
        found: Option<(ClaimRow, u64)>,
        row: Option<Box<ClaimRow>>,
    ) -> ClaimAction {
        match found {
            Some((observed, revision)) if observed == self.mine => self.record(row, Some(revision)),
            _ => self.finish(ClaimAction::Nothing),
        }
    }

    fn finish(&mut self, action: ClaimAction) -> ClaimAction {
        self.state = State::Finished;
        action
    }
}

fn table_unavailable() -> Refusal {
    let detail = "the platform's table is unavailable, so the request can't be claimed";
    Refusal::not_run(Code::TableUnavailable, detail).with_retry_after_ms(TABLE_RETRY_DELAY_MS)
}

/// Refuses a request that this process did not run and will not run.
///
/// Its row may nevertheless have been inserted; repeated requests then get the refusal that the
/// outcome is unknown.
fn insert_in_doubt() -> Refusal {
    let detail = "the table's response to the claim was lost";
    Refusal::not_run(Code::TableUnavailable, detail).with_retry_after_ms(TABLE_RETRY_DELAY_MS)
}

fn still_running() -> Refusal {
    Refusal::maybe_ran(Code::StillRunning, "another attempt with this Idempotency-Key is in flight")
        .with_retry_after_ms(RUNNING_RETRY_DELAY_MS)
}
