//! The decisions of a host that stops.

use std::time::Duration;

use guavaspread_fleet::{StopAction, StopSchedule};
use test_case::test_case;

/// A stop that began at 100.0 s: the balancer notices at 102.6 s, requests are given up at 107.3 s,
/// and the process exits at 107.5 s.
fn schedule() -> StopSchedule {
    let ms = Duration::from_millis;
    StopSchedule::new(ms(100_000), ms(2_600), ms(7_300), ms(200))
}

#[test_case(100_000 => true; "at once")]
#[test_case(102_599 => true; "until the balancer notices")]
#[test_case(102_600 => false; "after it has noticed")]
#[test_case(107_400 => false; "at the end")]
fn accepts_requests(now_ms: u64) -> bool {
    schedule().accepts_requests(Duration::from_millis(now_ms))
}

#[test_case(102_000, 130_000 => true; "soon, with a long time limit")]
#[test_case(102_600, 107_300 => true; "late, ends in time")]
#[test_case(102_600, 107_301 => false; "late, may end too late")]
#[test_case(107_200, 107_250 => true; "very late, ends in time")]
#[test_case(107_300, 107_400 => false; "after the end")]
fn can_send(now_ms: u64, response_end_ms: u64) -> bool {
    schedule().can_send(Duration::from_millis(now_ms), Duration::from_millis(response_end_ms))
}

#[test_case(100_000, false => StopAction::Wait; "idle, callers still come")]
#[test_case(102_600, false => StopAction::Exit; "idle, no caller comes")]
#[test_case(102_600, true => StopAction::Wait; "responses are left")]
#[test_case(107_299, true => StopAction::Wait; "responses are left until the end")]
#[test_case(107_300, true => StopAction::GiveUp; "responses are left at the end")]
#[test_case(107_400, false => StopAction::Exit; "all are answered")]
#[test_case(107_500, true => StopAction::Exit; "no time is left")]
fn next_action(now_ms: u64, has_responses_left: bool) -> StopAction {
    schedule().next_action(Duration::from_millis(now_ms), has_responses_left)
}

/// With a grace period shorter than the balancer's notice, no request is accepted after its end.
#[test]
fn a_short_grace_period_ends_acceptance() {
    let ms = Duration::from_millis;
    let schedule = StopSchedule::new(ms(0), ms(2_600), ms(1_000), ms(200));
    assert!(schedule.accepts_requests(ms(999)));
    assert!(!schedule.accepts_requests(ms(1_000)));
    assert!(!schedule.can_send(ms(1_000), ms(1_100)));
    assert_eq!(schedule.next_action(ms(1_000), false), StopAction::Exit);
}
