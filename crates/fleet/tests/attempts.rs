//! Tests the decision whether a failed request is sent to another server.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::time::Duration;

use guavaspread_fleet::{AttemptOutcome, Attempts, RequestClass, RetryDecision, Route};
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
        is_public: false,
        targets: Vec::new(),
    }
}

#[test_case(RequestClass::Unsafe, false, AttemptOutcome::Unknown => RetryDecision::MayHaveRun)]
#[test_case(RequestClass::Unsafe, false, AttemptOutcome::Refused => RetryDecision::TryNext)]
#[test_case(RequestClass::Unsafe, false, AttemptOutcome::NotSent => RetryDecision::TryNext)]
#[test_case(RequestClass::Safe, false, AttemptOutcome::Unknown => RetryDecision::TryNext)]
#[test_case(RequestClass::Stream, false, AttemptOutcome::Unknown => RetryDecision::MayHaveRun)]
#[test_case(RequestClass::Stream, true, AttemptOutcome::Unknown => RetryDecision::TryNext)]
fn decision_after_first_failure(
    class: RequestClass,
    resumable: bool,
    outcome: AttemptOutcome,
) -> RetryDecision {
    Attempts::default().on_outcome(&route(class, resumable, 2), outcome)
}

#[test]
fn a_rejection_after_a_possible_run_does_not_prove_that_the_request_has_not_run() {
    let route = route(RequestClass::Safe, false, 3);
    let mut attempts = Attempts::default();
    assert_eq!(attempts.on_outcome(&route, AttemptOutcome::Unknown), RetryDecision::TryNext);
    attempts.on_outcome(&route, AttemptOutcome::Refused);
    assert!(!attempts.has_not_run());
}

#[test]
fn a_safe_request_runs_at_most_attempts_max_times() {
    let route = route(RequestClass::Safe, false, 2);
    let mut attempts = Attempts::default();
    assert_eq!(attempts.on_outcome(&route, AttemptOutcome::Unknown), RetryDecision::TryNext);
    assert_eq!(attempts.on_outcome(&route, AttemptOutcome::Unknown), RetryDecision::MayHaveRun);
}

#[test]
fn repeated_rejections_end_as_not_run() {
    let route = route(RequestClass::Unsafe, false, 1);
    let mut attempts = Attempts::default();
    let decisions: Vec<RetryDecision> =
        (0..10).map(|_| attempts.on_outcome(&route, AttemptOutcome::Refused)).collect();
    assert!(decisions.contains(&RetryDecision::NotRun));
    assert!(!decisions.contains(&RetryDecision::MayHaveRun));
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
    fn outcome(self) -> Option<AttemptOutcome> {
        match self {
            Behaviour::Unreachable => Some(AttemptOutcome::NotSent),
            Behaviour::Rejects => Some(AttemptOutcome::Refused),
            Behaviour::Disconnects { .. } | Behaviour::ResponseLost => {
                Some(AttemptOutcome::Unknown)
            }
            Behaviour::Responds => None,
        }
    }
}

/// Simulates one request against servers with random behaviour; returns the violated rule, if any.
///
/// An entry host that does not report `AttemptOutcome::Unknown` treats a broken connection as a
/// rejection.
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
        let reported = if reports_unknown || outcome != AttemptOutcome::Unknown {
            outcome
        } else {
            AttemptOutcome::Refused
        };
        if !matches!(outcome, AttemptOutcome::NotSent) {
            attempts.on_sent();
        }
        match attempts.on_outcome(&route, reported) {
            RetryDecision::TryNext => {}
            decision => break Some(decision),
        }
    };
    if runs > runs_max {
        return Some(format!(
            "seed {seed}: {class:?} ran {runs} times, at most {runs_max} allowed"
        ));
    }
    let claims_not_run =
        decision == Some(RetryDecision::NotRun) || (decision.is_some() && attempts.has_not_run());
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
