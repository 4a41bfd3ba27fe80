//! Tests the load that an idle deployment puts on the platform's table.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::thread::sleep;
use std::time::Duration;

use guavaspread_scenario::{Fleet, FleetSpec, ZoneSpec, declare_sample};

/// The table serves about 2,000 reads a second, shared by 1,000 nodes.
const READS_PER_NODE_SECOND_MAX: u64 = 2;
/// The table accepts several hundred writes a second; this limit allows 1,000 nodes 1,000 writes a
/// second.
const COMMITS_PER_NODE_SECOND_MAX: u64 = 1;
const NODE_COUNT: u64 = 4;
const MEASURE_SECONDS: u64 = 10;

/// Guards against a control loop without a pause, in which two threads of a dispatcher wake each
/// other continuously.
#[test]
fn idle_nodes_stay_within_their_share_of_table_calls() {
    let zones = vec![ZoneSpec { name: "sapporo", entry_hosts: NODE_COUNT as usize, engines: 2 }];
    let fleet = Fleet::start(&FleetSpec { zones, ..FleetSpec::default() }).unwrap();
    declare_sample(&fleet).unwrap();
    sleep(Duration::from_secs(2));
    let before = fleet.platform.stats();
    sleep(Duration::from_secs(MEASURE_SECONDS));
    let after = fleet.platform.stats();
    let (reads, commits) = (after.reads - before.reads, after.commits - before.commits);
    eprintln!("{reads} reads, {commits} commits in {MEASURE_SECONDS} s by {NODE_COUNT} nodes");
    assert!(reads <= READS_PER_NODE_SECOND_MAX * NODE_COUNT * MEASURE_SECONDS, "{reads} reads");
    assert!(
        commits <= COMMITS_PER_NODE_SECOND_MAX * NODE_COUNT * MEASURE_SECONDS,
        "{commits} commits"
    );
}
