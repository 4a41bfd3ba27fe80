//! One change on its way into force, as its proposer carries it.

use std::time::Duration;

use guavaspread_model::{Change, Code, Config, Name, Refusal};

use crate::row::{Acknowledgement, ChangeRecord, Head, Member, Staged};

/// Times a proposal.
#[derive(Clone, Copy, Debug)]
pub struct ProposalTimes {
    /// How long members have to acknowledge.
    pub acknowledge: Duration,
    /// After how long a staged change of another proposer counts as left behind.
    pub abandoned: Duration,
}

impl Default for ProposalTimes {
    fn default() -> Self {
        ProposalTimes {
            acknowledge: Duration::from_millis(4_000),
            abandoned: Duration::from_millis(6_000),
        }
    }
}

/// Tells how a proposal ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is in force at this revision.
    Accepted(u64),
    /// It had no effect.
    Rejected(Refusal),
    /// It may come into force; the reason why that is not known.
    InDoubt(Refusal),
}

/// Tells the proposer what to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the head, then call [`Proposal::on_head`].
    ReadHead,
    /// Write head and record, on the condition that the head is at `revision`.
    Stage {
        /// The new head.
        head: Head,
        /// The record.
        record: ChangeRecord,
        /// The revision demanded of the head row.
        revision: Option<u64>,
    },
    /// Read the members' rows, then call [`Proposal::on_members`].
    ReadMembers,
    /// Write the head, on the condition that it is at `revision`.
    Decide {
        /// The new head.
        head: Head,
        /// The revision demanded of the head row.
        revision: u64,
        /// The record to delete, when the change is aborted.
        delete: Option<u64>,
    },
    /// The proposal has ended.
    End(Outcome),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Start,
    Staging { revision: u64 },
    Waiting { head: Head, head_revision: u64, since: Duration },
    Committing { revision: u64 },
    Aborting { refusal: Refusal },
    Clearing,
    Ended(Outcome),
}

/// Carries one change through its steps.
pub struct Proposal {
    proposer: Name,
    token: u64,
    changes: Vec<Change>,
    base: u64,
    times: ProposalTimes,
    state: State,
    other: Option<(u64, Duration)>,
}

impl Proposal {
    /// Starts to propose `changes` to `config`.
    ///
    /// `token` must be random.
    ///
    /// # Errors
    ///
    /// Refuses changes that don't fit `config`.
    pub fn new(
        proposer: Name,
        token: u64,
        changes: Vec<Change>,
        config: &Config,
        times: ProposalTimes,
    ) -> Result<Self, Refusal> {
        let mut trial = config.clone();
        trial
            .apply_all(&changes, config.revision + 1)
            .map_err(|e| Refusal::not_run(e.code(), e.to_string()))?;
        let base = config.revision;
        Ok(Proposal { proposer, token, changes, base, times, state: State::Start, other: None })
    }

    /// Answers what to do next.
    pub fn next(&self) -> Step {
        match &self.state {
            State::Start | State::Staging { .. } | State::Clearing => Step::ReadHead,
            State::Committing { .. } | State::Aborting { .. } => Step::ReadHead,
            State::Waiting { .. } => Step::ReadMembers,
            State::Ended(outcome) => Step::End(outcome.clone()),
        }
    }

    /// Takes over the head row as read, and answers what to do next.
    pub fn on_head(&mut self, head: Head, head_revision: Option<u64>, now: Duration) -> Step {
        match self.state.clone() {
            State::Start | State::Clearing => self.stage(head, head_revision, now),
            State::Staging { revision } => self.read_back_stage(head, head_revision, revision, now),
            State::Committing { revision } => {
                self.read_back_commit(head, head_revision, revision, now)
            }
            State::Aborting { refusal } => self.end(Outcome::Rejected(refusal)),
            State::Waiting { .. } => Step::ReadMembers,
            State::Ended(outcome) => Step::End(outcome),
        }
    }

    /// Reports that the last write took effect and made the head row's revision.
    pub fn on_committed(&mut self, head: Head, head_revision: u64, now: Duration) -> Step {
        match self.state.clone() {
            State::Staging { .. } => {
                self.state = State::Waiting { head, head_revision, since: now };
                Step::ReadMembers
            }
            State::Committing { revision } => self.end(Outcome::Accepted(revision)),
            State::Aborting { refusal } => self.end(Outcome::Rejected(refusal)),
            State::Clearing => {
                self.state = State::Start;
                Step::ReadHead
            }
            State::Start | State::Waiting { .. } => Step::ReadHead,
            State::Ended(outcome) => Step::End(outcome),
        }
    }

    /// Reports that the last write had no effect, because the head had changed.
    pub fn on_conflict(&mut self) -> Step {
        match self.state.clone() {
            State::Staging { .. } | State::Clearing => {
                self.state = State::Start;
                Step::ReadHead
            }
            State::Committing { .. } | State::Aborting { .. } => Step::ReadHead,
            State::Start | State::Waiting { .. } => Step::ReadHead,
            State::Ended(outcome) => Step::End(outcome),
        }
    }

