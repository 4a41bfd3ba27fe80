//! Engines that their owner does not reach and releases while it keeps its lease.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "common/lease_simulation.rs"]
mod lease_simulation;

use std::sync::Arc;
use std::time::Duration;

use guavaspread_fleet::{LeaseAction, LeaseManager};
use lease_simulation::{STORE_OFFSET_MS, TIMES, Table};
use test_case::test_case;

const STEP: Duration = Duration::from_millis(10);
const ENGINES: usize = 2;
/// When the hosts have divided the engines.
const SETTLED_AT: Duration = Duration::from_secs(4);

/// Hosts that share a table, each of which reaches all engines or none.
struct Hosts {
    table: Table,
    managers: Vec<LeaseManager>,
    reaches: Vec<bool>,
    /// Whether each host's build knows of releases. One that does not ignores them in the rows that
    /// it reads, and releases nothing.
    knows_releases: Vec<bool>,
    writes: usize,
    now: Duration,
}

impl Hosts {
    /// Starts hosts, the last of them in another zone than the engines and the others.
    fn start(count: usize, has_other_zone: bool) -> Self {
        let manager = |number: usize| {
            let is_other = has_other_zone && number + 1 == count;
            let zone = if is_other { "south" } else { "north" };
            let (holder, address) = (format!("host-{number}").into(), "10.0.0.1:80".parse());
            let mut manager = LeaseManager::new(holder, address.unwrap(), zone.into(), TIMES);
            let engine = |n| (Arc::from(format!("i-{n}")), !is_other);
            manager.set_engines((0..ENGINES).map(engine).collect());
            manager
        };
        let (managers, reaches) = ((0..count).map(manager).collect(), vec![true; count]);
        let table = Table::default();
        let knows_releases = vec![true; count];
        let (writes, now) = (0, Duration::ZERO);
        let mut hosts = Hosts { table, managers, reaches, knows_releases, writes, now };
        hosts.run_until(SETTLED_AT);
        hosts
    }

    fn run_until(&mut self, until: Duration) {
        while self.now < until {
            self.now += STEP;
            let now = self.now;
            let builds = self.reaches.iter().copied().zip(self.knows_releases.iter().copied());
            let builds: Vec<(bool, bool)> = builds.collect();
            let store_time_ms = now.as_millis() as u64 + STORE_OFFSET_MS;
            for (manager, (reaches, knows_releases)) in self.managers.iter_mut().zip(builds) {
                for engine in manager.engines_to_probe(now) {
                    if reaches {
                        manager.on_engine_reached(&engine, now);
                    }
                }
                match manager.next_action(now) {
                    LeaseAction::Read(after) => {
                        let mut read = self.table.read(after, store_time_ms);
                        if !knows_releases {
                            read.claims.iter_mut().for_each(|claim| claim.released_ms = None);
                        }
                        manager.on_read(read, after.is_none(), now, now);
                    }
                    LeaseAction::Write(write) => {
                        self.writes += usize::from(!write.is_renewal());
                        match self.table.write(&write, true) {
                            Some(revision) => {
                                manager.on_written(write, revision, store_time_ms, now, now);
                            }
                            None => manager.on_conflict(),
                        }
                    }
                    LeaseAction::Wait(_) => {}
                }
            }
        }
    }

    fn owner(&self, engine: &str) -> Option<usize> {
        let is_owner = |manager: &LeaseManager| manager.fence(engine, self.now).is_some();
        self.managers.iter().position(is_owner)
    }

    /// Cuts a host off from all engines and releases those that it owns.
    fn release_all(&mut self, host: usize, last_command_at: Duration) -> Vec<Arc<str>> {
        self.reaches[host] = false;
        let now = self.now;
        let owned = self.managers[host].owned_engines(now);
        for engine in &owned {
            assert!(self.managers[host].release_engine(engine, last_command_at, now));
            assert_eq!(self.managers[host].fence(engine, now), None);
        }
        owned
    }

    /// Lets the hosts notice the release, as by requests for adapters.
    fn notice(&mut self, releaser: usize) {
        self.run_until(self.now + STEP * 2);
        let holder = format!("host-{releaser}");
        self.managers.iter_mut().for_each(|manager| manager.on_not_owner(&holder));
    }
}

/// The takeover delay counts from the last command, not from the release.
#[test_case(0, false, 3_600..=4_700; "just after a command")]
#[test_case(1_500, false, 2_100..=3_200; "after a silence")]
#[test_case(0, true, 3_600..=5_400; "by a host of another zone")]
fn another_host_claims_a_released_engine(
    silence_ms: u64,
    is_other_zone: bool,
    expected_ms: std::ops::RangeInclusive<u64>,
) {
    let mut hosts = Hosts::start(2, is_other_zone);
    let releaser = hosts.owner("i-0").unwrap();
    let released_at = hosts.now;
    let last_command_at = released_at - Duration::from_millis(silence_ms);
    hosts.release_all(releaser, last_command_at);
    hosts.notice(releaser);
    while hosts.owner("i-0").is_none() {
        hosts.run_until(hosts.now + STEP);
    }
    assert_eq!(hosts.owner("i-0"), Some(1 - releaser));
    let took_ms = (hosts.now - released_at).as_millis() as u64;
    assert!(expected_ms.contains(&took_ms), "claimed after {took_ms} ms");
    // The last owner keeps its lease, and learns of the new owner by its reads of the table.
    hosts.run_until(hosts.now + Duration::from_millis(1_200));
    let owner = hosts.managers[releaser].owner_of("i-0").map(|(owner, _)| owner.clone());
    assert_eq!(owner, Some(format!("host-{}", 1 - releaser).into()));
    hosts.reaches[releaser] = true;
    hosts.run_until(hosts.now + Duration::from_secs(20));
    assert_eq!(hosts.owner("i-0"), Some(1 - releaser));
}

