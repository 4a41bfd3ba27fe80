//! Searches interleavings of repeated requests, kills and lost or delayed writes for a
//! request that runs twice, or for one that ran and was refused as not run.
//!
//! Each protection is disabled in turn, and the search must then find a violation.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use guavaspread_claims::{Claim, ClaimAction, ClaimRow, Claimer, RunOutcome, StoredResponse};
use guavaspread_model::{Code, Name, Ran, Refusal};
use guavaspread_search::Search;
use proptest::prelude::*;
use test_case::test_case;

const CASES: u32 = 20_000;
const STEPS_MAX: usize = 80;
const ATTEMPTS: usize = 3;
const CONTENT: u64 = 7;
const SEARCH: Search =
    Search { seed: *b"guavaspread claims seed 00000001", cases: CASES, steps_max: STEPS_MAX };

/// The protection that a search disables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DisabledProtection {
    None,
    /// The table accepts an insert although a row exists.
    InsertCondition,
    /// An attempt treats any row that it reads back as its own.
    Token,
    /// A row counts as absent if its claimer is dead or unresponsive.
    DeadClaimers,
    /// A request that may have run is recorded as not run.
    UnknownOutcome,
}

#[derive(Clone, Copy, Debug)]
enum CallOutcome {
    Answered,
    /// The call takes effect, but its response is lost.
    ResponseLost,
    /// The response is lost, and the call takes effect later.
    Delayed,
    /// The call has no effect.
    Unreachable,
}

#[derive(Clone, Debug)]
enum Op {
    Advance(u64),
    Step(usize, CallOutcome),
    Finish(usize, u8),
    Kill(usize),
    /// A delayed write takes effect.
    DeliverDelayed,
}

struct Attempt {
    claim: Claim,
    claimer: Claimer,
    next: Option<ClaimAction>,
    alive: bool,
    ran: bool,
    refusal: Option<Refusal>,
}

struct World {
    disabled: DisabledProtection,
    now: Duration,
    row: Option<(ClaimRow, u64)>,
    revision: u64,
    delayed: Vec<(Option<ClaimRow>, Option<u64>)>,
    attempts: Vec<Attempt>,
    violation: Option<String>,
}

fn response() -> StoredResponse {
    StoredResponse { status: 200, content_type: None, stream: false, parts: vec!["x".to_owned()] }
}

