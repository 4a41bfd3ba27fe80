//! Leases of single hosts while the store comes back from older copies, or states a wrong era.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "common/lease_simulation.rs"]
mod lease_simulation;

use std::collections::BTreeMap;
use std::time::Duration;

use guavaspread_fleet::{HostLease, LeaseAction, LeaseManager};
use lease_simulation::{STORE_OFFSET_MS, TIMES, Table};

fn manager(name: &str, engines: &[&str]) -> LeaseManager {
    let address = "10.0.0.1:80".parse().unwrap();
    let mut manager = LeaseManager::new(name.into(), address, "north".into(), TIMES);
    manager.set_engines(engines.iter().map(|id| ((*id).into(), true)).collect());
    manager
}

/// Plays a host that knows `era`; the table's rows are the same in any era.
struct Host {
    manager: LeaseManager,
    era: u64,
    reads: usize,
    conflicts: usize,
}

impl Host {
    fn new(name: &str, era: u64) -> Self {
        let mut manager = manager(name, &["i-1", "i-2"]);
        manager.set_first_start(era == 1);
        Host { manager, era, reads: 0, conflicts: 0 }
    }

    /// Takes at most 50 actions at one moment, until the host waits.
    fn step(&mut self, table: &mut Table, now: Duration) {
        table.era = self.era;
        let store_time_ms = now.as_millis() as u64 + STORE_OFFSET_MS;
        for _ in 0..50 {
            match self.manager.next_action(now) {
                LeaseAction::Read(after) => {
                    self.reads += 1;
                    let read = table.read(after, store_time_ms);
                    self.manager.on_read(read, after.is_none(), now, now);
                }
                LeaseAction::Write(write) => match table.write(&write, true) {
                    Some(at) => {
                        self.manager.on_written(write, at, store_time_ms, now, now);
                    }
                    None => {
                        self.conflicts += 1;
                        self.manager.on_conflict();
                    }
                },
                LeaseAction::Wait(_) => return,
            }
        }
    }
}

fn play(hosts: &mut [Host], table: &mut Table, from_ms: u64, to_ms: u64) {
    for ms in (from_ms..to_ms).step_by(50) {
        for host in &mut *hosts {
            host.step(table, Duration::from_millis(ms));
        }
    }
}

/// One host was started after the header had been too high for a while, and knows a lower era.
#[test]
fn a_host_whose_era_start_was_removed_is_not_stuck() {
    let mut table = Table { revision: 100, ..Table::default() };
    let mut hosts = vec![Host::new("host-0", 1), Host::new("host-1", 1)];
    play(&mut hosts, &mut table, 50, 8_000);
    // The header is too high for a while; both hosts learn that.
    for host in &mut hosts {
        host.era = 101;
        host.manager.on_era(101, Duration::from_secs(8));
    }
    play(&mut hosts, &mut table, 8_000, 30_000);
    assert!(hosts.iter().all(|host| host.conflicts < 5));
    // One restarts, and knows the era of the now valid header.
    hosts[1] = Host::new("host-1", 1);
    play(&mut hosts, &mut table, 30_000, 90_000);
    let stuck = &hosts[0];
    assert!(stuck.conflicts < 20, "{} conflicts in 60 s", stuck.conflicts);
}

/// A peer had one response with a higher era and passed it on; this host's store states the valid
/// one.
#[test]
fn a_host_that_knows_a_later_era_than_its_store_does_not_read_in_a_loop() {
    let mut table = Table { revision: 100, ..Table::default() };
    let mut hosts = vec![Host::new("host-0", 1)];
    play(&mut hosts, &mut table, 50, 8_000);
    let reads = hosts[0].reads;
    hosts[0].manager.on_era(101, Duration::from_secs(8));
    play(&mut hosts, &mut table, 8_000, 9_000);
    let reads = hosts[0].reads - reads;
    assert!(reads <= 10, "{reads} reads of the whole table in 20 steps of a second");
}

