//! Searches interleavings of proposals, cuts, late joiners and lost answers for a
//! configuration that reverts, or that is in force in one place and not in another.
//!
//! Each protection is taken out once, and the search must then find a violation.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;
use std::time::Duration;

use guavaspread_config::{
    Acknowledgement, ChangeRecord, Follow, Head, Member, Outcome, Proposal, ProposalTimes, Replica,
    Step,
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

/// Takes one protection out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// Proposers don't wait for acknowledgements.
    Acknowledgements,
    /// The table takes a head whose condition does not hold.
    Condition,
    /// A member reads the head before its row stands.
    MemberFirst,
    /// A member applies a staged change when it acknowledges it.
    Commit,
}

#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    Lost,
    Down,
}

#[derive(Clone, Debug)]
enum Op {
    Advance(u64),
    Propose(usize),
    StepProposer(usize, Fate),
    /// Follows the head, unless it is cut off.
    Follow(usize, Fate),
    Cut(usize),
    Heal(usize),
    /// Replaces a process by one that knows nothing.
    Replace(usize),
}

struct Proposer {
    proposal: Option<Proposal>,
    step: Option<Step>,
    proposed: u64,
    /// The revisions that its records were written under.
    revisions: Vec<u64>,
}

struct Process {
    replica: Replica,
    cut: bool,
    row: bool,
    incarnation: u64,
    acknowledged: u64,
    highest: u64,
}

struct World {
    without: Without,
    now: Duration,
    head: Option<(Head, u64)>,
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
        Process { replica, cut: false, row: false, incarnation, acknowledged: 0, highest: 0 }
    }
}

impl World {
    fn new(without: Without) -> Self {
        World {
            without,
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
            Op::StepProposer(p, fate) => self.step_proposer(p, fate),
            Op::Follow(m, fate) => self.follow(m, fate),
            Op::Cut(m) => self.processes[m].cut = true,
            Op::Heal(m) => self.processes[m].cut = false,
            Op::Replace(m) => {
                self.processes[m] = Process::new(self.processes[m].incarnation + 1);
            }
        }
        self.judge();
    }

    /// Proposes on top of what is committed, as the gateway of an operator would.
    fn propose(&mut self, p: usize) {
        if self.proposers[p].proposal.is_some() {
            return;
        }
        let base = self.head.as_ref().map_or(0, |(head, _)| head.committed);
        let config = Configuration { revision: base, ..Configuration::default() };
        self.proposers[p].proposed += 1;
        let organisation = name(&format!("by-{p}-{}", self.proposers[p].proposed));
        let changes = vec![Change::CreateOrganisation { organisation }];
        let times = ProposalTimes::default();
        // Two operators may propose through one gateway.
        let token = self.revision * PROPOSERS as u64 + p as u64;
        let proposal = Proposal::new(name("gateway"), token, changes, &config, times);
        let proposal = proposal.unwrap();
        self.proposers[p].step = Some(proposal.next());
        self.proposers[p].proposal = Some(proposal);
    }

    fn step_proposer(&mut self, p: usize, fate: Fate) {
        let Some(mut proposal) = self.proposers[p].proposal.take() else {
            return;
        };
        let step = self.proposers[p].step.take().unwrap_or(Step::ReadHead);
        let next = match (step, fate) {
            (Step::ReadHead, Fate::Answered) => {
                let (head, revision) = self.head.clone().unzip();
                proposal.on_head(head.unwrap_or_default(), revision, self.now)
            }
            (Step::ReadMembers, Fate::Answered) => {
                let members: Vec<Acknowledgement> = match self.without {
                    Without::Acknowledgements => Vec::new(),
                    _ => self.members.values().cloned().collect(),
                };
                proposal.on_members(&members, |_| true, self.now)
            }
            (Step::Stage { head, record, revision }, fate) => {
                let staged = record.revision;
                let before = self.revision;
                let next = self.write(&mut proposal, head, revision, Some(record), None, fate);
                if self.revision > before {
                    self.proposers[p].revisions.push(staged);
                }
                next
            }
            (Step::Decide { head, revision, delete }, fate) => {
                self.write(&mut proposal, head, Some(revision), None, delete, fate)
            }
            (Step::End(outcome), _) => return self.end(p, &outcome),
            (Step::ReadHead | Step::ReadMembers, _) => proposal.next(),
        };
        self.proposers[p].proposal = Some(proposal);
        self.proposers[p].step = Some(next);
    }

