//! One process's attempt to run one request at most once.

use std::time::Duration;

use guavaspread_model::{Code, Refusal};

use crate::row::{ClaimRow, ClaimState, Claimer, StoredAnswer};

/// Tells the process what to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Insert this row, on the condition that there is none.
    Insert(Box<ClaimRow>),
    /// Read the row.
    Read,
    /// Read the row again after this long; another process may be running the request.
    ReadAfter(Duration),
    /// Run the request, then call [`Claim::on_ended`].
    Run,
    /// Write this row over the one at `revision`.
    Update {
        /// The new row, or nothing to delete it.
        row: Option<Box<ClaimRow>>,
        /// The revision demanded.
        revision: u64,
    },
    /// Answer with what an earlier run answered.
    Answer(StoredAnswer),
    /// Refuse the request.
    Refuse(Refusal),
    /// Nothing is left to do.
    Nothing,
}

/// Tells how the run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The answer is whole.
    Whole(StoredAnswer),
    /// It did not run, and this process will not run it.
    NotRun,
    /// It ran or may have run, without an answer to keep.
    Unknown(Refusal),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Inserting,
    /// Whether the insert took effect is not known.
    InsertInDoubt,
    Waiting,
    Running {
        revision: Option<u64>,
    },
    Recording {
        row: Option<Box<ClaimRow>>,
        revision: Option<u64>,
    },
    Over,
}

const POLL_INTERVAL: Duration = Duration::from_millis(100);
const TABLE_RETRY_MS: u32 = 2_000;
const RUNNING_RETRY_MS: u32 = 1_000;

/// Decides whether this process may run one request.
#[derive(Clone, Debug)]
pub struct Claim {
    mine: ClaimRow,
    deadline: Duration,
    state: State,
}

impl Claim {
    /// Starts to claim the request whose content hashes to `content`, until `deadline`.
    ///
    /// `token` must be random, and different for each attempt.
    pub fn new(claimer: Claimer, token: u64, content: u64, deadline: Duration) -> Self {
        let mine = ClaimRow { content, claimer, token, state: ClaimState::Claimed };
        Claim { mine, deadline, state: State::Inserting }
    }

    /// Answers the first thing to do.
    pub fn start(&self) -> Next {
        Next::Insert(Box::new(self.mine.clone()))
    }

    /// Reports that the last write took effect.
    pub fn on_written(&mut self, revision: u64) -> Next {
        match &self.state {
            State::Inserting => {
                self.state = State::Running { revision: Some(revision) };
                Next::Run
            }
            State::Recording { .. } => self.over(Next::Nothing),
            State::InsertInDoubt | State::Waiting | State::Running { .. } | State::Over => {
                Next::Nothing
            }
        }
    }

    /// Reports that the last write had no effect, because the row had changed.
    pub fn on_conflict(&mut self) -> Next {
        match &self.state {
            State::Inserting => {
                self.state = State::Waiting;
                Next::Read
            }
            // Nobody but this process changes the row, so an earlier write took effect.
            State::Recording { .. } => self.over(Next::Nothing),
            State::InsertInDoubt | State::Waiting | State::Running { .. } | State::Over => {
                Next::Nothing
            }
        }
    }

    /// Reports that the table was not reached, so that the last call had no effect.
    pub fn on_not_reached(&mut self) -> Next {
        match &self.state {
            State::Inserting => self.over(Next::Refuse(table_away())),
            State::InsertInDoubt => self.over(Next::Refuse(insert_in_doubt())),
            State::Waiting => self.over(Next::Refuse(still_running())),
            State::Recording { row, revision } => self.record(row.clone(), *revision),
            State::Running { .. } | State::Over => Next::Nothing,
        }
    }

