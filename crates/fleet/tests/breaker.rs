//! The pattern of an engine that breaks off what many entry hosts send it.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use guavaspread_fleet::{Breakage, Breaker, Ended};
use test_case::test_case;

fn at(ms: u64) -> Duration {
    Duration::from_millis(10_000 + ms)
}

/// Reports one request every 50 ms, as `ends` tells by its number.
fn report(breaker: &mut Breaker, from_ms: u64, count: u64, ends: impl Fn(u64) -> Ended) -> u64 {
    for number in 0..count {
        let now = at(from_ms + number * 50);
        breaker.on_ended(ends(number), now, now);
    }
    from_ms + count * 50
}

#[test]
fn an_engine_that_breaks_every_request_is_left_after_three() {
    let mut breaker = Breaker::default();
    let now = report(&mut breaker, 0, 40, |_| Ended::Whole);
    // That all went well until then does not count against what breaks now.
    let now = report(&mut breaker, now, 2, |_| Ended::Broken);
    assert!(breaker.is_closed(at(now)));
    let now = report(&mut breaker, now, 1, |_| Ended::Broken);
    assert!(!breaker.is_closed(at(now)));
    assert!(!breaker.try_again(at(now)));
}

#[test]
fn requests_that_break_far_apart_are_no_row() {
    let mut breaker = Breaker::default();
    for number in 0..10 {
        breaker.on_ended(Ended::Broken, at(number * 1_500), at(number * 1_500));
        assert!(breaker.is_closed(at(number * 1_500)));
    }
}

#[test_case(2; "one in two breaks")]
#[test_case(10; "one in ten breaks")]
fn an_engine_that_breaks_few_requests_is_used(each: u64) {
    let mut breaker = Breaker::default();
    let ends = |number: u64| match number.is_multiple_of(each) {
        true => Ended::Broken,
        false => Ended::Whole,
    };
    for number in 0..400 {
        breaker.on_ended(ends(number), at(number * 50), at(number * 50));
        assert!(breaker.is_closed(at(number * 50)), "request {number}");
    }
}

#[test]
fn requests_that_callers_left_say_nothing() {
    let mut breaker = Breaker::default();
    report(&mut breaker, 0, 50, |_| Ended::Open);
    assert!(breaker.is_closed(at(2_500)));
}

#[test]
fn one_request_at_a_time_tries_it_again_and_a_whole_answer_brings_it_back() {
    let mut breaker = Breaker::default();
    let now = report(&mut breaker, 0, 4, |_| Ended::Broken);
    let tries = (0..40).filter(|step| breaker.try_again(at(now + step * 50))).count();
    assert!((6..=8).contains(&tries), "{tries} tries in 2 s");
    let now = now + 1_800;
    breaker.on_ended(Ended::Broken, at(now), at(now));
    assert!(!breaker.is_closed(at(now)) && !breaker.try_again(at(now)));
    breaker.on_ended(Ended::Whole, at(now + 450), at(now + 450));
    assert!(breaker.is_closed(at(now + 450)));
    // The next one that breaks is not yet a reason to leave it again.
    breaker.on_ended(Ended::Broken, at(now + 500), at(now + 500));
    assert!(breaker.is_closed(at(now + 500)));
}

#[test]
fn an_engine_that_nothing_can_try_is_used_again_after_a_while() {
    let mut breaker = Breaker::default();
    let now = report(&mut breaker, 0, 6, |_| Ended::Broken);
    assert!(!breaker.is_closed(at(now + 2_000)));
    assert!(breaker.is_closed(at(now + 3_000)));
}

/// The pattern of an engine that finishes what it runs while it refuses what is new.
#[test]
fn requests_that_began_before_it_broke_do_not_bring_it_back() {
    let mut breaker = Breaker::default();
    for number in 0..10 {
        breaker.on_ended(Ended::Broken, at(1_000 + number * 50), at(1_000 + number * 50));
        breaker.on_ended(Ended::Whole, at(500), at(1_010 + number * 50));
        assert_eq!(breaker.is_closed(at(1_010 + number * 50)), number < 2, "request {number}");
    }
}

/// The pattern of answers that are lost on the way, whichever engine made them.
#[test_case(4, true; "four in ten")]
#[test_case(1, false; "one in ten")]
fn requests_that_break_all_over_say_nothing_of_an_engine(in_ten: u64, is_general: bool) {
    let mut breakage = Breakage::default();
    for number in 0..200 {
        let ended = if number % 10 < in_ten { Ended::Broken } else { Ended::Whole };
        breakage.on_ended(ended, at(number * 50));
    }
    assert_eq!(breakage.is_general(at(10_000)), is_general);
}
