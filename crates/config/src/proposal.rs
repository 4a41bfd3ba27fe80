//! The state machine of a proposed change.

use std::time::Duration;

use guavaspread_model::{Change, Code, Config, Name, Refusal};

use crate::row::{Acknowledgement, ChangeRecord, ConfigHead, Member, StagedChange};

/// The timeouts of a proposal.
#[derive(Clone, Copy, Debug)]
pub struct ProposalTimeouts {
    /// The time within which all members must acknowledge.
    pub acknowledge_timeout: Duration,
    /// The time after which the staged change of another proposer counts as abandoned.
    pub abandoned_timeout: Duration,
}

impl Default for ProposalTimeouts {
    fn default() -> Self {
        ProposalTimeouts {
            acknowledge_timeout: Duration::from_millis(4_000),
            abandoned_timeout: Duration::from_millis(6_000),
        }
    }
}

/// The outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The change was committed with this revision.
    Accepted(u64),
    /// The change was not committed and has no effect.
    Rejected(Refusal),
    /// The change may have been committed or may still be; the refusal states why this is unknown.
    InDoubt(Refusal),
}

/// The action that the proposer must perform next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalAction {
    /// Read the head, then call [`Proposal::on_head`].
    ReadHead,
    /// Write the head and the record if the current revision of the head row is `revision`.
    Stage {
        /// The new head.
        head: ConfigHead,
        /// The record of the change.
        record: ChangeRecord,
        /// The expected revision of the head row, or `None` if the row must not exist.
        revision: Option<u64>,
    },
    /// Read the members' rows, then call [`Proposal::on_members`].
    ReadMembers,
    /// Commit or abort: write the head if the current revision of its row is `revision`.
    Decide {
        /// The new head.
        head: ConfigHead,
        /// The expected revision of the head row.
        revision: u64,
        /// The revision of the record to delete if the change is aborted.
        delete: Option<u64>,
    },
    /// The proposal is finished.
    End(Outcome),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    ReadingHead,
    Staging { revision: u64 },
    Waiting { head: ConfigHead, head_revision: u64, since: Duration },
    Committing { revision: u64 },
    Aborting { refusal: Refusal },
    ClearingAbandoned,
    Ended(Outcome),
}

/// Drives one change through the commit protocol.
pub struct Proposal {
    proposer: Name,
    token: u64,
    changes: Vec<Change>,
    base: u64,
    timeouts: ProposalTimeouts,
    state: State,
    /// The staged revision of another proposer, and when it was first read.
    blocking_change: Option<(u64, Duration)>,
}

impl Proposal {
    /// Creates a proposal of `changes` to `config`.
    ///
    /// `token` must be random.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the changes can't be applied to `config`.
    pub fn new(
        proposer: Name,
        token: u64,
        changes: Vec<Change>,
        config: &Config,
        timeouts: ProposalTimeouts,
    ) -> Result<Self, Refusal> {
        let mut candidate = config.clone();
        candidate
            .apply_all(&changes, config.revision + 1)
            .map_err(|e| Refusal::not_run(e.code(), e.to_string()))?;
        let base = config.revision;
        Ok(Proposal {
            proposer,
            token,
            changes,
            base,
            timeouts,
            state: State::ReadingHead,
            blocking_change: None,
        })
    }

    /// Returns the next action.
    pub fn next_action(&self) -> ProposalAction {
        match &self.state {
            State::ReadingHead | State::Staging { .. } | State::ClearingAbandoned => {
                ProposalAction::ReadHead
            }
            State::Committing { .. } | State::Aborting { .. } => ProposalAction::ReadHead,
            State::Waiting { .. } => ProposalAction::ReadMembers,
            State::Ended(outcome) => ProposalAction::End(outcome.clone()),
        }
    }

