//! Rate limits that servers name, with late responses, other hosts' reports and new incarnations.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::server;
use guavaspread_fleet::{LimitChange, LimitReport, NamedLimit, RateLimit, RateLimits, Server};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const SEEDS: u64 = 10_000;
const HOSTS: usize = 3;
const STEPS: usize = 40;
const NOW: Duration = Duration::from_secs(100);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn limit(rate: f64) -> RateLimit {
    RateLimit::per_second(rate)
}

#[test]
fn a_response_without_a_limit_ends_it_only_if_its_request_was_sent_later() {
    let (a, mut limits) = (server("a"), RateLimits::default());
    assert_eq!(limits.on_absent(&a, NOW, NOW), None);
    assert_eq!(limits.on_named(&a, limit(3.0), NOW), Some(LimitChange::Named(limit(3.0))));
    assert_eq!(limits.on_named(&a, limit(3.0), NOW + ms(5)), None);
    let changed = limits.on_named(&a, limit(2.0), NOW + ms(10));
    assert_eq!(changed, Some(LimitChange::Changed(limit(2.0))));
    limits.on_sent(&a);
    // The response was overtaken by the one that named the limit.
    assert_eq!(limits.on_absent(&a, NOW + ms(9), NOW + ms(20)), None);
    assert_eq!(limits.get(&a), Some(limit(2.0)));
    let ended = limits.on_absent(&a, NOW + ms(10), NOW + ms(30));
    assert_eq!(ended, Some(LimitChange::Ended { after: ms(30), sent_count: 1 }));
    assert_eq!(limits.get(&a), None);
    assert!(limits.is_empty());
}

#[test]
fn a_limit_applies_to_one_incarnation() {
    let (old, mut limits) = (server("a"), RateLimits::default());
    let new = Server { started_at_ms: 2, ..server("a") };
    limits.on_named(&old, limit(3.0), NOW);
    assert_eq!(limits.get(&new), None);
    assert_eq!(limits.on_absent(&new, NOW + ms(1), NOW + ms(2)), None);
    limits.on_named(&new, limit(5.0), NOW + ms(3));
    // A late response of the old incarnation changes nothing.
    assert_eq!(limits.on_named(&old, limit(1.0), NOW + ms(4)), None);
    assert_eq!(limits.on_absent(&old, NOW + ms(4), NOW + ms(5)), None);
    assert_eq!(limits.get(&new), Some(limit(5.0)));
    assert_eq!(limits.get(&old), None);
}

#[test]
fn a_denial_applies_to_requests_that_are_as_urgent_or_less() {
    let (a, mut limits) = (server("a"), RateLimits::default());
    limits.on_named(&a, limit(3.0), NOW);
    limits.on_denied(&a, 4, NOW + ms(500));
    assert_eq!(limits.denied_until(&a, 3, NOW), None);
    assert_eq!(limits.denied_until(&a, 4, NOW), Some(NOW + ms(500)));
    assert_eq!(limits.denied_until(&a, 9, NOW), Some(NOW + ms(500)));
    assert_eq!(limits.denied_until(&a, 9, NOW + ms(500)), None);
    limits.on_denied(&a, 4, NOW + ms(900));
    limits.on_named(&a, limit(30.0), NOW + ms(600));
    assert_eq!(limits.denied_until(&a, 9, NOW + ms(600)), None);
}

#[test]
fn a_report_of_a_later_response_replaces_an_earlier_one() {
    let (a, mut limits) = (server("a"), RateLimits::default());
    let report = |rate: Option<f64>, age| LimitReport {
        server: "a".into(),
        started_at_ms: 1,
        limit: rate.map(limit),
        age: ms(age),
    };
    assert_eq!(limits.merge(&report(None, 0), NOW), None);
    assert_eq!(limits.merge(&report(Some(3.0), 50), NOW), Some(LimitChange::Named(limit(3.0))));
    assert_eq!(limits.merge(&report(None, 60), NOW), None);
    assert!(limits.merge(&report(None, 40), NOW).is_some());
    assert_eq!(limits.merge(&report(Some(3.0), 50), NOW), None);
    assert_eq!(limits.get(&a), None);
    assert_eq!(limits.report("a", NOW + ms(2)), Some(report(None, 42)));
    assert_eq!(limits.report("b", NOW), None);
}

