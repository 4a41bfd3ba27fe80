//! Searches interleavings of proposals, partitions, late joiners and lost responses for a
//! configuration that reverts, or for a process that is unknowingly behind the committed one.
//!
//! Each protection is disabled in turn, and the search must then find a violation.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;
use std::time::Duration;

use guavaspread_config::{
    Acknowledgement, ChangeRecord, ConfigHead, Member, Outcome, Proposal, ProposalAction,
    ProposalTimeouts, Replica, ReplicaAction,
};
use guavaspread_model::{Change, Config as Configuration, Name};
use guavaspread_search::Search;
use proptest::prelude::*;
use test_case::test_case;

const CASES: u32 = 8_000;
const STEPS_MAX: usize = 160;
const MEMBERS: usize = 3;
const PROPOSERS: usize = 2;
const GRACE: Duration = Duration::from_secs(4);
const SEARCH: Search =
    Search { seed: *b"guavaspread config seed 00000001", cases: CASES, steps_max: STEPS_MAX };

/// The protection that a search disables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DisabledProtection {
    None,
    /// A proposer does not wait for acknowledgements.
    Acknowledgements,
    /// The table accepts a head write although the head has changed.
    HeadCondition,
    /// A member reads the head before it has written its row.
    MemberRowFirst,
    /// A member applies a staged change when it acknowledges it.
    Commit,
}

#[derive(Clone, Copy, Debug)]
enum CallOutcome {
    Answered,
    /// The call takes effect, but its response is lost.
    ResponseLost,
    /// The call has no effect.
    Unreachable,
}

#[derive(Clone, Debug)]
enum Op {
    Advance(u64),
    Propose(usize),
    StepProposer(usize, CallOutcome),
    /// Follows the head, unless the process is partitioned.
    Follow(usize, CallOutcome),
    Partition(usize),
    Heal(usize),
    /// Replaces a process by a new one without state.
    Replace(usize),
}

struct Proposer {
    proposal: Option<Proposal>,
    step: Option<ProposalAction>,
    proposed: u64,
    /// The revisions of the records that this proposer has written.
    revisions: Vec<u64>,
}

struct Process {
    replica: Replica,
    partitioned: bool,
    has_row: bool,
    incarnation: u64,
    acknowledged: u64,
    highest: u64,
}

struct World {
    disabled: DisabledProtection,
    now: Duration,
    head: Option<(ConfigHead, u64)>,
    records: BTreeMap<u64, ChangeRecord>,
    members: BTreeMap<usize, Acknowledgement>,
    revision: u64,
    committed: Vec<(u64, Duration)>,
    processes: Vec<Process>,
    proposers: Vec<Proposer>,
    violation: Option<String>,
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

impl Process {
    fn new(incarnation: u64) -> Self {
        let replica = Replica::new(GRACE);
        Process {
            replica,
            partitioned: false,
            has_row: false,
            incarnation,
            acknowledged: 0,
            highest: 0,
        }
    }
}

impl World {
    fn new(disabled: DisabledProtection) -> Self {
        World {
            disabled,
            now: Duration::from_secs(1),
            head: None,
            records: BTreeMap::new(),
            members: BTreeMap::new(),
            revision: 0,
            committed: vec![(0, Duration::ZERO)],
            processes: (0..MEMBERS).map(|_| Process::new(1)).collect(),
            proposers: (0..PROPOSERS)
                .map(|_| Proposer { proposal: None, step: None, proposed: 0, revisions: vec![] })
                .collect(),
            violation: None,
        }
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Advance(ms) => self.now += Duration::from_millis(ms),
            Op::Propose(p) => self.propose(p),
            Op::StepProposer(p, outcome) => self.step_proposer(p, outcome),
            Op::Follow(m, outcome) => self.follow(m, outcome),
            Op::Partition(m) => self.processes[m].partitioned = true,
            Op::Heal(m) => self.processes[m].partitioned = false,
            Op::Replace(m) => {
                self.processes[m] = Process::new(self.processes[m].incarnation + 1);
            }
        }
        self.check_invariants();
    }