    /// Handles a read of the head row.
    pub fn on_head(
        &mut self,
        head: ConfigHead,
        head_revision: Option<u64>,
        now: Duration,
    ) -> ProposalAction {
        match self.state.clone() {
            State::ReadingHead | State::ClearingAbandoned => self.stage(head, head_revision, now),
            State::Staging { revision } => self.check_stage(head, head_revision, revision, now),
            State::Committing { revision } => self.check_commit(head, head_revision, revision, now),
            State::Aborting { refusal } => self.finish(Outcome::Rejected(refusal)),
            State::Waiting { .. } => ProposalAction::ReadMembers,
            State::Ended(outcome) => ProposalAction::End(outcome),
        }
    }

    /// Handles a successful write, after which the head row has the revision `head_revision`.
    pub fn on_head_written(
        &mut self,
        head: ConfigHead,
        head_revision: u64,
        now: Duration,
    ) -> ProposalAction {
        match self.state.clone() {
            State::Staging { .. } => {
                self.state = State::Waiting { head, head_revision, since: now };
                ProposalAction::ReadMembers
            }
            State::Committing { revision } => self.finish(Outcome::Accepted(revision)),
            State::Aborting { refusal } => self.finish(Outcome::Rejected(refusal)),
            State::ClearingAbandoned => {
                self.state = State::ReadingHead;
                ProposalAction::ReadHead
            }
            State::ReadingHead | State::Waiting { .. } => ProposalAction::ReadHead,
            State::Ended(outcome) => ProposalAction::End(outcome),
        }
    }

    /// Handles a write that was rejected because the head had changed.
    pub fn on_conflict(&mut self) -> ProposalAction {
        match self.state.clone() {
            State::Staging { .. } | State::ClearingAbandoned => {
                self.state = State::ReadingHead;
                ProposalAction::ReadHead
            }
            State::Committing { .. } | State::Aborting { .. } => ProposalAction::ReadHead,
            State::ReadingHead | State::Waiting { .. } => ProposalAction::ReadHead,
            State::Ended(outcome) => ProposalAction::End(outcome),
        }
    }

    /// Handles a read of the members' rows.
    ///
    /// `is_listed` returns whether the platform lists an entry host. Members on unlisted hosts
    /// need not acknowledge.
    pub fn on_members(
        &mut self,
        members: &[Acknowledgement],
        is_listed: impl Fn(&Name) -> bool,
        now: Duration,
    ) -> ProposalAction {
        let State::Waiting { head, head_revision, since } = self.state.clone() else {
            return self.next_action();
        };
        let Some(staged) = &head.staged else {
            return self.next_action();
        };
        let revision = staged.revision;
        let missing: Vec<&Member> = members
            .iter()
            .filter(|row| row.revision < revision && is_listed(&row.member.host))
            .map(|row| &row.member)
            .collect();
        if missing.is_empty() {
            self.state = State::Committing { revision };
            let head = ConfigHead { committed: revision, staged: None, ..head };
            return ProposalAction::Decide { head, revision: head_revision, delete: None };
        }
        if now < since + self.timeouts.acknowledge_timeout {
            return ProposalAction::ReadMembers;
        }
        let refusal = not_confirmed(&missing);
        self.state = State::Aborting { refusal };
        let head = ConfigHead { staged: None, ..head };
        ProposalAction::Decide { head, revision: head_revision, delete: Some(revision) }
    }

    /// Ends the proposal because the table is unavailable, and returns its outcome.
    pub fn on_table_unavailable(&mut self) -> Outcome {
        let detail = "the platform's table is unavailable";
        let outcome = match &self.state {
            State::ReadingHead | State::ClearingAbandoned => {
                let refusal = Refusal::not_run(Code::TableUnavailable, detail);
                Outcome::Rejected(refusal.with_retry_after_ms(2_000))
            }
            // Only this proposer commits its staged change, and it has not sent that write.
            State::Staging { .. } | State::Waiting { .. } | State::Aborting { .. } => {
                let refusal = Refusal::not_run(Code::TableUnavailable, detail);
                Outcome::Rejected(refusal.with_retry_after_ms(2_000))
            }
            State::Committing { .. } => {
                Outcome::InDoubt(Refusal::maybe_ran(Code::ChangeInDoubt, detail))
            }
            State::Ended(outcome) => outcome.clone(),
        };
        self.state = State::Ended(outcome.clone());
        outcome
    }