    /// Takes over the members' rows as read.
    ///
    /// `is_listed` tells whether the platform still lists an entry host; members on
    /// other hosts are gone and need not acknowledge.
    pub fn on_members(
        &mut self,
        members: &[Acknowledgement],
        is_listed: impl Fn(&Name) -> bool,
        now: Duration,
    ) -> Step {
        let State::Waiting { head, head_revision, since } = self.state.clone() else {
            return self.next();
        };
        let Some(staged) = &head.staged else {
            return self.next();
        };
        let revision = staged.revision;
        let missing: Vec<&Member> = members
            .iter()
            .filter(|row| row.revision < revision && is_listed(&row.member.host))
            .map(|row| &row.member)
            .collect();
        if missing.is_empty() {
            self.state = State::Committing { revision };
            let head = Head { committed: revision, staged: None, ..head };
            return Step::Decide { head, revision: head_revision, delete: None };
        }
        if now < since + self.times.acknowledge {
            return Step::ReadMembers;
        }
        let refusal = not_confirmed(&missing);
        self.state = State::Aborting { refusal };
        let head = Head { staged: None, ..head };
        Step::Decide { head, revision: head_revision, delete: Some(revision) }
    }

    /// Gives up because the table does not answer.
    pub fn on_table_lost(&mut self) -> Outcome {
        let away = "the platform's table does not answer";
        let outcome = match &self.state {
            State::Start | State::Clearing => {
                let refusal = Refusal::not_run(Code::TableUnavailable, away);
                Outcome::Rejected(refusal.retry_after_ms(2_000))
            }
            // A staged change commits only by this proposer's own write, and none was sent.
            State::Staging { .. } | State::Waiting { .. } | State::Aborting { .. } => {
                let refusal = Refusal::not_run(Code::TableUnavailable, away);
                Outcome::Rejected(refusal.retry_after_ms(2_000))
            }
            State::Committing { .. } => {
                Outcome::InDoubt(Refusal::maybe_ran(Code::ChangeInDoubt, away))
            }
            State::Ended(outcome) => outcome.clone(),
        };
        self.state = State::Ended(outcome.clone());
        outcome
    }

    fn stage(&mut self, head: Head, head_revision: Option<u64>, now: Duration) -> Step {
        if head.committed != self.base {
            let detail = format!(
                "revision {} came into force since revision {} was read",
                head.committed, self.base
            );
            return self.end(Outcome::Rejected(Refusal::not_run(Code::ChangeConflict, detail)));
        }
        if let Some(other) = &head.staged {
            return self.wait_for_other(other.clone(), &head, head_revision, now);
        }
        let revision = head.highest + 1;
        let staged = self.staged(revision);
        let head = Head { highest: revision, staged: Some(staged), ..head };
        let record = ChangeRecord { revision, base: self.base, changes: self.changes.clone() };
        self.state = State::Staging { revision };
        Step::Stage { head, record, revision: head_revision }
    }

    /// Rejects while another change is under way; clears it away if its proposer is gone.
    fn wait_for_other(
        &mut self,
        other: Staged,
        head: &Head,
        head_revision: Option<u64>,
        now: Duration,
    ) -> Step {
        let since = match self.other {
            Some((revision, since)) if revision == other.revision => since,
            _ => now,
        };
        self.other = Some((other.revision, since));
        if now < since + self.times.abandoned {
            return Step::ReadHead;
        }
        self.state = State::Clearing;
        let cleared = Head { staged: None, ..head.clone() };
        let revision = head_revision.unwrap_or(0);
        Step::Decide { head: cleared, revision, delete: Some(other.revision) }
    }

    fn read_back_stage(
        &mut self,
        head: Head,
        head_revision: Option<u64>,
        revision: u64,
        now: Duration,
    ) -> Step {
        let staged = self.staged(revision);
        match head_revision {
            Some(head_revision) if head.staged.as_ref() == Some(&staged) => {
                self.state = State::Waiting { head, head_revision, since: now };
                Step::ReadMembers
            }
            _ => {
                self.state = State::Start;
                self.stage(head, head_revision, now)
            }
        }
    }

    /// Tells from the head whether the commit took effect.
    fn read_back_commit(
        &mut self,
        head: Head,
        head_revision: Option<u64>,
        revision: u64,
        now: Duration,
    ) -> Step {
        if head.committed == revision {
            return self.end(Outcome::Accepted(revision));
        }
        if head.committed > revision {
            let detail = format!("revision {} came into force meanwhile", head.committed);
            let refusal = Refusal::maybe_ran(Code::ChangeInDoubt, detail);
            return self.end(Outcome::InDoubt(refusal));
        }
        let still_staged = head.staged.as_ref().is_some_and(|s| s.revision == revision);
        if let Some(head_revision) = head_revision.filter(|_| still_staged) {
            self.state = State::Waiting { head, head_revision, since: now };
            return Step::ReadMembers;
        }
        let detail = "another proposer cleared the change away as left behind";
        self.end(Outcome::Rejected(Refusal::not_run(Code::ChangeConflict, detail)))
    }

    fn staged(&self, revision: u64) -> Staged {
        Staged { revision, proposer: self.proposer.clone(), token: self.token }
    }

    fn end(&mut self, outcome: Outcome) -> Step {
        self.state = State::Ended(outcome.clone());
        Step::End(outcome)
    }
}

fn not_confirmed(missing: &[&Member]) -> Refusal {
    let names: Vec<String> =
        missing.iter().map(|member| format!("{} on {}", member.process, member.host)).collect();
    let detail = format!("no acknowledgement from {}", names.join(", "));
    Refusal::not_run(Code::ChangeNotConfirmed, detail).retry_after_ms(5_000)
}