#[test]
fn memory_is_bounded_and_ended_limits_are_evicted_first() {
    let mut limits = RateLimits::default();
    limits.on_named(&server("kept"), limit(3.0), NOW);
    for n in 0..10_000 {
        let other = server(&format!("s-{n}"));
        limits.on_named(&other, limit(3.0), NOW + ms(n));
        limits.on_absent(&other, NOW + ms(n), NOW + ms(n));
    }
    assert_eq!(limits.len(), 1);
    for n in 0..10_000 {
        limits.on_named(&server(&format!("t-{n}")), limit(3.0), NOW + ms(20_000 + n));
    }
    assert!(limits.len() <= 4_096, "{}", limits.len());
}

#[test_case(3.1, Some(322_580); "a fraction")]
#[test_case(0.0, Some(10_000_000); "zero is probed now and then")]
#[test_case(1e-300, Some(10_000_000); "nearly zero")]
#[test_case(9_999.0, Some(100); "as much as a server processes")]
#[test_case(1e300, None; "more than any server processes")]
#[test_case(f64::INFINITY, None; "infinite")]
fn a_rate_is_converted_to_an_interval(rate: f64, interval_us: Option<u128>) {
    match NamedLimit::per_second(rate) {
        NamedLimit::Limit(limit) => assert_eq!(Some(limit.interval().as_micros()), interval_us),
        NamedLimit::Absent => assert_eq!(None, interval_us),
        NamedLimit::Invalid => panic!("invalid"),
    }
}

/// Peers send limits as intervals, which may be anything in an invalid message.
#[test_case(Duration::ZERO)]
#[test_case(Duration::MAX)]
fn an_interval_of_a_peer_is_limited(interval: Duration) {
    let limit = RateLimit::from(interval);
    assert!(limit.interval() >= Duration::from_micros(100), "{limit}");
    assert!(limit.interval() <= Duration::from_secs(10), "{limit}");
}

#[test_case(-1.0)]
#[test_case(f64::NAN)]
#[test_case(f64::NEG_INFINITY)]
fn a_negative_or_undefined_rate_is_invalid(rate: f64) {
    assert_eq!(NamedLimit::per_second(rate), NamedLimit::Invalid);
}

/// Hosts see responses in any order and exchange reports in any order; once each has heard from
/// each other, all agree with the last response.
#[test]
fn hosts_agree_after_exchanging_reports_in_any_order() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut hosts = vec![RateLimits::default(); HOSTS];
        let mut in_flight: Vec<(LimitReport, Duration)> = Vec::new();
        let mut last: Option<(u64, Option<RateLimit>)> = None;
        let mut started_at_ms = 1;
        for step in 0..STEPS as u64 {
            let now = NOW + ms(step * 10);
            let a = Server { started_at_ms, ..server("a") };
            let host = rng.random_range(0..HOSTS);
            match rng.random_range(0..8) {
                0 | 1 => {
                    let rate = limit(f64::from(rng.random_range(1..4)));
                    hosts[host].on_named(&a, rate, now);
                    last = Some((started_at_ms, Some(rate)));
                }
                2 if hosts[host].get(&a).is_some() => {
                    hosts[host].on_absent(&a, now, now);
                    last = Some((started_at_ms, None));
                }
                3 if rng.random_range(0..4) == 0 => started_at_ms += 1,
                4 | 5 => in_flight.extend(hosts[host].report("a", now).map(|report| (report, now))),
                _ if !in_flight.is_empty() => {
                    let (mut report, sent_at) =
                        in_flight.swap_remove(rng.random_range(0..in_flight.len()));
                    report.age += now - sent_at;
                    hosts[host].merge(&report, now);
                }
                _ => {}
            }
        }
        let now = NOW + ms(STEPS as u64 * 10);
        for from in 0..HOSTS {
            let report = hosts[from].report("a", now);
            for host in &mut hosts {
                report.iter().for_each(|report| {
                    host.merge(report, now);
                });
            }
        }
        let Some((started_at_ms, expected)) = last else { continue };
        let a = Server { started_at_ms, ..server("a") };
        for host in &hosts {
            assert_eq!(host.get(&a), expected, "seed {seed}");
        }
    }
}
