//! Tests the load that an idle deployment puts on the platform's table.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::thread::sleep;
use std::time::Duration;

use guavaspread_scenario::{Fleet, FleetSpec, ZoneSpec, declare_sample};

/// The table serves about 2,000 reads a second, which 1,000 entry hosts share.
const READS_PER_ENTRY_HOST_SECOND_MAX: u64 = 2;
/// The table accepts several hundred writes a second; this limit allows 1,000 entry hosts 1,000
/// writes a second.
const COMMITS_PER_ENTRY_HOST_SECOND_MAX: u64 = 1;
const ENTRY_HOST_COUNT: u64 = 4;
const MEASURE_SECONDS: u64 = 10;

/// Guards against a control loop without a pause, in which two threads of a dispatcher wake each
/// other continuously.
#[test]
fn idle_entry_hosts_stay_within_their_share_of_table_calls() {
    let zones =
        vec![ZoneSpec { name: "sapporo", entry_hosts: ENTRY_HOST_COUNT as usize, engines: 2 }];
    let fleet = Fleet::start(&FleetSpec { zones, ..FleetSpec::default() }).unwrap();
    declare_sample(&fleet).unwrap();
    sleep(Duration::from_secs(2));
    let before = fleet.platform.stats();
    sleep(Duration::from_secs(MEASURE_SECONDS));
    let after = fleet.platform.stats();
    let (reads, commits) = (after.reads - before.reads, after.commits - before.commits);
    eprintln!(
        "{reads} reads, {commits} commits in {MEASURE_SECONDS} s by {ENTRY_HOST_COUNT} entry hosts"
    );
    assert!(
        reads <= READS_PER_ENTRY_HOST_SECOND_MAX * ENTRY_HOST_COUNT * MEASURE_SECONDS,
        "{reads} reads"
    );
    assert!(
        commits <= COMMITS_PER_ENTRY_HOST_SECOND_MAX * ENTRY_HOST_COUNT * MEASURE_SECONDS,
        "{commits} commits"
    );
}
