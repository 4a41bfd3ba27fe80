//! Who reads the store for a zone, and when its news no longer count.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::time::Duration;

use guavaspread_fleet::{Hearsay, LeaseRow, watchers};

const LIMIT: Duration = Duration::from_millis(1_200);

fn row(engine: u32, host: u32, zone: &str) -> LeaseRow {
    LeaseRow {
        engine: format!("i-{engine}").into(),
        holder: format!("host-{host}").into(),
        address: format!("10.0.0.{host}:80").parse().unwrap(),
        zone: zone.into(),
        until_ms: 0,
        revision: 1,
    }
}

#[test]
fn a_large_zone_has_two_watchers_whatever_its_size() {
    for hosts in [5, 20, 100] {
        let rows: Vec<LeaseRow> = (0..hosts).map(|n| row(n, n, "north")).collect();
        assert_eq!(watchers("north", rows.iter()).len(), 2);
    }
}

#[test]
fn hosts_choose_alike_however_the_engines_are_held() {
    let rows: Vec<LeaseRow> = (0..30).map(|n| row(n, n % 10, "north")).collect();
    let other: Vec<LeaseRow> = (0..30).map(|n| row(n, 9 - n % 10, "north")).collect();
    assert_eq!(watchers("north", rows.iter()), watchers("north", other.iter()));
}

#[test]
fn small_zones_and_other_zones_have_none() {
    let rows: Vec<LeaseRow> = (0..4).map(|n| row(n, n, "north")).collect();
    assert!(watchers("north", rows.iter()).is_empty());
    let rows: Vec<LeaseRow> = (0..9).map(|n| row(n, n, "south")).collect();
    assert!(watchers("north", rows.iter()).is_empty());
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
