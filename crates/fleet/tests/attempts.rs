//! Tests the decision whether a failed request is sent to another server.

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
fn decision_after_first_failure(class: RequestClass, resumable: bool, outcome: Outcome) -> Verdict {
    Attempts::default().after(&route(class, resumable, 2), outcome)
}

#[test]
fn a_rejection_after_a_possible_run_does_not_prove_that_the_request_has_not_run() {
    let route = route(RequestClass::Safe, false, 3);
    let mut attempts = Attempts::default();
    assert_eq!(attempts.after(&route, Outcome::Unknown), Verdict::TryNext);
    attempts.after(&route, Outcome::Refused);
    assert!(!attempts.is_not_run());
}

#[test]
fn a_safe_request_runs_at_most_attempts_max_times() {
    let route = route(RequestClass::Safe, false, 2);
    let mut attempts = Attempts::default();
    assert_eq!(attempts.after(&route, Outcome::Unknown), Verdict::TryNext);
    assert_eq!(attempts.after(&route, Outcome::Unknown), Verdict::MayHaveRun);
}

#[test]
fn repeated_rejections_end_as_not_run() {
    let route = route(RequestClass::Unsafe, false, 1);
    let mut attempts = Attempts::default();
    let decisions: Vec<Verdict> =
        (0..10).map(|_| attempts.after(&route, Outcome::Refused)).collect();
    assert!(decisions.contains(&Verdict::NotRun));
    assert!(!decisions.contains(&Verdict::MayHaveRun));
}

/// How a server handles a request.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    /// The connection did not open.
    Unreachable,
    /// The server reports that it did not run the request.
    Rejects,
    /// The connection broke; the request may or may not have run.
    Disconnects {
        ran: bool,
    },
    /// The server ran the request, but the response was lost.
    ResponseLost,
    Responds,
}

impl Behaviour {
    fn random_choice(rng: &mut ChaCha8Rng) -> Self {
        match rng.random_range(0..6) {
            0 => Behaviour::Unreachable,
            1 => Behaviour::Rejects,
            2 | 3 => Behaviour::Disconnects { ran: rng.random() },
            4 => Behaviour::ResponseLost,
            _ => Behaviour::Responds,
        }
    }

    fn ran(self) -> bool {
        matches!(
            self,
            Behaviour::Disconnects { ran: true } | Behaviour::ResponseLost | Behaviour::Responds
        )
    }

    /// Returns the outcome that the entry host observes; `None` for a response.
    fn outcome(self) -> Option<Outcome> {
        match self {
            Behaviour::Unreachable => Some(Outcome::NotSent),
            Behaviour::Rejects => Some(Outcome::Refused),
            Behaviour::Disconnects { .. } | Behaviour::ResponseLost => Some(Outcome::Unknown),
            Behaviour::Responds => None,
        }
    }
}

/// Simulates one request against servers with random behaviour; returns the violated rule, if any.
///
/// An entry host that does not report `Outcome::Unknown` treats a broken connection as a rejection.
fn simulate(seed: u64, reports_unknown: bool) -> Option<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let classes = [RequestClass::Safe, RequestClass::Unsafe, RequestClass::Stream];
    let class = classes[rng.random_range(0..classes.len())];
    let resumable = rng.random();
    let route = route(class, resumable, rng.random_range(1..=4));
    let repeatable = class == RequestClass::Safe || (class == RequestClass::Stream && resumable);
    let runs_max = if repeatable { route.attempts_max } else { 1 };
    let mut attempts = Attempts::default();
    let mut runs = 0;
    let decision = loop {
        let behaviour = Behaviour::random_choice(&mut rng);
        runs += u32::from(behaviour.ran());
        let Some(outcome) = behaviour.outcome() else { break None };
        let reported =
            if reports_unknown || outcome != Outcome::Unknown { outcome } else { Outcome::Refused };
        if !matches!(outcome, Outcome::NotSent) {
            attempts.on_sent();
        }
        match attempts.after(&route, reported) {
            Verdict::TryNext => {}
            decision => break Some(decision),
        }
    };
    if runs > runs_max {
        return Some(format!(
            "seed {seed}: {class:?} ran {runs} times, at most {runs_max} allowed"
        ));
    }
    let claims_not_run =
        decision == Some(Verdict::NotRun) || (decision.is_some() && attempts.is_not_run());
    (claims_not_run && runs > 0)
        .then(|| format!("seed {seed}: {class:?} ran but is reported as not run"))
}

#[test]
fn no_request_exceeds_its_run_limit_or_is_reported_not_run_after_running() {
    let violations: Vec<String> = (0..10_000).filter_map(|seed| simulate(seed, true)).collect();
    assert!(violations.is_empty(), "{} seeds: {}", violations.len(), violations[0]);
}

#[test]
fn treating_a_broken_connection_as_a_rejection_violates_the_rules() {
    assert!((0..10_000).any(|seed| simulate(seed, false).is_some()));
}
