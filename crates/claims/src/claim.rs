//! The state machine of one attempt to run a request at most once.

use std::time::Duration;

use guavaspread_model::{Code, Refusal};

use crate::row::{ClaimRow, ClaimState, Claimer, StoredAnswer};

/// The action that the process must perform next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Insert the row if none exists.
    Insert(Box<ClaimRow>),
    /// Read the row.
    Read,
    /// Read the row again after the given delay; another process may be running the request.
    ReadAfter(Duration),
    /// Run the request, then call [`Claim::on_ended`].
    Run,
    /// Replace or delete the row if its current revision is `revision`.
    Update {
        /// The new row, or `None` to delete the row.
        row: Option<Box<ClaimRow>>,
        /// The expected revision.
        revision: u64,
    },
    /// Send the stored response of an earlier run.
    Answer(StoredAnswer),
    /// Refuse the request.
    Refuse(Refusal),
    /// No action is left.
    Nothing,
}

/// The outcome of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The request ran and its response is complete.
    Whole(StoredAnswer),
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
    pub fn start(&self) -> Next {
        Next::Insert(Box::new(self.mine.clone()))
    }

    /// Handles a successful write.
    pub fn on_written(&mut self, revision: u64) -> Next {
        match &self.state {
            State::Inserting => {
                self.state = State::Running { revision: Some(revision) };
                Next::Run
            }
            State::Recording { .. } => self.finish(Next::Nothing),
            State::InsertInDoubt | State::Waiting | State::Running { .. } | State::Finished => {
                Next::Nothing
            }
        }
    }

    /// Handles a write that was rejected because the row had changed.
    pub fn on_conflict(&mut self) -> Next {
        match &self.state {
            State::Inserting => {
                self.state = State::Waiting;
                Next::Read
            }
            // No other process changes the row, so an earlier write of this process took effect.
            State::Recording { .. } => self.finish(Next::Nothing),
            State::InsertInDoubt | State::Waiting | State::Running { .. } | State::Finished => {
                Next::Nothing
            }
        }
    }

    /// Handles a call that did not reach the table and so had no effect.
    pub fn on_not_reached(&mut self) -> Next {
        match &self.state {
            State::Inserting => self.finish(Next::Refuse(table_unavailable())),
            State::InsertInDoubt => self.finish(Next::Refuse(insert_in_doubt())),
            State::Waiting => self.finish(Next::Refuse(still_running())),
            State::Recording { row, revision } => self.record(row.clone(), *revision),
            State::Running { .. } | State::Finished => Next::Nothing,
        }
    }

    /// Handles a lost response from the table; the last write may have taken effect.
    pub fn on_answer_lost(&mut self) -> Next {
        match &self.state {
            State::Inserting => {
                self.state = State::InsertInDoubt;
                Next::Read
            }
            State::InsertInDoubt => self.finish(Next::Refuse(insert_in_doubt())),
            State::Waiting => self.finish(Next::Refuse(still_running())),
            State::Recording { .. } => Next::Read,
            State::Running { .. } | State::Finished => Next::Nothing,
        }
    }

    /// Handles a read of the row.
    ///
    /// `is_alive` returns whether the process that claimed the request may still be running.
    pub fn on_row(
        &mut self,
        found: Option<(ClaimRow, u64)>,
        is_alive: impl Fn(&Claimer) -> bool,
        now: Duration,
    ) -> Next {
        match self.state.clone() {
            State::InsertInDoubt => self.check_insert(found, is_alive, now),
            State::Waiting => self.check_row(found, is_alive, now),
            State::Recording { row, .. } => self.check_record(found, row),
            State::Inserting | State::Running { .. } | State::Finished => Next::Nothing,
        }
    }

    /// Handles the end of the run.
    pub fn on_ended(&mut self, ended: Ended) -> Next {
        let State::Running { revision } = self.state else {
            return Next::Nothing;
        };
        let row = match ended {
            Ended::Whole(answer) => Some(ClaimState::Done(answer)),
            Ended::Unknown(refusal) => Some(ClaimState::Ended(refusal)),
            Ended::NotRun => None,
        };
        let row = row.map(|state| Box::new(ClaimRow { state, ..self.mine.clone() }));
        self.record(row, revision)
    }

    /// Writes the outcome of the run, or reads the revision of the row first if it is unknown.
    fn record(&mut self, row: Option<Box<ClaimRow>>, revision: Option<u64>) -> Next {
        self.state = State::Recording { row: row.clone(), revision };
        match revision {
            Some(revision) => Next::Update { row, revision },
            None => Next::Read,
        }
    }

    fn check_insert(
        &mut self,
        found: Option<(ClaimRow, u64)>,
        is_alive: impl Fn(&Claimer) -> bool,
        now: Duration,
    ) -> Next {
        match found {
            // The delayed insert may still arrive. It and a new insert can't both take effect,
            // because an insert requires that no row exists.
            None if now >= self.deadline => self.finish(Next::Refuse(insert_in_doubt())),
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
    ) -> Next {
        let Some((row, revision)) = found else {
            self.state = State::Inserting;
            return self.start();
        };
        if row == self.mine {
            self.state = State::Running { revision: Some(revision) };
            return Next::Run;
        }
        if row.content != self.mine.content {
            let detail = "the Idempotency-Key was sent with a different request before";
            return self.finish(Next::Refuse(Refusal::not_run(Code::KeyReused, detail)));
        }
        match row.state {
            ClaimState::Done(answer) => self.finish(Next::Answer(answer)),
            ClaimState::Ended(refusal) => self.finish(Next::Refuse(refusal)),
            ClaimState::Claimed if !is_alive(&row.claimer) => {
                let detail =
                    format!("the process on {} ended while it ran the request", row.claimer.host);
                let refusal = Refusal::maybe_ran(Code::OutcomeUnknown, detail);
                self.finish(Next::Refuse(refusal))
            }
            ClaimState::Claimed if now >= self.deadline => {
                self.finish(Next::Refuse(still_running()))
            }
            ClaimState::Claimed => Next::ReadAfter(POLL_INTERVAL),
        }
    }

    /// Writes the outcome over the revision found, unless it has already been written.
    fn check_record(&mut self, found: Option<(ClaimRow, u64)>, row: Option<Box<ClaimRow>>) -> Next {
        match found {
            Some((seen, revision)) if seen == self.mine => self.record(row, Some(revision)),
            _ => self.finish(Next::Nothing),
        }
    }

    fn finish(&mut self, next: Next) -> Next {
        self.state = State::Finished;
        next
    }
}

fn table_unavailable() -> Refusal {
    let detail = "the platform's table is unavailable, so the request can't be claimed";
    Refusal::not_run(Code::TableUnavailable, detail).retry_after_ms(TABLE_RETRY_DELAY_MS)
}

/// Refuses a request that this process did not run and will not run.
///
/// Its row may nevertheless have been inserted; repeated requests then get the refusal that the
/// outcome is unknown.
fn insert_in_doubt() -> Refusal {
    let detail = "the table's response to the claim was lost";
    Refusal::not_run(Code::TableUnavailable, detail).retry_after_ms(TABLE_RETRY_DELAY_MS)
}

fn still_running() -> Refusal {
    Refusal::maybe_ran(Code::StillRunning, "another attempt with this Idempotency-Key is in flight")
        .retry_after_ms(RUNNING_RETRY_DELAY_MS)
}
