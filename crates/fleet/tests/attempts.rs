//! Which failures are followed by another attempt.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::time::Duration;

use guavaspread_fleet::{Attempts, Outcome, RequestClass, Route, Verdict};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

fn route(class: RequestClass, resumable: bool, attempts_max: u32) -> Route {
    Route {
        name: "r".into(),
        host: "a.example".into(),
        prefix: "/".into(),
        class,
        resumable,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(100),
        pause_objective: None,
        priority: 0,
        attempts_max,
        targets: Vec::new(),
    }
}

#[test_case(RequestClass::Unsafe, false, Outcome::Unknown => Verdict::MayHaveRun)]
#[test_case(RequestClass::Unsafe, false, Outcome::Refused => Verdict::TryNext)]
#[test_case(RequestClass::Unsafe, false, Outcome::NotSent => Verdict::TryNext)]
#[test_case(RequestClass::Safe, false, Outcome::Unknown => Verdict::TryNext)]
#[test_case(RequestClass::Stream, false, Outcome::Unknown => Verdict::MayHaveRun)]
#[test_case(RequestClass::Stream, true, Outcome::Unknown => Verdict::TryNext)]
fn first_failure(class: RequestClass, resumable: bool, outcome: Outcome) -> Verdict {
    Attempts::default().after(&route(class, resumable, 2), outcome)
}

#[test]
fn a_refusal_after_a_possible_run_is_not_proof() {
    let route = route(RequestClass::Safe, false, 3);
    let mut attempts = Attempts::default();
    assert_eq!(attempts.after(&route, Outcome::Unknown), Verdict::TryNext);
    attempts.after(&route, Outcome::Refused);
    assert!(!attempts.is_not_run());
}

#[test]
fn a_safe_request_runs_at_most_as_often_as_its_route_allows() {
    let route = route(RequestClass::Safe, false, 2);
    let mut attempts = Attempts::default();
    assert_eq!(attempts.after(&route, Outcome::Unknown), Verdict::TryNext);
    assert_eq!(attempts.after(&route, Outcome::Unknown), Verdict::MayHaveRun);
}

#[test]
fn refusals_end() {
    let route = route(RequestClass::Unsafe, false, 1);
    let mut attempts = Attempts::default();
    let verdicts: Vec<Verdict> =
        (0..10).map(|_| attempts.after(&route, Outcome::Refused)).collect();
    assert!(verdicts.contains(&Verdict::NotRun));
    assert!(!verdicts.contains(&Verdict::MayHaveRun));
}

/// What a server does with a request, and what of it the entry host can see.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// The connection did not open.
    Unreached,
    /// It says that it did not run the request.
    Refuses,
    /// The connection broke: it ran, or did not.
    Breaks {
        ran: bool,
    },
    /// The answer was lost.
    AnswerLost,
    Answers,
}

impl Fate {
    fn draw(rng: &mut ChaCha8Rng) -> Self {
        match rng.random_range(0..6) {
            0 => Fate::Unreached,
            1 => Fate::Refuses,
            2 | 3 => Fate::Breaks { ran: rng.random() },
            4 => Fate::AnswerLost,
            _ => Fate::Answers,
        }
    }

    fn ran(self) -> bool {
        matches!(self, Fate::Breaks { ran: true } | Fate::AnswerLost | Fate::Answers)
    }

    /// Returns what the entry host sees; `None` for an answer.
    fn outcome(self) -> Option<Outcome> {
        match self {
            Fate::Unreached => Some(Outcome::NotSent),
            Fate::Refuses => Some(Outcome::Refused),
            Fate::Breaks { .. } | Fate::AnswerLost => Some(Outcome::Unknown),
            Fate::Answers => None,
        }
    }
}

/// Plays one request against servers of drawn fates; returns what was broken. A host that
/// is not `protected` takes a broken connection for a refusal.
fn play(seed: u64, protected: bool) -> Option<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let classes = [RequestClass::Safe, RequestClass::Unsafe, RequestClass::Stream];
    let class = classes[rng.random_range(0..classes.len())];
    let resumable = rng.random();
    let route = route(class, resumable, rng.random_range(1..=4));
    let repeatable = class == RequestClass::Safe || (class == RequestClass::Stream && resumable);
    let runs_max = if repeatable { route.attempts_max } else { 1 };
    let mut attempts = Attempts::default();
    let mut runs = 0;
    let verdict = loop {
        let fate = Fate::draw(&mut rng);
        runs += u32::from(fate.ran());
        let Some(outcome) = fate.outcome() else { break None };
        let seen =
            if protected || outcome != Outcome::Unknown { outcome } else { Outcome::Refused };
        if !matches!(outcome, Outcome::NotSent) {
            attempts.on_sent();
        }
        match attempts.after(&route, seen) {
            Verdict::TryNext => {}
            verdict => break Some(verdict),
        }
    };
    if runs > runs_max {
        return Some(format!("seed {seed}: {class:?} ran {runs} times, {runs_max} allowed"));
    }
    let denies = verdict == Some(Verdict::NotRun) || (verdict.is_some() && attempts.is_not_run());
    (denies && runs > 0).then(|| format!("seed {seed}: {class:?} ran and is said not to have"))
}

#[test]
fn no_request_runs_more_often_than_it_may_or_is_denied_though_it_ran() {
    let wrong: Vec<String> = (0..10_000).filter_map(|seed| play(seed, true)).collect();
    assert!(wrong.is_empty(), "{} seeds: {}", wrong.len(), wrong[0]);
}

#[test]
fn a_broken_connection_taken_for_a_refusal_breaks_it() {
    assert!((0..10_000).any(|seed| play(seed, false).is_some()));
}