    fn stage(
        &mut self,
        head: ConfigHead,
        head_revision: Option<u64>,
        now: Duration,
    ) -> ProposalAction {
        if head.committed != self.base {
            let detail = format!(
                "revision {} was committed after revision {} had been read",
                head.committed, self.base
            );
            return self.finish(Outcome::Rejected(Refusal::not_run(Code::ChangeConflict, detail)));
        }
        if let Some(other) = &head.staged {
            return self.wait_for_staged_change(other.clone(), &head, head_revision, now);
        }
        let revision = head.highest + 1;
        let staged = self.staged_change(revision);
        let head = ConfigHead { highest: revision, staged: Some(staged), ..head };
        let record = ChangeRecord { revision, base: self.base, changes: self.changes.clone() };
        self.state = State::Staging { revision };
        ProposalAction::Stage { head, record, revision: head_revision }
    }

    /// Waits for another staged change to be decided, and aborts it once it counts as abandoned.
    fn wait_for_staged_change(
        &mut self,
        other: StagedChange,
        head: &ConfigHead,
        head_revision: Option<u64>,
        now: Duration,
    ) -> ProposalAction {
        let since = match self.blocking_change {
            Some((revision, since)) if revision == other.revision => since,
            _ => now,
        };
        self.blocking_change = Some((other.revision, since));
        if now < since + self.timeouts.abandoned_timeout {
            return ProposalAction::ReadHead;
        }
        self.state = State::ClearingAbandoned;
        let cleared = ConfigHead { staged: None, ..head.clone() };
        let revision = head_revision.unwrap_or(0);
        ProposalAction::Decide { head: cleared, revision, delete: Some(other.revision) }
    }

    fn check_stage(
        &mut self,
        head: ConfigHead,
        head_revision: Option<u64>,
        revision: u64,
        now: Duration,
    ) -> ProposalAction {
        let staged = self.staged_change(revision);
        match head_revision {
            Some(head_revision) if head.staged.as_ref() == Some(&staged) => {
                self.state = State::Waiting { head, head_revision, since: now };
                ProposalAction::ReadMembers
            }
            _ => {
                self.state = State::ReadingHead;
                self.stage(head, head_revision, now)
            }
        }
    }

    /// Determines from the head whether the commit took effect.
    fn check_commit(
        &mut self,
        head: ConfigHead,
        head_revision: Option<u64>,
        revision: u64,
        now: Duration,
    ) -> ProposalAction {
        if head.committed == revision {
            return self.finish(Outcome::Accepted(revision));
        }
        if head.committed > revision {
            let detail = format!(
                "revision {} was committed before the outcome could be read back",
                head.committed
            );
            let refusal = Refusal::maybe_ran(Code::ChangeInDoubt, detail);
            return self.finish(Outcome::InDoubt(refusal));
        }
        let still_staged = head.staged.as_ref().is_some_and(|s| s.revision == revision);
        if let Some(head_revision) = head_revision.filter(|_| still_staged) {
            self.state = State::Waiting { head, head_revision, since: now };
            return ProposalAction::ReadMembers;
        }
        let detail = "another proposer aborted the change because it counted as abandoned";
        self.finish(Outcome::Rejected(Refusal::not_run(Code::ChangeConflict, detail)))
    }

    fn staged_change(&self, revision: u64) -> StagedChange {
        StagedChange { revision, proposer: self.proposer.clone(), token: self.token }
    }

    fn finish(&mut self, outcome: Outcome) -> ProposalAction {
        self.state = State::Ended(outcome.clone());
        ProposalAction::End(outcome)
    }
}

fn not_confirmed(missing: &[&Member]) -> Refusal {
    let names: Vec<String> =
        missing.iter().map(|member| format!("{} on {}", member.process, member.host)).collect();
    let detail = format!("no acknowledgement from {}", names.join(", "));
    Refusal::not_run(Code::ChangeNotConfirmed, detail).with_retry_after_ms(5_000)
}
