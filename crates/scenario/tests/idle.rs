//! What an idle deployment costs the platform.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::thread::sleep;
use std::time::Duration;

use guavaspread_scenario::{Fleet, FleetSpec, ZoneSpec, declare};

/// The table takes about 2,000 reads a second, which 1,000 nodes share.
const READS_PER_NODE_S: u64 = 2;
/// It takes several hundred writes a second; no more than one in 1,000 nodes' share of 1,000.
const COMMITS_PER_NODE_S: u64 = 1;
const NODES: u64 = 4;
const SECONDS: u64 = 10;

/// A dispatcher once stepped its control loop without a pause: two threads kept each other busy.
#[test]
fn idle_nodes_leave_the_table_alone() {
    let zones = vec![ZoneSpec { name: "sapporo", entry_hosts: NODES as usize, engines: 2 }];
    let fleet = Fleet::start(&FleetSpec { zones, ..FleetSpec::default() }).unwrap();
    declare(&fleet).unwrap();
    sleep(Duration::from_secs(2));
    let before = fleet.platform.stats();
    sleep(Duration::from_secs(SECONDS));
    let after = fleet.platform.stats();
    let (reads, commits) = (after.reads - before.reads, after.commits - before.commits);
    eprintln!("{reads} reads, {commits} commits in {SECONDS} s by {NODES} nodes");
    assert!(reads <= READS_PER_NODE_S * NODES * SECONDS, "{reads} reads");
    assert!(commits <= COMMITS_PER_NODE_S * NODES * SECONDS, "{commits} commits");
}
