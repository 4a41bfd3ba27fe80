//! Searches interleavings of repeats, kills, lost and late writes for a request that
//! runs twice, or for a refusal that is not true.
//!
//! Each protection is taken out once, and the search must then find a violation.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use guavaspread_claims::{Claim, ClaimRow, Claimer, Ended, Next, StoredAnswer};
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

/// Takes one protection out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// The table inserts although there is a row.
    Condition,
    /// An attempt takes any row that it reads back for its own.
    Token,
    /// A row whose claimer is dead or silent counts as absent.
    Patience,
    /// A request that may have run is recorded as not run.
    Maybe,
}

#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    /// It takes effect, the answer is lost.
    Lost,
    /// It takes effect later, the answer is lost now.
    Late,
    NotReached,
}

#[derive(Clone, Debug)]
enum Op {
    Advance(u64),
    Step(usize, Fate),
    Finish(usize, u8),
    Kill(usize),
    /// A late write arrives.
    Arrive,
}

struct Attempt {
    claim: Claim,
    claimer: Claimer,
    next: Option<Next>,
    alive: bool,
    ran: bool,
    refusal: Option<Refusal>,
}

struct World {
    without: Without,
    now: Duration,
    row: Option<(ClaimRow, u64)>,
    revision: u64,
    late: Vec<(Option<ClaimRow>, Option<u64>)>,
    attempts: Vec<Attempt>,
    violation: Option<String>,
}

fn answer() -> StoredAnswer {
    StoredAnswer { status: 200, content_type: None, stream: false, parts: vec!["x".to_owned()] }
}

impl World {
    fn new(without: Without) -> Self {
        let attempts = (0..ATTEMPTS).map(|index| {
            let host = Name::new(&format!("host-{index}")).unwrap();
            let claimer = Claimer { host, incarnation: index as u64 };
            let deadline = Duration::from_secs(5);
            let claim = Claim::new(claimer.clone(), index as u64, CONTENT, deadline);
            let next = Some(claim.start());
            Attempt { claim, claimer, next, alive: true, ran: false, refusal: None }
        });
        World {
            without,
            now: Duration::ZERO,
            row: None,
            revision: 0,
            late: Vec::new(),
            attempts: attempts.collect(),
            violation: None,
        }
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Advance(ms) => self.now += Duration::from_millis(ms),
            Op::Step(a, fate) => self.step(a, fate),
            Op::Finish(a, how) => self.finish(a, how),
            Op::Kill(a) => self.attempts[a].alive = false,
            Op::Arrive => {
                if let Some((row, revision)) = self.late.pop() {
                    self.write(row, revision);
                }
            }
        }
        self.judge();
    }

    fn write(&mut self, row: Option<ClaimRow>, revision: Option<u64>) -> Option<u64> {
        let unchecked = self.without == Without::Condition && revision.is_none();
        if self.row.as_ref().map(|(_, revision)| *revision) != revision && !unchecked {
            return None;
        }
        self.revision += 1;
        self.row = row.map(|row| (row, self.revision));
        Some(self.revision)
    }

    fn step(&mut self, a: usize, fate: Fate) {
        if !self.attempts[a].alive {
            return;
        }
        let next = match self.attempts[a].next.take() {
            Some(Next::Insert(row)) => self.send(a, Some(*row), None, fate),
            Some(Next::Update { row, revision }) => {
                self.send(a, row.map(|row| *row), Some(revision), fate)
            }
            Some(Next::Read | Next::ReadAfter(_)) => self.read(a, fate),
            other => other,
        };
        let attempt = &mut self.attempts[a];
        match &next {
            Some(Next::Run) => attempt.ran = true,
            Some(Next::Refuse(refusal)) => attempt.refusal = Some(refusal.clone()),
            _ => {}
        }
        attempt.next = next;
    }

    fn send(
        &mut self,
        a: usize,
        row: Option<ClaimRow>,
        revision: Option<u64>,
        fate: Fate,
    ) -> Option<Next> {
        let claim = |world: &mut Self| world.attempts[a].claim.clone();
        let mut machine = claim(self);
        let next = match fate {
            Fate::Answered => match self.write(row, revision) {
                Some(revision) => machine.on_written(revision),
                None => machine.on_conflict(),
            },
            Fate::Lost => {
                self.write(row, revision);
                machine.on_answer_lost()
            }
            Fate::Late => {
                self.late.push((row, revision));
                machine.on_answer_lost()
            }
            Fate::NotReached => machine.on_not_reached(),
        };
        self.attempts[a].claim = machine;
        Some(next)
    }

    fn read(&mut self, a: usize, fate: Fate) -> Option<Next> {
        let mut found = self.row.clone();
        if let Some((row, _)) = &mut found
            && self.without == Without::Token
        {
            row.token = a as u64;
            row.claimer = self.attempts[a].claimer.clone();
        }
        let alive: Vec<Claimer> =
            self.attempts.iter().filter(|x| x.alive).map(|x| x.claimer.clone()).collect();
        let is_alive = |claimer: &Claimer| alive.contains(claimer);
        if self.without == Without::Patience
            && found.as_ref().is_some_and(|(row, _)| !is_alive(&row.claimer))
        {
            self.row = None;
            found = None;
        }
        let now = self.now;
        let claim = &mut self.attempts[a].claim;
        Some(match fate {
            Fate::Answered => claim.on_row(found, is_alive, now),
            Fate::Lost | Fate::Late => claim.on_answer_lost(),
            Fate::NotReached => claim.on_not_reached(),
        })
    }

    /// Ends a run: 0 whole, 1 unknown. A run that was sent always counts as run.
    fn finish(&mut self, a: usize, how: u8) {
        let attempt = &mut self.attempts[a];
        if !attempt.alive || attempt.next != Some(Next::Run) {
            return;
        }
        let unknown = Refusal::maybe_ran(Code::Cut, "broke off");
        let ended = match how {
            0 => Ended::Whole(answer()),
            _ if self.without == Without::Maybe => Ended::NotRun,
            _ => Ended::Unknown(unknown),
        };
        attempt.next = Some(attempt.claim.on_ended(ended));
    }

    fn judge(&mut self) {
        let runs = self.attempts.iter().filter(|attempt| attempt.ran).count();
        if runs > 1 {
            self.violation = Some(format!("{runs} runs"));
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
    let fate = prop_oneof![
        5 => Just(Fate::Answered),
        2 => Just(Fate::Lost),
        2 => Just(Fate::Late),
        1 => Just(Fate::NotReached),
    ];
    prop_oneof![
        1 => prop_oneof![Just(100_u64), Just(6_000)].prop_map(Op::Advance),
        12 => (0..ATTEMPTS, fate).prop_map(|(a, fate)| Op::Step(a, fate)),
        3 => (0..ATTEMPTS, 0_u8..2).prop_map(|(a, how)| Op::Finish(a, how)),
        1 => (0..ATTEMPTS).prop_map(Op::Kill),
        2 => Just(Op::Arrive),
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
fn request_runs_at_most_once() {
    assert_eq!(search(Without::Nothing), None);
}

#[test_case(Without::Condition)]
#[test_case(Without::Token)]
#[test_case(Without::Patience)]
#[test_case(Without::Maybe)]
fn search_finds_a_violation(without: Without) {
    assert!(search(without).is_some(), "nothing found without {without:?}");
}
