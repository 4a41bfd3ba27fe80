//! Who reads the store for a zone, and when its news no longer count.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::server;

use guavaspread_fleet::{
    Backoff, Hearsay, HeldAdapter, HeldModel, HostLease, PassedOn, Server, ServerState, followed,
    watchers,
};

const LIMIT: Duration = Duration::from_millis(1_200);

fn lease(host: u32, zone: &str) -> HostLease {
    HostLease {
        holder: format!("host-{host}").into(),
        address: format!("10.0.0.{host}:80").parse().unwrap(),
        zone: zone.into(),
        link_mbps: 10,
        until_ms: 1,
        revision: 1,
    }
}

#[test]
fn a_large_zone_has_two_watchers_whatever_its_size() {
    for hosts in [5, 20, 100] {
        let leases: Vec<HostLease> = (0..hosts).map(|n| lease(n, "north")).collect();
        assert_eq!(watchers("north", leases.iter()).len(), 2);
    }
}

#[test]
fn hosts_choose_alike_in_whatever_order_they_read() {
    let leases: Vec<HostLease> = (0..10).map(|n| lease(n, "north")).collect();
    let other: Vec<HostLease> = (0..10).rev().map(|n| lease(n, "north")).collect();
    assert_eq!(watchers("north", leases.iter()), watchers("north", other.iter()));
}

/// The pattern of a zone with a few well connected hosts among many.
#[test]
fn hosts_with_the_best_links_watch() {
    let mut leases: Vec<HostLease> = (0..20).map(|n| lease(n, "north")).collect();
    leases[7].link_mbps = 200;
    leases[11].link_mbps = 1_000;
    let watchers = watchers("north", leases.iter());
    let names: Vec<&str> = watchers.iter().map(|(host, _)| &**host).collect();
    assert_eq!(names, ["host-11", "host-7"]);
}

#[test]
fn small_zones_and_other_zones_have_none() {
    let leases: Vec<HostLease> = (0..4).map(|n| lease(n, "north")).collect();
    assert!(watchers("north", leases.iter()).is_empty());
    let leases: Vec<HostLease> = (0..9).map(|n| lease(n, "south")).collect();
    assert!(watchers("north", leases.iter()).is_empty());
}

#[test]
fn news_go_stale_with_what_the_watcher_knew() {
    let (a, b): (SocketAddr, SocketAddr) =
        ("10.0.0.1:80".parse().unwrap(), "10.0.0.2:80".parse().unwrap());
    let ms = Duration::from_millis;
    let mut hearsay = Hearsay::default();
    assert!(!hearsay.is_fresh(LIMIT, ms(0)));
    hearsay.on_news(a, ms(700), ms(1_000));
    assert!(hearsay.is_fresh(LIMIT, ms(1_400)));
    assert!(!hearsay.is_fresh(LIMIT, ms(1_600)));
    // A watcher that speaks but no longer hears from the store does not count.
    hearsay.on_news(a, ms(5_000), ms(6_000));
    assert!(!hearsay.is_fresh(LIMIT, ms(6_000)));
    hearsay.on_news(b, ms(0), ms(6_000));
    assert!(hearsay.is_fresh(LIMIT, ms(6_500)));
    hearsay.on_lost(b);
    assert!(!hearsay.is_fresh(LIMIT, ms(6_500)));
}

#[test]
fn the_second_watcher_is_followed_only_while_the_first_is_not_fresh() {
    let leases: Vec<HostLease> = (0..20).map(|n| lease(n, "north")).collect();
    let ranked = watchers("north", leases.iter());
    let [(first, first_at), (second, second_at)] = &ranked[..] else { unreachable!() };
    let choose = |host: &str, fresh: &[SocketAddr]| {
        followed(ranked.clone(), host, |watcher| fresh.contains(&watcher))
    };
    assert_eq!(choose("host-x", &[*first_at, *second_at]), [*first_at]);
    assert_eq!(choose("host-x", &[*second_at]), [*first_at, *second_at]);
    assert_eq!(choose("host-x", &[]), [*first_at, *second_at]);
    // The second one follows the first; the first reads the store.
    assert_eq!(choose(second, &[]), [*first_at]);
    assert!(choose(first, &[]).is_empty());
}

/// The pattern of a store that is away for eight seconds, on a grown site's day.
#[test]
fn a_store_that_is_away_is_asked_a_few_times_and_found_soon_after_its_return() {
    const AWAY: Duration = Duration::from_secs(8);
    const LONGEST: Duration = Duration::from_millis(1_200);
    let mut backoff = Backoff::new(Duration::from_millis(300), LONGEST);
    let (mut at, mut asked) = (Duration::ZERO, 0);
    while at < AWAY {
        at += backoff.on_failure();
        asked += 1;
    }
    assert!(asked <= 9, "asked {asked} times");
    assert!(at <= AWAY + LONGEST);
    backoff.on_success();
    assert_eq!(backoff.on_failure(), Duration::from_millis(300));
    for _ in 0..100 {
        assert!(backoff.on_failure() <= LONGEST);
    }
}

fn holding(adapter: &str) -> Server {
    let adapters = vec![HeldAdapter { name: adapter.into(), version: 1 }];
    let models = vec![HeldModel { name: "base".into(), version: 1, adapters }];
    Server { models, ..server("a") }
}

/// The pattern of a thousand servers that write their rows every second.
#[test]
fn only_what_followers_need_is_passed_on() {
    let ms = Duration::from_millis;
    let mut passed_on = PassedOn::default();
    let rows = 1_000 * 60;
    let passed = (0..rows).filter(|row| {
        let adapter = format!("a{}", row / 1_000);
        let server = Server { id: format!("i-{}", row % 1_000).into(), ..holding(&adapter) };
        passed_on.is_news(&server, ms(row / 1_000 * 1_200))
    });
    // Each server once, and what it holds with each fifth row.
    assert_eq!(passed.count(), 1_000 * 12);
}

#[test]
fn followers_hear_at_once_of_a_server_that_drains_goes_or_starts_anew() {
    let ms = Duration::from_millis;
    let mut passed_on = PassedOn::default();
    assert!(passed_on.is_news(&holding("a1"), ms(0)));
    assert!(!passed_on.is_news(&holding("a1"), ms(10_000)));
    assert!(!passed_on.is_news(&holding("a2"), ms(2_000)));
    let draining = Server { state: ServerState::Draining { remaining: None }, ..holding("a2") };
    assert!(passed_on.is_news(&draining, ms(2_100)));
    assert!(passed_on.is_news(&Server { born: 9, ..holding("a2") }, ms(2_200)));
    let other = HeldModel { name: "other".into(), version: 1, adapters: Vec::new() };
    let switched = Server { born: 9, models: vec![other], ..holding("a2") };
    assert!(passed_on.is_news(&switched, ms(2_300)));
    passed_on.on_gone("a");
    assert!(passed_on.is_news(&switched, ms(2_400)));
}

/// The pattern of a store that comes back with a list from which living servers are missing.
#[test]
fn followers_hear_of_a_server_that_was_missing_from_a_whole_list() {
    let ms = Duration::from_millis;
    let mut passed_on = PassedOn::default();
    assert!(passed_on.is_news(&holding("a1"), ms(0)));
    let other = Server { id: "b".into(), ..holding("a1") };
    passed_on.reset([&other].into_iter(), ms(1_000));
    assert!(!passed_on.is_news(&other, ms(1_100)));
    assert!(passed_on.is_news(&holding("a1"), ms(1_200)));
}
