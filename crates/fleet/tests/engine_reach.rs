//! An owner tells an engine that is out of its reach from one that pauses.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::time::Duration;

use guavaspread_fleet::{CallOutcome, EngineReach, Reach};
use test_case::test_case;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

use CallOutcome::{Answered, NoResponse, NotSent};

/// Each call is its start, its end and its outcome.
#[test_case(&[], Reach::Reached; "no calls")]
#[test_case(&[(0, 60, NoResponse), (60, 120, NoResponse), (120, 2_000, NoResponse)], Reach::Reached;
    "a few calls, however long they take")]
#[test_case(&[(0, 60, NoResponse), (60, 120, NoResponse), (120, 180, NoResponse),
    (180, 240, NoResponse)], Reach::Reached; "a pause of a quarter of a second")]
#[test_case(&[(0, 60, NoResponse), (60, 120, NoResponse), (120, 180, NoResponse),
    (180, 260, NoResponse)], Reach::Silent; "no response to commands")]
#[test_case(&[(0, 200, NotSent), (500, 700, NotSent), (1_000, 1_200, NotSent),
    (1_299, 1_499, NotSent)], Reach::Silent; "a pause of a second and a half")]
#[test_case(&[(0, 200, NotSent), (500, 700, NotSent), (1_000, 1_200, NotSent),
    (1_300, 1_500, NotSent)], Reach::OutOfReach; "no connection for a second and a half")]
#[test_case(&[(0, 200, NotSent), (500, 700, NotSent), (1_000, 1_200, NotSent),
    (1_300, 1_500, Answered)], Reach::Reached; "a response after three failures")]
#[test_case(&[(0, 200, NotSent), (200, 400, NotSent), (400, 600, Answered),
    (600, 800, NotSent), (1_000, 1_700, NoResponse)], Reach::Reached; "a response in between")]
fn an_engine_is_out_of_reach_after(calls: &[(u64, u64, CallOutcome)], expected: Reach) {
    let mut reach = EngineReach::default();
    let mut last = Reach::Reached;
    for (started_at, ended_at, outcome) in calls {
        last = reach.on_call(*outcome, ms(*started_at), ms(*ended_at));
    }
    assert_eq!(last, expected);
}

#[test_case(Answered, 160; "answered")]
#[test_case(NoResponse, 160; "maybe sent")]
#[test_case(NotSent, 60; "not sent")]
fn the_last_command_is_the_last_that_may_have_been_sent(outcome: CallOutcome, expected: u64) {
    let mut reach = EngineReach::default();
    reach.on_command(Answered, ms(0), ms(60));
    reach.on_command(outcome, ms(100), ms(160));
    reach.on_call(NoResponse, ms(200), ms(600));
    assert_eq!(reach.last_command_at(), ms(expected));
}
