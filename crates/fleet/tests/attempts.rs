//! Which failures are followed by another attempt.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::time::Duration;

use guavaspread_fleet::{Attempts, Outcome, RequestClass, Route, Verdict};
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