    fn write(
        &mut self,
        proposal: &mut Proposal,
        head: Head,
        revision: Option<u64>,
        record: Option<ChangeRecord>,
        delete: Option<u64>,
        fate: Fate,
    ) -> Step {
        if matches!(fate, Fate::Down) {
            return proposal.next();
        }
        let holds = self.head.as_ref().map(|(_, revision)| *revision) == revision;
        if !holds && self.without != Without::Condition {
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
        match fate {
            Fate::Answered => proposal.on_committed(head, self.revision, self.now),
            Fate::Lost | Fate::Down => proposal.next(),
        }
    }

    fn end(&mut self, p: usize, outcome: &Outcome) {
        let is_committed = |revision: u64| self.committed.iter().any(|(r, _)| *r == revision);
        let mine = self.proposers[p].revisions.clone();
        match outcome {
            Outcome::Accepted(revision) if !is_committed(*revision) => {
                self.violation = Some(format!("{revision} was accepted and is not committed"));
            }
            Outcome::Rejected(refusal) => {
                if let Some(revision) = mine.iter().find(|r| is_committed(**r)) {
                    self.violation = Some(format!("{revision} was committed; told {refusal}"));
                }
            }
            Outcome::Accepted(_) | Outcome::InDoubt(_) => {}
        }
        self.proposers[p].revisions.clear();
    }

    fn follow(&mut self, m: usize, fate: Fate) {
        if self.processes[m].cut || !matches!(fate, Fate::Answered) {
            return;
        }
        if !self.processes[m].row && self.without != Without::MemberFirst {
            return self.write_member(m);
        }
        let (head, revision) = self.head.clone().unzip();
        let (head, revision) = (head.unwrap_or_default(), revision.unwrap_or(0));
        let mut next = self.processes[m].replica.on_head(head, revision, self.now);
        loop {
            next = match next {
                Follow::Nothing => return,
                Follow::Fetch { from, to } => {
                    let records: Vec<ChangeRecord> =
                        self.records.range(from..=to).map(|(_, record)| record.clone()).collect();
                    let next = self.processes[m].replica.on_records(&records);
                    if next == (Follow::Fetch { from, to }) {
                        return;
                    }
                    next
                }
                Follow::Acknowledge(revision) => {
                    self.processes[m].replica.on_acknowledging(revision);
                    self.processes[m].acknowledged = revision;
                    if self.without == Without::Commit {
                        self.processes[m].highest = revision;
                    }
                    return self.write_member(m);
                }
            };
        }
    }

    fn write_member(&mut self, m: usize) {
        let process = &mut self.processes[m];
        process.row = true;
        let member = Member { host: name(&format!("host-{m}")), process: name("gateway") };
        let (incarnation, revision) = (process.incarnation, process.acknowledged);
        self.members.insert(m, Acknowledgement { member, incarnation, revision });
    }

    /// A process may be behind what is committed only while it is not silent, or says so.
    fn judge(&mut self) {
        for pair in self.committed.windows(2) {
            if pair[1].0 <= pair[0].0 {
                self.violation = Some(format!("committed {} after {}", pair[1].0, pair[0].0));
            }
        }
        let newest = *self.committed.last().unwrap();
        for (m, process) in self.processes.iter_mut().enumerate() {
            let view = process.replica.view(self.now);
            let Some(config) = view.config else { continue };
            if config.revision < process.highest {
                self.violation = Some(format!("host-{m} went back to {}", config.revision));
            }
            process.highest = process.highest.max(config.revision);
            let (_, _, contact) = process.replica.head();
            let silent = self.now > contact + GRACE && self.now > newest.1 + GRACE;
            if silent && config.revision < newest.0 && view.doubt.is_none() {
                self.violation = Some(format!("host-{m} is behind {} and sure of it", newest.0));
            }
        }
    }
}

fn op() -> impl Strategy<Value = Op> {
    let fate = prop_oneof![
        8 => Just(Fate::Answered),
        1 => Just(Fate::Lost),
        1 => Just(Fate::Down),
    ];
    prop_oneof![
        4 => prop_oneof![Just(200_u64), Just(2_500), Just(7_000)].prop_map(Op::Advance),
        2 => (0..PROPOSERS).prop_map(Op::Propose),
        12 => (0..PROPOSERS, fate.clone()).prop_map(|(p, fate)| Op::StepProposer(p, fate)),
        12 => (0..MEMBERS, fate).prop_map(|(m, fate)| Op::Follow(m, fate)),
        1 => (0..MEMBERS).prop_map(Op::Cut),
        1 => (0..MEMBERS).prop_map(Op::Heal),
        1 => (0..MEMBERS).prop_map(Op::Replace),
    ]
}

/// Returns the first violation found, shrunk.
fn search(without: Without) -> Option<String> {
    eprintln!("{without:?} taken out");
    SEARCH.find(op(), |ops| {
        let mut world = World::new(without);
        ops.iter().find_map(|op| {
            world.apply(op);
            world.violation.take()
        })
    })
}

#[test]
fn configuration_never_reverts_and_is_never_silently_behind() {
    assert_eq!(search(Without::Nothing), None);
}

#[test_case(Without::Acknowledgements)]
#[test_case(Without::Condition)]
#[test_case(Without::MemberFirst)]
#[test_case(Without::Commit)]
fn search_finds_a_violation(without: Without) {
    assert!(search(without).is_some(), "nothing found without {without:?}");
}