    /// Reports that the table's answer was lost, so that the last write may have had its effect.
    pub fn on_answer_lost(&mut self) -> Next {
        match &self.state {
            State::Inserting => {
                self.state = State::InsertInDoubt;
                Next::Read
            }
            State::InsertInDoubt => self.over(Next::Refuse(insert_in_doubt())),
            State::Waiting => self.over(Next::Refuse(still_running())),
            State::Recording { .. } => Next::Read,
            State::Running { .. } | State::Over => Next::Nothing,
        }
    }

    /// Takes over the row as read.
    ///
    /// `is_alive` tells whether the process that claimed the request may still be running.
    pub fn on_row(
        &mut self,
        found: Option<(ClaimRow, u64)>,
        is_alive: impl Fn(&Claimer) -> bool,
        now: Duration,
    ) -> Next {
        match self.state.clone() {
            State::InsertInDoubt => self.read_back_insert(found, is_alive, now),
            State::Waiting => self.wait(found, is_alive, now),
            State::Recording { row, .. } => self.read_back_record(found, row),
            State::Inserting | State::Running { .. } | State::Over => Next::Nothing,
        }
    }

    /// Reports how the run ended.
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

    /// Asks for the row's revision first where it is not known.
    fn record(&mut self, row: Option<Box<ClaimRow>>, revision: Option<u64>) -> Next {
        self.state = State::Recording { row: row.clone(), revision };
        match revision {
            Some(revision) => Next::Update { row, revision },
            None => Next::Read,
        }
    }

    fn read_back_insert(
        &mut self,
        found: Option<(ClaimRow, u64)>,
        is_alive: impl Fn(&Claimer) -> bool,
        now: Duration,
    ) -> Next {
        match found {
            // The lost insert may still arrive; it and the next one can't both take effect.
            None if now >= self.deadline => self.over(Next::Refuse(insert_in_doubt())),
            other => {
                self.state = State::Waiting;
                self.wait(other, is_alive, now)
            }
        }
    }

    fn wait(
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
            let detail = "the Idempotency-Key came with another request before";
            return self.over(Next::Refuse(Refusal::not_run(Code::KeyReused, detail)));
        }
        match row.state {
            ClaimState::Done(answer) => self.over(Next::Answer(answer)),
            ClaimState::Ended(refusal) => self.over(Next::Refuse(refusal)),
            ClaimState::Claimed if !is_alive(&row.claimer) => {
                let detail = format!("{} ended while it ran the request", row.claimer.host);
                let refusal = Refusal::maybe_ran(Code::OutcomeUnknown, detail);
                self.over(Next::Refuse(refusal))
            }
            ClaimState::Claimed if now >= self.deadline => self.over(Next::Refuse(still_running())),
            ClaimState::Claimed => Next::ReadAfter(POLL_INTERVAL),
        }
    }

    /// Finds the revision to record over, unless the record stands already.
    fn read_back_record(
        &mut self,
        found: Option<(ClaimRow, u64)>,
        row: Option<Box<ClaimRow>>,
    ) -> Next {
        match found {
            Some((seen, revision)) if seen == self.mine => self.record(row, Some(revision)),
            _ => self.over(Next::Nothing),
        }
    }

    fn over(&mut self, next: Next) -> Next {
        self.state = State::Over;
        next
    }
}

fn table_away() -> Refusal {
    let detail = "the platform's table does not answer, so the request can't be claimed";
    Refusal::not_run(Code::TableUnavailable, detail).retry_after_ms(TABLE_RETRY_MS)
}

/// The request did not run here, and this process has given it up; but its row may stand, and
/// then a repeat is told that the outcome is unknown.
fn insert_in_doubt() -> Refusal {
    let detail = "the table's answer to the claim was lost";
    Refusal::not_run(Code::TableUnavailable, detail).retry_after_ms(TABLE_RETRY_MS)
}

fn still_running() -> Refusal {
    Refusal::maybe_ran(Code::StillRunning, "another attempt with this key is under way")
        .retry_after_ms(RUNNING_RETRY_MS)
}