impl World {
    fn new(disabled: DisabledProtection) -> Self {
        let attempts = (0..ATTEMPTS).map(|index| {
            let host = Name::new(&format!("host-{index}")).unwrap();
            let claimer = Claimer { host, incarnation: index as u64 };
            let deadline = Duration::from_secs(5);
            let claim = Claim::new(claimer.clone(), index as u64, CONTENT, deadline);
            let next = Some(claim.start());
            Attempt { claim, claimer, next, alive: true, ran: false, refusal: None }
        });
        World {
            disabled,
            now: Duration::ZERO,
            row: None,
            revision: 0,
            delayed: Vec::new(),
            attempts: attempts.collect(),
            violation: None,
        }
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Advance(ms) => self.now += Duration::from_millis(ms),
            Op::Step(a, outcome) => self.step(a, outcome),
            Op::Finish(a, ending) => self.finish(a, ending),
            Op::Kill(a) => self.attempts[a].alive = false,
            Op::DeliverDelayed => {
                if let Some((row, revision)) = self.delayed.pop() {
                    self.write(row, revision);
                }
            }
        }
        self.check_invariants();
    }

    fn write(&mut self, row: Option<ClaimRow>, revision: Option<u64>) -> Option<u64> {
        let unchecked = self.disabled == DisabledProtection::InsertCondition && revision.is_none();
        if self.row.as_ref().map(|(_, revision)| *revision) != revision && !unchecked {
            return None;
        }
        self.revision += 1;
        self.row = row.map(|row| (row, self.revision));
        Some(self.revision)
    }

    fn step(&mut self, a: usize, outcome: CallOutcome) {
        if !self.attempts[a].alive {
            return;
        }
        let next = match self.attempts[a].next.take() {
            Some(ClaimAction::Insert(row)) => self.send(a, Some(*row), None, outcome),
            Some(ClaimAction::Update { row, revision }) => {
                self.send(a, row.map(|row| *row), Some(revision), outcome)
            }
            Some(ClaimAction::Read | ClaimAction::ReadAfter(_)) => self.read(a, outcome),
            other => other,
        };
        let attempt = &mut self.attempts[a];
        match &next {
            Some(ClaimAction::Run) => attempt.ran = true,
            Some(ClaimAction::Refuse(refusal)) => attempt.refusal = Some(refusal.clone()),
            _ => {}
        }
        attempt.next = next;
    }

    fn send(
        &mut self,
        a: usize,
        row: Option<ClaimRow>,
        revision: Option<u64>,
        outcome: CallOutcome,
    ) -> Option<ClaimAction> {
        let claim = |world: &mut Self| world.attempts[a].claim.clone();
        let mut machine = claim(self);
        let next = match outcome {
            CallOutcome::Answered => match self.write(row, revision) {
                Some(revision) => machine.on_written(revision),
                None => machine.on_conflict(),
            },
            CallOutcome::ResponseLost => {
                self.write(row, revision);
                machine.on_table_response_lost()
            }
            CallOutcome::Delayed => {
                self.delayed.push((row, revision));
                machine.on_table_response_lost()
            }
            CallOutcome::Unreachable => machine.on_table_unreachable(),
        };
        self.attempts[a].claim = machine;
        Some(next)
    }

    fn read(&mut self, a: usize, outcome: CallOutcome) -> Option<ClaimAction> {
        let mut found = self.row.clone();
        if let Some((row, _)) = &mut found
            && self.disabled == DisabledProtection::Token
        {
            row.token = a as u64;
            row.claimer = self.attempts[a].claimer.clone();
        }
        let alive: Vec<Claimer> =
            self.attempts.iter().filter(|x| x.alive).map(|x| x.claimer.clone()).collect();
        let is_alive = |claimer: &Claimer| alive.contains(claimer);
        if self.disabled == DisabledProtection::DeadClaimers
            && found.as_ref().is_some_and(|(row, _)| !is_alive(&row.claimer))
        {
            self.row = None;
            found = None;
        }
        let now = self.now;
        let claim = &mut self.attempts[a].claim;
        Some(match outcome {
            CallOutcome::Answered => claim.on_row_read(found, is_alive, now),
            CallOutcome::ResponseLost | CallOutcome::Delayed => claim.on_table_response_lost(),
            CallOutcome::Unreachable => claim.on_table_unreachable(),
        })
    }

    /// Ends a run: 0 completes it, 1 leaves its outcome unknown. It counts as run in both cases.
    fn finish(&mut self, a: usize, ending: u8) {
        let attempt = &mut self.attempts[a];
        if !attempt.alive || attempt.next != Some(ClaimAction::Run) {
            return;
        }
        let unknown = Refusal::maybe_ran(Code::Cut, "the response was cut off");
        let outcome = match ending {
            0 => RunOutcome::Complete(response()),
            _ if self.disabled == DisabledProtection::UnknownOutcome => RunOutcome::NotRun,
            _ => RunOutcome::Unknown(unknown),
        };
        attempt.next = Some(attempt.claim.on_run_ended(outcome));
    }

    fn check_invariants(&mut self) {
        let runs = self.attempts.iter().filter(|attempt| attempt.ran).count();
        if runs > 1 {
            self.violation = Some(format!("the request ran {runs} times"));
        }
        for (index, attempt) in self.attempts.iter().enumerate() {
            let not_run = attempt.refusal.as_ref().is_some_and(|r| r.ran == Ran::No);
            if not_run && attempt.ran {
                self.violation = Some(format!("attempt {index} ran and was refused as not run"));
            }
        }
    }
}

fn op() -> impl Strategy<Value = Op> {
    let outcome = prop_oneof![
        5 => Just(CallOutcome::Answered),
        2 => Just(CallOutcome::ResponseLost),
        2 => Just(CallOutcome::Delayed),
        1 => Just(CallOutcome::Unreachable),
    ];
    prop_oneof![
        1 => prop_oneof![Just(100_u64), Just(6_000)].prop_map(Op::Advance),
        12 => (0..ATTEMPTS, outcome).prop_map(|(a, outcome)| Op::Step(a, outcome)),
        3 => (0..ATTEMPTS, 0_u8..2).prop_map(|(a, ending)| Op::Finish(a, ending)),
        1 => (0..ATTEMPTS).prop_map(Op::Kill),
        2 => Just(Op::DeliverDelayed),
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
fn request_runs_at_most_once() {
    assert_eq!(search(DisabledProtection::None), None);
}

#[test_case(DisabledProtection::InsertCondition)]
#[test_case(DisabledProtection::Token)]
#[test_case(DisabledProtection::DeadClaimers)]
#[test_case(DisabledProtection::UnknownOutcome)]
fn search_finds_a_violation(disabled: DisabledProtection) {
    assert!(search(disabled).is_some(), "no violation found with {disabled:?} disabled");
}