#[test]
fn more_than_24_inherited_engines_are_claimed_again() {
    let names: Vec<String> = (0..70).map(|n| format!("i-{n:02}")).collect();
    let engines: BTreeMap<_, _> = names.iter().map(|id| (id.as_str().into(), true)).collect();
    let mut table = Table { revision: 100, ..Table::default() };
    let mut host = Host::new("host-0", 1);
    host.manager.set_engines(engines);
    let mut hosts = vec![host];
    play(&mut hosts, &mut table, 50, 12_000);
    assert_eq!(hosts[0].manager.owned_engines(Duration::from_millis(11_950)).len(), 70);
    let copy = Table { revision: 100, ..Table::default() };
    table = copy;
    hosts[0].era = 2;
    hosts[0].manager.on_era(2, Duration::from_secs(12));
    play(&mut hosts, &mut table, 12_000, 40_000);
    assert_eq!(table.claims.len(), 70);
    assert_eq!(hosts[0].manager.owned_engines(Duration::from_millis(39_950)).len(), 70);
}

/// The copy is from before the first lease. The owner is cut off from the store, and another host
/// starts.
#[test]
fn a_cut_off_owner_overlaps_with_a_host_that_starts_after_the_return_from_an_empty_copy() {
    let mut table = Table { revision: 100, ..Table::default() };
    let mut owner = vec![Host::new("host-0", 1)];
    play(&mut owner, &mut table, 50, 6_000);
    table = Table { revision: 100, ..Table::default() };
    let mut started = vec![Host::new("host-1", 2)];
    play(&mut started, &mut table, 6_000, 9_000);
    let mut overlap_ms = 0;
    for ms in (6_000..20_000).step_by(50) {
        let now = Duration::from_millis(ms);
        started[0].step(&mut table, now);
        let is_shared = owner[0].manager.fence("i-1", now).is_some()
            && started[0].manager.fence("i-1", now).is_some();
        overlap_ms += if is_shared { 50 } else { 0 };
    }
    assert_eq!(overlap_ms, 0, "ms in which both send commands");
}

/// The owner is frozen while another host waits for its lease to expire and claims its engines.
#[test]
fn a_host_frozen_over_a_return_tells_which_engines_it_lost() {
    let mut table = Table { revision: 100, ..Table::default() };
    let mut owner = vec![Host::new("host-0", 1)];
    play(&mut owner, &mut table, 50, 8_000);
    let now = Duration::from_secs(8);
    assert_eq!(owner[0].manager.owned_engines(now).len(), 2);
    table = Table { revision: 100, ..Table::default() };
    owner[0].era = 2;
    owner[0].manager.on_era(2, now);
    let mut other = vec![Host::new("host-1", 2)];
    play(&mut other, &mut table, 8_000, 60_000);
    play(&mut owner, &mut table, 60_000, 60_050);
    let lost = owner[0].manager.take_lost_engines();
    let lost: Vec<_> = lost.iter().map(|lost| (&*lost.engine, lost.owner.as_deref())).collect();
    assert_eq!(lost, [("i-1", Some("host-1")), ("i-2", Some("host-1"))]);
    assert_eq!(owner[0].manager.owned_engines(Duration::from_secs(60)), Vec::<_>::new());
    assert_eq!(owner[0].manager.take_lost_engines(), []);
}

/// One engine has no owner when the store comes back.
#[test]
fn hosts_read_the_table_seldom_while_an_engine_waits() {
    let mut table = Table { revision: 100, ..Table::default() };
    let mut hosts: Vec<Host> = (0..20).map(|n| Host::new(&format!("host-{n}"), 1)).collect();
    play(&mut hosts, &mut table, 50, 12_000);
    table.claims.remove("i-2");
    table.revision += 1;
    for host in &mut hosts {
        host.era = 2;
        host.reads = 0;
        host.manager.on_era(2, Duration::from_secs(12));
    }
    let owner = hosts.iter().position(|host| {
        host.manager.owned_engines(Duration::from_secs(12)).iter().any(|id| &**id == "i-2")
    });
    if let Some(owner) = owner {
        hosts.remove(owner);
    }
    play(&mut hosts, &mut table, 12_000, 32_000);
    let reads: usize = hosts.iter().map(|host| host.reads).sum();
    assert!(reads <= hosts.len() * 8, "{reads} reads by {} hosts in 20 s", hosts.len());
}

