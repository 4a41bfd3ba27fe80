//! The local copy of the platform's server list.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::server;
use guavaspread_fleet::{Server, ServerChange, ServerList, ServerState};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn an_older_row_does_not_replace_a_newer_one() {
    let mut server_list = ServerList::default();
    server_list.upsert(server("a"), 5);
    let draining = Server { state: ServerState::Draining { remaining: None }, ..server("a") };
    assert!(matches!(server_list.upsert(draining, 8), Some(ServerChange::Draining(_))));
    assert_eq!(server_list.upsert(server("a"), 6), None);
    assert!(!server_list.get("a").unwrap().is_ready());
    assert_eq!(server_list.remove("a", 7, ms(0)), None);
    assert!(server_list.get("a").is_some());
}

#[test]
fn an_older_list_is_ignored() {
    let mut server_list = ServerList::default();
    server_list.upsert(server("a"), 9);
    assert!(server_list.replace_all(vec![(server("b"), 3)], 4, ms(0)).is_empty());
    assert!(server_list.get("a").is_some() && server_list.get("b").is_none());
}

#[test]
fn a_new_incarnation_is_reported_as_started() {
    let mut server_list = ServerList::default();
    server_list.upsert(server("a"), 1);
    let newer = Server { started_at_ms: 2, ..server("a") };
    assert!(matches!(server_list.upsert(newer, 2), Some(ServerChange::Started(_))));
}

#[test]
fn a_removed_server_is_removed_at_once_while_the_store_is_available() {
    let mut server_list = ServerList::default();
    server_list.upsert(server("a"), 1);
    assert!(matches!(server_list.remove("a", 2, ms(5_000)), Some(ServerChange::Removed(_))));
}

#[test]
fn servers_missing_after_an_outage_are_kept_until_their_rows_should_reappear() {
    let mut server_list = ServerList::default();
    server_list.upsert(server("a"), 1);
    server_list.upsert(server("b"), 2);
    server_list.on_store_unavailable(ms(1_000));
    server_list.on_store_read(ms(6_000));
    assert!(server_list.replace_all(Vec::new(), 10, ms(6_000)).is_empty());
    server_list.upsert(server("a"), 11);
    assert!(server_list.remove_missing(ms(7_800)).is_empty());
    let expired = server_list.remove_missing(ms(8_000));
    assert!(matches!(&expired[..], [ServerChange::Removed(removed)] if &*removed.id == "b"));
    assert!(server_list.get("a").is_some());
}

#[test]
fn a_draining_server_is_not_kept_when_its_row_is_missing() {
    let mut server_list = ServerList::default();
    let draining = Server { state: ServerState::Draining { remaining: None }, ..server("a") };
    server_list.upsert(draining, 1);
    server_list.on_store_unavailable(ms(1_000));
    server_list.on_store_read(ms(6_000));
    assert!(matches!(server_list.remove("a", 9, ms(6_100)), Some(ServerChange::Removed(_))));
}

#[test]
fn a_missing_server_is_not_kept_after_a_single_failed_read() {
    let mut server_list = ServerList::default();
    server_list.upsert(server("a"), 1);
    server_list.on_store_unavailable(ms(1_000));
    server_list.on_store_read(ms(1_300));
    assert!(matches!(server_list.remove("a", 9, ms(1_400)), Some(ServerChange::Removed(_))));
}

/// A host that follows this one would keep such a server for good.
#[test]
fn a_kept_server_without_a_row_is_not_relayed() {
    let mut server_list = ServerList::default();
    server_list.upsert(server("a"), 1);
    server_list.on_store_unavailable(ms(0));
    server_list.on_store_read(ms(1_000));
    assert_eq!(server_list.remove("a", 2, ms(1_100)), None);
    assert!(server_list.get("a").is_some());
    assert_eq!(server_list.rows().count(), 0);
    server_list.upsert(server("a"), 3);
    assert_eq!(server_list.rows().count(), 1);
}