/// Guards against an engine that passes from host to host while it responds to nobody.
#[test]
fn an_engine_that_no_host_reaches_stays_without_an_owner_and_returns_to_the_last_one() {
    let mut hosts = Hosts::start(3, false);
    let releaser = hosts.owner("i-0").unwrap();
    hosts.reaches = vec![false; 3];
    let released = hosts.release_all(releaser, hosts.now);
    hosts.notice(releaser);
    let writes = hosts.writes;
    hosts.run_until(hosts.now + Duration::from_secs(30));
    assert_eq!(hosts.owner("i-0"), None);
    assert_eq!(hosts.writes, writes, "claims were written");
    hosts.reaches[releaser] = true;
    hosts.run_until(hosts.now + Duration::from_secs(1));
    for engine in released {
        assert_eq!(hosts.owner(&engine), Some(releaser));
    }
}

/// The last owner need not wait for the takeover delay.
#[test]
fn an_owner_that_reaches_the_engine_again_claims_it_at_once() {
    let mut hosts = Hosts::start(2, false);
    let releaser = hosts.owner("i-0").unwrap();
    hosts.release_all(releaser, hosts.now);
    hosts.notice(releaser);
    hosts.run_until(hosts.now + Duration::from_secs(1));
    assert_eq!(hosts.owner("i-0"), None);
    hosts.reaches[releaser] = true;
    hosts.run_until(hosts.now + Duration::from_millis(600));
    assert_eq!(hosts.owner("i-0"), Some(releaser));
}

/// A restarted process must not claim at once what the one before did not reach.
#[test]
fn a_restarted_process_claims_a_released_engine_only_if_it_reaches_it() {
    let mut hosts = Hosts::start(1, false);
    let released = hosts.release_all(0, hosts.now);
    assert_eq!(released.len(), ENGINES);
    hosts.run_until(hosts.now + Duration::from_secs(1));
    let table = hosts.table.clone();
    let mut restarted = Hosts::start(1, false);
    restarted.table = table;
    restarted.managers = vec![LeaseManager::new(
        "host-0".into(),
        "10.0.0.1:80".parse().unwrap(),
        "north".into(),
        TIMES,
    )];
    let engines = (0..ENGINES).map(|n| (Arc::from(format!("i-{n}")), true)).collect();
    restarted.managers[0].set_engines(engines);
    restarted.reaches = vec![false];
    restarted.run_until(restarted.now + Duration::from_secs(10));
    assert_eq!(restarted.owner("i-0"), None);
    restarted.reaches = vec![true];
    restarted.run_until(restarted.now + Duration::from_secs(1));
    assert_eq!(restarted.owner("i-0"), Some(0));
}

#[test]
fn callers_learn_when_another_host_may_load_the_adapter() {
    let mut hosts = Hosts::start(2, false);
    let releaser = hosts.owner("i-0").unwrap();
    assert_eq!(hosts.managers[1 - releaser].load_wait("i-0", hosts.now), None);
    hosts.release_all(releaser, hosts.now);
    hosts.notice(releaser);
    hosts.run_until(hosts.now + Duration::from_millis(300));
    for manager in &hosts.managers {
        let wait = manager.load_wait("i-0", hosts.now).unwrap();
        assert!((3_500..4_200).contains(&wait.as_millis()), "{wait:?}");
    }
    assert_eq!(hosts.managers[1 - releaser].owner_of("i-0"), None);
}

/// How long a releaser and hosts of an earlier build run beside each other.
const MIXED_TIME: Duration = Duration::from_secs(40);

/// The last host is of a build that knows no releases; the releaser goes on, stops for good, or
/// starts again as that build.
#[test_case(false, false; "the releaser goes on")]
#[test_case(true, false; "the releaser stops")]
#[test_case(true, true; "the releaser starts again as an earlier build")]
fn a_build_that_knows_no_releases_leaves_one_owner(stops: bool, restarts: bool) {
    let mut hosts = Hosts::start(3, false);
    let releaser = hosts.owner("i-0").unwrap();
    let earlier = (releaser + 1) % 3;
    hosts.knows_releases[earlier] = false;
    hosts.release_all(releaser, hosts.now);
    hosts.notice(releaser);
    if stops {
        let (name, address) = (format!("host-{releaser}").into(), "10.0.0.1:80".parse());
        let mut manager = LeaseManager::new(name, address.unwrap(), "north".into(), TIMES);
        if restarts {
            manager.set_engines((0..ENGINES).map(|n| (format!("i-{n}").into(), true)).collect());
        } else {
            // Without engines the host claims nothing.
            manager.set_engines(Default::default());
        }
        hosts.managers[releaser] = manager;
        hosts.knows_releases[releaser] = false;
    }
    let until = hosts.now + MIXED_TIME;
    while hosts.now < until {
        hosts.run_until(hosts.now + STEP);
        for engine in ["i-0", "i-1"] {
            let is_owner = |manager: &&LeaseManager| manager.fence(engine, hosts.now).is_some();
            let owners = hosts.managers.iter().filter(is_owner).count();
            assert!(owners <= 1, "{owners} owners of {engine} at {:?}", hosts.now);
        }
    }
    assert!(hosts.owner("i-0").is_some(), "the engine has no owner");
}