/// The copy holds a claim that can't be decoded, of an engine whose owner lives.
#[test]
fn an_owner_keeps_an_engine_whose_claim_the_copy_holds_in_an_odd_form() {
    let mut table = Table { revision: 100, ..Table::default() };
    let mut hosts = vec![Host::new("host-0", 1)];
    play(&mut hosts, &mut table, 50, 8_000);
    let now = Duration::from_secs(8);
    assert!(hosts[0].manager.fence("i-1", now).is_some());
    // Every host reads the whole table after a return.
    table.era = 2;
    let mut read = table.read(None, 8_000 + STORE_OFFSET_MS);
    let odd = read.claims.iter().position(|claim| &*claim.engine == "i-1").unwrap();
    let claim = read.claims.remove(odd);
    read.unreadable_claims.push((claim.engine, claim.revision));
    hosts[0].manager.on_read(read, true, now, now);
    assert!(hosts[0].manager.fence("i-1", now).is_some(), "the owner gives the engine up");
}

/// The copy is from before host-1 wrote its first lease.
#[test]
fn a_host_that_the_copy_lacks_counts_as_live_until_it_writes_its_lease_again() {
    let mut table = Table { revision: 100, ..Table::default() };
    let mut hosts = vec![Host::new("host-0", 1)];
    play(&mut hosts, &mut table, 50, 2_000);
    let copy = table.clone();
    hosts.push(Host::new("host-1", 1));
    play(&mut hosts, &mut table, 2_000, 6_000);
    hosts[0].manager.on_not_owner("host-1");
    play(&mut hosts, &mut table, 6_000, 8_000);
    table = copy;
    let now = Duration::from_secs(8);
    hosts[0].era = 2;
    hosts[0].manager.on_era(2, now);
    // Reads the table before host-1 has noticed the return.
    let store_time_ms = 8_000 + STORE_OFFSET_MS;
    table.era = 2;
    hosts[0].manager.on_read(table.read(None, store_time_ms), true, now, now);
    let live: Vec<&HostLease> = hosts[0].manager.live_hosts(now).collect();
    assert_eq!(live.len(), 2, "{live:?}");
    assert!(live.iter().any(|row| &*row.holder == "host-1" && row.revision == 0));
}

#[test]
fn an_owner_sends_commands_throughout_a_return() {
    let mut table = Table { revision: 100, ..Table::default() };
    let mut hosts = vec![Host::new("host-0", 1)];
    play(&mut hosts, &mut table, 50, 8_000);
    let copy = table.clone();
    play(&mut hosts, &mut table, 8_000, 9_000);
    table = copy;
    hosts[0].era = 2;
    hosts[0].manager.on_era(2, Duration::from_secs(9));
    let fence = hosts[0].manager.fence("i-1", Duration::from_secs(9));
    for ms in (9_000..30_000).step_by(50) {
        let now = Duration::from_millis(ms);
        assert!(hosts[0].manager.fence("i-1", now) >= fence, "at {ms} ms");
        hosts[0].step(&mut table, now);
    }
    // The engine was claimed again within a second.
    assert!(hosts[0].manager.fence("i-1", Duration::from_secs(30)) > fence);
    assert!(table.claims.values().all(|claim| claim.era == 2));
}

/// Another host claimed the engine in the new era, which the rules don't allow; the former owner
/// gives way.
#[test]
fn an_inherited_engine_that_another_host_claimed_is_given_up() {
    let mut table = Table { revision: 100, ..Table::default() };
    let mut hosts = vec![Host::new("host-0", 1)];
    play(&mut hosts, &mut table, 50, 8_000);
    let now = Duration::from_secs(8);
    hosts[0].manager.on_era(2, now);
    table.era = 2;
    let mut read = table.read(None, 8_000 + STORE_OFFSET_MS);
    for claim in read.claims.iter_mut().filter(|claim| &*claim.engine == "i-1") {
        (claim.holder, claim.era) = ("host-1".into(), 2);
    }
    hosts[0].manager.on_read(read, true, now, now);
    assert_eq!(hosts[0].manager.fence("i-1", now), None);
    assert!(hosts[0].manager.fence("i-2", now).is_some());
}
