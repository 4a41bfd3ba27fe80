//! Rows of leases and claims that another writer has overwritten: no write sticks, and no lease
//! that may be valid is taken over.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::time::Duration;

use guavaspread_fleet::{
    Claim, HostLease, LeaseAction, LeaseManager, LeaseTable, LeaseTimes, LeaseWrite,
};

const TIMES: LeaseTimes = LeaseTimes {
    lease_ttl: Duration::from_secs(12),
    renewal_interval: Duration::from_secs(5),
    takeover_delay: Duration::from_millis(3_300),
};
const OWN: &str = "host-0";
const OTHER: &str = "host-1";

fn manager() -> LeaseManager {
    let address = "10.0.0.1:80".parse().unwrap();
    let mut manager = LeaseManager::new(OWN.into(), address, "north".into(), TIMES);
    manager.set_engines([("i-1".into(), true)].into());
    manager
}

fn lease(holder: &str, until_ms: u64, revision: u64) -> HostLease {
    let address = "10.0.0.1:80".parse().unwrap();
    HostLease {
        holder: holder.into(),
        address,
        zone: "north".into(),
        link_mbps: 0,
        until_ms,
        revision,
        era: 0,
    }
}

fn claim(holder: &str, revision: u64) -> Claim {
    Claim { engine: "i-1".into(), holder: holder.into(), revision, era: 0, released_ms: None }
}

/// Runs a manager from `tables`, each the result of the first read from its time on; the store's
/// clock shows the same time. Returns the writes with their times, up to the first claim.
fn writes(tables: &[(u64, LeaseTable)], until_ms: u64) -> Vec<(u64, LeaseWrite)> {
    let mut manager = manager();
    let mut writes = Vec::new();
    let mut tables = tables.iter().peekable();
    let mut revision = 100;
    for at_ms in (10..until_ms).step_by(10) {
        let now = Duration::from_millis(at_ms);
        if let Some((_, table)) = tables.next_if(|(from_ms, _)| *from_ms <= at_ms) {
            let table = LeaseTable { store_time_ms: at_ms, ..table.clone() };
            manager.on_read(table, writes.is_empty(), now, now);
        }
        match manager.next_action(now) {
            LeaseAction::Read(_) => {
                let table = LeaseTable { store_time_ms: at_ms, revision, ..LeaseTable::default() };
                manager.on_read(table, false, now, now);
            }
            LeaseAction::Write(write) => {
                revision += 1;
                writes.push((at_ms, write.clone()));
                if !write.claims.is_empty() {
                    return writes;
                }
                manager.on_written(write, revision, at_ms, now, now);
            }
            LeaseAction::Wait(_) => {}
        }
    }
    writes
}

#[test]
fn an_own_lease_is_overwritten_at_the_revision_of_the_unreadable_row() {
    let table = LeaseTable { unreadable_hosts: vec![(OWN.into(), 7)], ..LeaseTable::default() };
    let writes = writes(&[(10, table)], 5_000);
    assert_eq!(writes[0].1.host.revision, 7);
    assert_eq!(writes.last().unwrap().1.claims, [claim(OWN, 0)]);
}

/// The other host may have renewed just before its row was overwritten.
#[test]
fn an_engine_is_not_claimed_while_the_lease_behind_an_unreadable_row_may_be_valid() {
    let known = LeaseTable {
        hosts: vec![lease(OTHER, 9_000, 5)],
        claims: vec![claim(OTHER, 6)],
        ..LeaseTable::default()
    };
    let overwritten =
        LeaseTable { unreadable_hosts: vec![(OTHER.into(), 8)], ..LeaseTable::default() };
    let writes = writes(&[(10, known), (8_000, overwritten)], 40_000);
    let (at_ms, write) = writes.last().unwrap();
    let earliest_ms = 8_000 + 12_000 + TIMES.takeover_delay.as_millis() as u64;
    assert!((earliest_ms..earliest_ms + 5_000).contains(at_ms), "claimed at {at_ms}");
    assert_eq!(write.revoked, [lease(OTHER, 0, 8)]);
}

#[test]
fn an_unreadable_claim_keeps_its_known_holder() {
    let known = LeaseTable {
        hosts: vec![lease(OTHER, 9_000, 5)],
        claims: vec![claim(OTHER, 6)],
        ..LeaseTable::default()
    };
    let overwritten =
        LeaseTable { unreadable_claims: vec![("i-1".into(), 8)], ..LeaseTable::default() };
    let writes = writes(&[(10, known), (2_000, overwritten)], 40_000);
    let (at_ms, write) = writes.last().unwrap();
    assert!(*at_ms >= 9_000 + TIMES.takeover_delay.as_millis() as u64, "claimed at {at_ms}");
    assert_eq!(write.claims, [claim(OWN, 8)]);
}

#[test]
fn an_unreadable_claim_of_an_unknown_holder_is_not_overwritten() {
    let table = LeaseTable { unreadable_claims: vec![("i-1".into(), 8)], ..LeaseTable::default() };
    let writes = writes(&[(10, table)], 60_000);
    assert!(writes.len() > 5);
    assert!(writes.iter().all(|(_, write)| write.claims.is_empty()), "{writes:?}");
}