    /// Proposes a change to the committed revision, like a gateway for an operator.
    fn propose(&mut self, p: usize) {
        if self.proposers[p].proposal.is_some() {
            return;
        }
        let base = self.head.as_ref().map_or(0, |(head, _)| head.committed);
        let config = Configuration { revision: base, ..Configuration::default() };
        self.proposers[p].proposed += 1;
        let organisation = name(&format!("by-{p}-{}", self.proposers[p].proposed));
        let changes = vec![Change::CreateOrganisation { organisation }];
        let timeouts = ProposalTimeouts::default();
        // Two operators may propose through the same gateway; only the token distinguishes them.
        let token = self.revision * PROPOSERS as u64 + p as u64;
        let proposal = Proposal::new(name("gateway"), token, changes, &config, timeouts);
        let proposal = proposal.unwrap();
        self.proposers[p].step = Some(proposal.next_action());
        self.proposers[p].proposal = Some(proposal);
    }

    fn step_proposer(&mut self, p: usize, outcome: CallOutcome) {
        let Some(mut proposal) = self.proposers[p].proposal.take() else {
            return;
        };
        let step = self.proposers[p].step.take().unwrap_or(ProposalAction::ReadHead);
        let next = match (step, outcome) {
            (ProposalAction::ReadHead, CallOutcome::Answered) => {
                let (head, revision) = self.head.clone().unzip();
                proposal.on_head(head.unwrap_or_default(), revision, self.now)
            }
            (ProposalAction::ReadMembers, CallOutcome::Answered) => {
                let members: Vec<Acknowledgement> = match self.disabled {
                    DisabledProtection::Acknowledgements => Vec::new(),
                    _ => self.members.values().cloned().collect(),
                };
                proposal.on_members(&members, |_| true, self.now)
            }
            (ProposalAction::Stage { head, record, revision }, outcome) => {
                let staged = record.revision;
                let before = self.revision;
                let next = self.write(&mut proposal, head, revision, Some(record), None, outcome);
                if self.revision > before {
                    self.proposers[p].revisions.push(staged);
                }
                next
            }
            (ProposalAction::Decide { head, revision, delete }, outcome) => {
                self.write(&mut proposal, head, Some(revision), None, delete, outcome)
            }
            (ProposalAction::End(outcome), _) => return self.check_outcome(p, &outcome),
            (ProposalAction::ReadHead | ProposalAction::ReadMembers, _) => proposal.next_action(),
        };
        self.proposers[p].proposal = Some(proposal);
        self.proposers[p].step = Some(next);
    }

    fn write(
        &mut self,
        proposal: &mut Proposal,
        head: ConfigHead,
        revision: Option<u64>,
        record: Option<ChangeRecord>,
        delete: Option<u64>,
        outcome: CallOutcome,
    ) -> ProposalAction {
        if matches!(outcome, CallOutcome::Unreachable) {
            return proposal.next_action();
        }
        let holds = self.head.as_ref().map(|(_, revision)| *revision) == revision;
        if !holds && self.disabled != DisabledProtection::HeadCondition {
            return proposal.on_conflict();
        }
        self.revision += 1;
        let newest = self.committed.last().map_or(0, |(revision, _)| *revision);
        if head.committed != newest {
            self.committed.push((head.committed, self.now));
        }
        if let Some(record) = record {
            self.records.insert(record.revision, record);
        }
        if let Some(delete) = delete {
            self.records.remove(&delete);
        }
        self.head = Some((head.clone(), self.revision));
        match outcome {
            CallOutcome::Answered => proposal.on_head_written(head, self.revision, self.now),
            CallOutcome::ResponseLost | CallOutcome::Unreachable => proposal.next_action(),
        }
    }

    fn check_outcome(&mut self, p: usize, outcome: &Outcome) {
        let is_committed = |revision: u64| self.committed.iter().any(|(r, _)| *r == revision);
        let mine = self.proposers[p].revisions.clone();
        match outcome {
            Outcome::Accepted(revision) if !is_committed(*revision) => {
                self.violation =
                    Some(format!("revision {revision} was accepted but not committed"));
            }
            Outcome::Rejected(refusal) => {
                if let Some(revision) = mine.iter().find(|r| is_committed(**r)) {
                    self.violation = Some(format!(
                        "revision {revision} was committed but rejected with {refusal}"
                    ));
                }
            }
            Outcome::Accepted(_) | Outcome::InDoubt(_) => {}
        }
        self.proposers[p].revisions.clear();
    }

