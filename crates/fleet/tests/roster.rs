//! The local copy of the platform's list of servers.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::server;
use guavaspread_fleet::{Roster, RosterChange, Server, ServerState};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn an_older_row_does_not_replace_a_newer_one() {
    let mut roster = Roster::default();
    roster.upsert(server("a"), 5);
    let draining = Server { state: ServerState::Draining { remaining: None }, ..server("a") };
    assert!(matches!(roster.upsert(draining, 8), Some(RosterChange::Draining(_))));
    assert_eq!(roster.upsert(server("a"), 6), None);
    assert!(!roster.get("a").unwrap().is_ready());
    assert_eq!(roster.remove("a", 7, ms(0)), None);
    assert!(roster.get("a").is_some());
}

#[test]
fn an_older_list_is_ignored() {
    let mut roster = Roster::default();
    roster.upsert(server("a"), 9);
    assert!(roster.replace(vec![(server("b"), 3)], 4, ms(0)).is_empty());
    assert!(roster.get("a").is_some() && roster.get("b").is_none());
}

#[test]
fn a_new_incarnation_is_reported_as_started() {
    let mut roster = Roster::default();
    roster.upsert(server("a"), 1);
    let newer = Server { born: 2, ..server("a") };
    assert!(matches!(roster.upsert(newer, 2), Some(RosterChange::Started(_))));
}

#[test]
fn a_removed_server_is_removed_at_once_while_the_store_is_available() {
    let mut roster = Roster::default();
    roster.upsert(server("a"), 1);
    assert!(matches!(roster.remove("a", 2, ms(5_000)), Some(RosterChange::Gone(_))));
}

#[test]
fn servers_missing_after_an_outage_are_kept_until_their_rows_should_reappear() {
    let mut roster = Roster::default();
    roster.upsert(server("a"), 1);
    roster.upsert(server("b"), 2);
    roster.on_away(ms(1_000));
    roster.on_back(ms(6_000));
    assert!(roster.replace(Vec::new(), 10, ms(6_000)).is_empty());
    roster.upsert(server("a"), 11);
    assert!(roster.expire(ms(7_800)).is_empty());
    let expired = roster.expire(ms(8_000));
    assert!(matches!(&expired[..], [RosterChange::Gone(gone)] if &*gone.id == "b"));
    assert!(roster.get("a").is_some());
}

#[test]
fn a_draining_server_is_not_kept_when_its_row_is_missing() {
    let mut roster = Roster::default();
    let draining = Server { state: ServerState::Draining { remaining: None }, ..server("a") };
    roster.upsert(draining, 1);
    roster.on_away(ms(1_000));
    roster.on_back(ms(6_000));
    assert!(matches!(roster.remove("a", 9, ms(6_100)), Some(RosterChange::Gone(_))));
}

#[test]
fn a_missing_server_is_not_kept_after_a_single_failed_read() {
    let mut roster = Roster::default();
    roster.upsert(server("a"), 1);
    roster.on_away(ms(1_000));
    roster.on_back(ms(1_300));
    assert!(matches!(roster.remove("a", 9, ms(1_400)), Some(RosterChange::Gone(_))));
}

/// A host that follows this one would keep such a server for good.
#[test]
fn a_kept_server_without_a_row_is_not_passed_on() {
    let mut roster = Roster::default();
    roster.upsert(server("a"), 1);
    roster.on_away(ms(0));
    roster.on_back(ms(1_000));
    assert_eq!(roster.remove("a", 2, ms(1_100)), None);
    assert!(roster.get("a").is_some());
    assert_eq!(roster.rows().count(), 0);
    roster.upsert(server("a"), 3);
    assert_eq!(roster.rows().count(), 1);
}