    fn follow(&mut self, m: usize, outcome: CallOutcome) {
        if self.processes[m].partitioned || !matches!(outcome, CallOutcome::Answered) {
            return;
        }
        if !self.processes[m].has_row && self.disabled != DisabledProtection::MemberRowFirst {
            return self.write_member(m);
        }
        let (head, revision) = self.head.clone().unzip();
        let (head, revision) = (head.unwrap_or_default(), revision.unwrap_or(0));
        let mut next = self.processes[m].replica.on_head(head, revision, self.now);
        loop {
            next = match next {
                ReplicaAction::Nothing => return,
                ReplicaAction::Fetch { from, to } => {
                    let records: Vec<ChangeRecord> =
                        self.records.range(from..=to).map(|(_, record)| record.clone()).collect();
                    let next = self.processes[m].replica.on_records(&records);
                    if next == (ReplicaAction::Fetch { from, to }) {
                        return;
                    }
                    next
                }
                ReplicaAction::Acknowledge(revision) => {
                    self.processes[m].replica.before_acknowledge(revision);
                    self.processes[m].acknowledged = revision;
                    if self.disabled == DisabledProtection::Commit {
                        self.processes[m].highest = revision;
                    }
                    return self.write_member(m);
                }
            };
        }
    }

    fn write_member(&mut self, m: usize) {
        let process = &mut self.processes[m];
        process.has_row = true;
        let member = Member { host: name(&format!("host-{m}")), process: name("gateway") };
        let (incarnation, revision) = (process.incarnation, process.acknowledged);
        self.members.insert(m, Acknowledgement { member, incarnation, revision });
    }

    /// Checks that revisions only increase, and that a process behind the committed revision has
    /// read the head recently or reports a configuration in doubt.
    fn check_invariants(&mut self) {
        for pair in self.committed.windows(2) {
            if pair[1].0 <= pair[0].0 {
                self.violation = Some(format!(
                    "revision {} was committed after revision {}",
                    pair[1].0, pair[0].0
                ));
            }
        }
        let newest = *self.committed.last().unwrap();
        for (m, process) in self.processes.iter_mut().enumerate() {
            let view = process.replica.view(self.now);
            let Some(config) = view.config else { continue };
            if config.revision < process.highest {
                self.violation = Some(format!("host-{m} reverted to revision {}", config.revision));
            }
            process.highest = process.highest.max(config.revision);
            let (_, _, head_read_at) = process.replica.head();
            let head_is_stale = self.now > head_read_at + GRACE && self.now > newest.1 + GRACE;
            if head_is_stale && config.revision < newest.0 && view.in_doubt.is_none() {
                self.violation = Some(format!(
                    "host-{m} is behind revision {} and reports no configuration in doubt",
                    newest.0
                ));
            }
        }
    }
}

fn op() -> impl Strategy<Value = Op> {
    let outcome = prop_oneof![
        8 => Just(CallOutcome::Answered),
        1 => Just(CallOutcome::ResponseLost),
        1 => Just(CallOutcome::Unreachable),
    ];
    prop_oneof![
        4 => prop_oneof![Just(200_u64), Just(2_500), Just(7_000)].prop_map(Op::Advance),
        2 => (0..PROPOSERS).prop_map(Op::Propose),
        12 => (0..PROPOSERS, outcome.clone()).prop_map(|(p, outcome)| Op::StepProposer(p, outcome)),
        12 => (0..MEMBERS, outcome).prop_map(|(m, outcome)| Op::Follow(m, outcome)),
        1 => (0..MEMBERS).prop_map(Op::Partition),
        1 => (0..MEMBERS).prop_map(Op::Heal),
        1 => (0..MEMBERS).prop_map(Op::Replace),
    ]
}

/// Returns the first violation found, with a minimized sequence of operations.
fn search(disabled: DisabledProtection) -> Option<String> {
    eprintln!("disabled protection: {disabled:?}");
    SEARCH.find_violation(op(), |ops| {
        let mut world = World::new(disabled);
        ops.iter().find_map(|op| {
            world.apply(op);
            world.violation.take()
        })
    })
}

#[test]
fn configuration_never_reverts_and_is_never_unknowingly_behind() {
    assert_eq!(search(DisabledProtection::None), None);
}

#[test_case(DisabledProtection::Acknowledgements)]
#[test_case(DisabledProtection::HeadCondition)]
#[test_case(DisabledProtection::MemberRowFirst)]
#[test_case(DisabledProtection::Commit)]
fn search_finds_a_violation(disabled: DisabledProtection) {
    assert!(search(disabled).is_some(), "no violation found with {disabled:?} disabled");
}
