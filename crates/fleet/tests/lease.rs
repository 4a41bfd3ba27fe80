//! At most one entry host sends commands to an engine, despite partitions, process pauses, lost
//! responses and delayed writes.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "common/lease_simulation.rs"]
mod lease_simulation;

use std::time::Duration;

use guavaspread_fleet::{
    Claim, EraCondition, HostLease, LeaseAction, LeaseManager, LeaseTable, LeaseTimes, LeaseWrite,
};
use lease_simulation::{
    EngineRelease, RULES, Release, Rules, STORE_OFFSET_MS, TIMES, Table, find_violation, simulate,
};
use test_case::test_case;

#[test]
fn at_most_one_owner_in_ten_thousand_interleavings() {
    for seed in 0..10_000 {
        if let Some(error) = find_violation(&simulate(seed, RULES)) {
            panic!("seed {seed}: {error}");
        }
    }
}

const DELEGATE_RULES: Rules = Rules { has_delegate: true, ..RULES };

/// The delegate may stall with pending renewals, write them late or lose the response.
#[test]
fn at_most_one_owner_in_ten_thousand_interleavings_with_a_delegate() {
    for seed in 0..10_000 {
        if let Some(error) = find_violation(&simulate(seed, DELEGATE_RULES)) {
            panic!("seed {seed}: {error}");
        }
    }
}

/// Hosts end their leases when they stop; the write may be late.
#[test_case(RULES; "hosts that renew themselves")]
#[test_case(DELEGATE_RULES; "with a delegate")]
fn at_most_one_owner_in_ten_thousand_interleavings_with_releases(rules: Rules) {
    for seed in 0..10_000 {
        let rules = Rules { release: Release::AtStops, ..rules };
        if let Some(error) = find_violation(&simulate(seed, rules)) {
            panic!("seed {seed}: {error}");
        }
    }
}

const RESTORE_RULES: Rules = Rules { restores_one_in: 400, ..RULES };

/// Hosts release the engine and keep their leases; the write may be late, or lost with its response.
#[test_case(RULES; "hosts that renew themselves")]
#[test_case(DELEGATE_RULES; "with a delegate")]
#[test_case(RESTORE_RULES; "a store that comes back from older copies")]
#[test_case(Rules { release: Release::AtStops, ..RULES }; "hosts that stop")]
fn at_most_one_owner_in_ten_thousand_interleavings_with_released_engines(rules: Rules) {
    for seed in 0..10_000 {
        let rules = Rules { engine_release: EngineRelease::AfterLastCommand, ..rules };
        if let Some(error) = find_violation(&simulate(seed, rules)) {
            panic!("seed {seed}: {error}");
        }
    }
}

#[test]
fn a_release_of_an_engine_without_its_last_command_breaks_exclusive_ownership() {
    let rules = Rules { engine_release: EngineRelease::AsLongAgo, ..RULES };
    assert!((0..2_000).any(|seed| find_violation(&simulate(seed, rules)).is_some()));
}

#[test]
fn a_release_without_the_takeover_delay_breaks_exclusive_ownership() {
    let rules = Rules { release: Release::AsRevoked, ..RULES };
    assert!((0..2_000).any(|seed| find_violation(&simulate(seed, rules)).is_some()));
}

#[test]
fn a_delegate_without_row_conditions_breaks_exclusive_ownership() {
    let rules = Rules { keeps_conditions: false, ..DELEGATE_RULES };
    let violations =
        (0..2_000).filter(|seed| find_violation(&simulate(*seed, rules)).is_some()).count();
    assert!(violations > 0);
}

#[test]
fn a_delegate_without_lease_revocation_breaks_exclusive_ownership() {
    let rules = Rules { revokes: false, ..DELEGATE_RULES };
    assert!((0..2_000).any(|seed| find_violation(&simulate(seed, rules)).is_some()));
}

#[test]
fn engines_are_owned_most_of_the_time_with_a_delegate() {
    let ticks: usize = (0..200).map(|seed| simulate(seed, DELEGATE_RULES).len()).sum();
    assert!(ticks > 200 * 1_600 / 2, "owned in {ticks} of {} ticks", 200 * 1_600);
}

#[test]
fn a_missing_takeover_delay_breaks_exclusive_ownership() {
    let times = LeaseTimes { takeover_delay: Duration::ZERO, ..TIMES };
    let rules = Rules { times, ..RULES };
    assert!((0..500).any(|seed| find_violation(&simulate(seed, rules)).is_some()));
}

#[test]
fn a_missing_lease_revocation_breaks_exclusive_ownership() {
    assert!(
        (0..2_000).any(
            |seed| find_violation(&simulate(seed, Rules { revokes: false, ..RULES })).is_some()
        )
    );
}

#[test]
fn engines_are_owned_most_of_the_time() {
    let ticks: usize = (0..200).map(|seed| simulate(seed, RULES).len()).sum();
    assert!(ticks > 200 * 1_600 / 2, "owned in {ticks} of {} ticks", 200 * 1_600);
}

fn host(number: usize, until_ms: u64, revision: u64) -> HostLease {
    HostLease {
        holder: format!("host-{number}").into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "north".into(),
        link_mbps: 0,
        until_ms,
        revision,
        era: 0,
    }
}

fn manager_of(number: usize, engines: usize) -> LeaseManager {
    let HostLease { holder, address, zone, .. } = host(number, 0, 0);
    let mut manager = LeaseManager::new(holder, address, zone, TIMES);
    manager.set_engines((0..engines).map(|n| (format!("i-{n}").into(), true)).collect());
    manager
}

/// The lease of the silent owner is valid for another 7 s, and the takeover delay is 3.3 s.
#[test_case(0, Some(1_000); "it may start again")]
#[test_case(2_999, Some(1_000); "it may still start again")]
#[test_case(3_000, Some(7_800); "its lease has to expire")]
#[test_case(10_300, Some(500); "others claim its engine")]
fn a_silent_owner_delays_loads_until_its_engines_may_be_claimed(ms: u64, wait_ms: Option<u64>) {
    let mut manager = manager_of(1, 1);
    let claim = Claim {
        engine: "i-0".into(),
        holder: "host-0".into(),
        revision: 7,
        era: 0,
        released_ms: None,
    };
    let hosts = vec![host(0, STORE_OFFSET_MS + 7_000, 6)];
    let (claims, store_time_ms) = (vec![claim], STORE_OFFSET_MS);
    let table = LeaseTable { hosts, claims, revision: 9, store_time_ms, ..LeaseTable::default() };
    manager.on_read(table, true, Duration::ZERO, Duration::ZERO);
    let (holder, at) = ("host-0".into(), Duration::from_millis(ms));
    assert_eq!(manager.load_wait("i-0", at), None);
    manager.on_peer_silent(&holder, Duration::ZERO);
    assert_eq!(manager.load_wait("i-0", at), wait_ms.map(Duration::from_millis));
    manager.on_peer_silent(&holder, at);
    let is_lost = matches!(manager.next_action(at), LeaseAction::Read(Some(9)));
    assert_eq!(is_lost, ms >= 3_000, "the table is read once the owner counts as lost");
    manager.on_not_owner(&holder);
    assert_eq!(manager.load_wait("i-0", at), None);
}

#[test]
fn a_restarted_process_reclaims_its_engines_at_once() {
    let claim = Claim {
        engine: "i-0".into(),
        holder: "host-0".into(),
        revision: 7,
        era: 0,
        released_ms: None,
    };
    let hosts = vec![host(0, STORE_OFFSET_MS + 60_000, 9)];
    let store_time_ms = STORE_OFFSET_MS;
    let table = LeaseTable {
        hosts,
        claims: vec![claim.clone()],
        revision: 9,
        store_time_ms,
        ..LeaseTable::default()
    };
    let mut manager = manager_of(0, 1);
    let now = Duration::from_millis(100);
    assert_eq!(manager.next_action(now), LeaseAction::Read(None));
    manager.on_read(table, true, now, now);
    let LeaseAction::Write(write) = manager.next_action(now) else {
        panic!("{:?}", manager.next_action(now))
    };
    assert_eq!((write.host.revision, write.claims), (9, vec![claim]));
    assert_eq!((write.revoked, write.already_revoked), (vec![], vec![]));
}

/// Guards against a renewal that the store executes long after it was sent: it must not revive
/// the lease of a previous owner.
#[test]
fn a_claim_revokes_the_lease_of_the_previous_owner() {
    let claim = Claim {
        engine: "i-0".into(),
        holder: "host-1".into(),
        revision: 7,
        era: 0,
        released_ms: None,
    };
    let expired = host(1, STORE_OFFSET_MS, 8);
    let store_time_ms = STORE_OFFSET_MS + 20_000;
    let mut table = Table { revision: 8, ..Table::default() };
    table.hosts.insert("host-1".into(), expired);
    table.claims.insert("i-0".into(), claim);
    let renewal = LeaseWrite {
        era: 0,
        era_condition: EraCondition::Unmarked,
        host: host(1, store_time_ms + 12_000, 8),
        claims: vec![],
        revoked: vec![],
        already_revoked: vec![],
        renewed: vec![],
    };
    let mut manager = manager_of(0, 1);
    let claimed = (1..100).any(|tick| {
        let now = Duration::from_millis(50) * tick;
        let store_time_ms = store_time_ms + now.as_millis() as u64;
        match manager.next_action(now) {
            LeaseAction::Read(after) => {
                manager.on_read(table.read(after, store_time_ms), after.is_none(), now, now);
            }
            LeaseAction::Write(write) => {
                let revoked = !write.revoked.is_empty();
                let revision = table.write(&write, true).unwrap();
                manager.on_written(write, revision, store_time_ms, now, now);
                return revoked;
            }
            LeaseAction::Wait(_) => {}
        }
        false
    });
    assert!(claimed && manager.owned_engines(Duration::from_secs(1)).len() == 1);
    assert_eq!(table.write(&renewal, true), None);
}

/// Starts `hosts` at nearly the same time. Returns the numbers of reads, rows read, writes and
/// conflicts at the store, and the number of engines that each host owns at the end.
fn cold_start(hosts: usize, engines: usize) -> ([usize; 4], Vec<usize>) {
    let mut table = Table::default();
    let mut managers: Vec<LeaseManager> = (0..hosts).map(|n| manager_of(n, engines)).collect();
    let [mut reads, mut rows, mut writes, mut conflicts] = [0; 4];
    for tick in 1..600u32 {
        let now = Duration::from_millis(10) * tick;
        let store_time_ms = now.as_millis() as u64 + STORE_OFFSET_MS;
        // All hosts start within 0.3 s. A write is based on a read at least one step ago.
        let running = managers.iter_mut().enumerate().filter(|(n, _)| tick as usize > n % 30);
        let steps: Vec<(usize, LeaseAction)> =
            running.map(|(n, manager)| (n, manager.next_action(now))).collect();
        for (n, next) in steps {
            match next {
                LeaseAction::Read(after) => {
                    let read = table.read(after, store_time_ms);
                    reads += 1;
                    rows += read.hosts.len() + read.claims.len();
                    managers[n].on_read(read, after.is_none(), now, now);
                }
                LeaseAction::Write(write) => {
                    writes += 1;
                    match table.write(&write, true) {
                        Some(revision) => {
                            managers[n].on_written(write, revision, store_time_ms, now, now);
                        }
                        None => {
                            conflicts += 1;
                            managers[n].on_conflict();
                        }
                    }
                }
                LeaseAction::Wait(_) => {}
            }
        }
    }
    let now = Duration::from_secs(6);
    (
        [reads, rows, writes, conflicts],
        managers.iter().map(|manager| manager.owned_engines(now).len()).collect(),
    )
}

/// The numbers of hosts and engines of one zone, as on the users' sites and larger.
#[test_case(3, 3)]
#[test_case(15, 22; "grown site")]
#[test_case(75, 750; "three hundred hosts in four zones")]
fn hosts_that_start_together_divide_the_engines_evenly(hosts: usize, engines: usize) {
    let ([reads, rows, writes, conflicts], owned) = cold_start(hosts, engines);
    assert_eq!(owned.iter().sum::<usize>(), engines, "{owned:?}");
    let share = engines.div_ceil(hosts);
    assert!(owned.iter().all(|count| *count <= share * 2), "{owned:?}");
    // A host reads each row about once, plus some changed renewals and claims.
    assert!(rows <= hosts * (engines + hosts * 4), "{rows} rows in {reads} reads");
    assert!(conflicts * 10 <= writes, "{conflicts} of {writes} writes failed with a conflict");
}

/// Starts 15 hosts and returns the number of reads of the table in a minute without failures.
/// With `respond`, the hosts regularly respond to each other.
fn idle_reads(respond: bool) -> usize {
    let mut table = Table::default();
    let mut managers: Vec<LeaseManager> = (0..15).map(|n| manager_of(n, 22)).collect();
    let mut reads = 0;
    for tick in 1..1_400u32 {
        let now = Duration::from_millis(50) * tick;
        let store_time_ms = now.as_millis() as u64 + STORE_OFFSET_MS;
        for (n, manager) in managers.iter_mut().enumerate() {
            if respond && tick.is_multiple_of(60) {
                let others = (0..15).filter(|other| *other != n);
                others.for_each(|other| manager.on_peer_response(&host(other, 0, 0).holder, now));
            }
            match manager.next_action(now) {
                LeaseAction::Read(after) => {
                    reads += usize::from(tick >= 200);
                    manager.on_read(table.read(after, store_time_ms), after.is_none(), now, now);
                }
                LeaseAction::Write(write) => match table.write(&write, true) {
                    Some(revision) => manager.on_written(write, revision, store_time_ms, now, now),
                    None => manager.on_conflict(),
                },
                LeaseAction::Wait(_) => {}
            }
        }
    }
    reads
}

/// Without failures, every read of the table is unnecessary load on the store.
#[test]
fn hosts_that_respond_to_each_other_do_not_read_the_table() {
    assert!(idle_reads(false) > 15 * 3);
    assert_eq!(idle_reads(true), 0);
}

/// Guards against a retry storm: immediate retries would keep an overloaded store overloaded.
#[test]
fn failed_writes_are_retried_with_backoff_and_jitter() {
    let pauses = |number: usize| {
        let mut manager = manager_of(number, 1);
        let mut now = Duration::from_millis(100);
        let mut written = Vec::new();
        while written.len() < 6 {
            match manager.next_action(now) {
                LeaseAction::Read(_) => manager.on_read(LeaseTable::default(), true, now, now),
                LeaseAction::Write(_) => {
                    written.push(now);
                    manager.on_write_failed(now);
                }
                LeaseAction::Wait(at) => now = at,
            }
        }
        written.windows(2).map(|pair| pair[1] - pair[0]).collect::<Vec<_>>()
    };
    let first = pauses(0);
    assert!(first.is_sorted() && first[4] > first[0] * 4, "{first:?}");
    assert!(first[4] <= Duration::from_secs(3), "the lease would expire: {first:?}");
    assert_ne!(first[4], pauses(1)[4]);
}

#[test]
fn an_engine_of_an_owner_with_an_unknown_lease_is_not_claimed() {
    let claims = vec![Claim {
        engine: "i-0".into(),
        holder: "host-1".into(),
        revision: 7,
        era: 0,
        released_ms: None,
    }];
    let table = LeaseTable {
        claims,
        revision: 8,
        store_time_ms: STORE_OFFSET_MS,
        hosts: vec![],
        ..LeaseTable::default()
    };
    let mut manager = manager_of(0, 1);
    for tick in 1..1_000u32 {
        let now = Duration::from_millis(50) * tick;
        match manager.next_action(now) {
            LeaseAction::Read(after) => {
                let changed = after.map_or_else(|| table.clone(), |_| LeaseTable::default());
                manager.on_read(changed, after.is_none(), now, now);
            }
            LeaseAction::Write(write) => {
                assert!(write.claims.is_empty(), "{write:?}");
                manager.on_written(write, 9, STORE_OFFSET_MS, now, now);
            }
            LeaseAction::Wait(_) => {}
        }
    }
}

/// With hundreds of hosts, only the delegates read the renewals; the others rely on their
/// summaries.
#[test]
fn a_lease_summary_extends_only_leases_that_are_still_valid() {
    let lease_ms = TIMES.lease_ttl.as_millis() as u64;
    let claim = Claim {
        engine: "i-0".into(),
        holder: "host-1".into(),
        revision: 7,
        era: 0,
        released_ms: None,
    };
    let table = |at_ms: u64, dead_ms: u64| LeaseTable {
        hosts: vec![
            host(0, STORE_OFFSET_MS + at_ms + lease_ms, 9),
            host(1, STORE_OFFSET_MS + at_ms + lease_ms, 8),
            host(2, STORE_OFFSET_MS + dead_ms + lease_ms, 8),
        ],
        claims: vec![claim.clone()],
        revision: 9,
        store_time_ms: STORE_OFFSET_MS + at_ms,
        ..LeaseTable::default()
    };
    let ms = Duration::from_millis;
    let (mut reader, mut manager) = (manager_of(3, 1), manager_of(4, 1));
    manager.on_read(table(0, 0), true, ms(0), ms(0));
    // Host 2 has not renewed since, so the summary does not extend its lease.
    for at_ms in [5_000, 10_000, 15_000, 20_000] {
        reader.on_read(table(at_ms, 0), true, ms(at_ms), ms(at_ms));
        let summary = reader.lease_summary(ms(at_ms));
        assert!(summary.except.len() <= 1, "{summary:?}");
        manager.on_lease_summary(&summary, ms(at_ms));
    }
    let now = ms(20_000);
    let valid: Vec<&str> = manager
        .live_hosts(now)
        .filter(|host| host.until_ms > STORE_OFFSET_MS + 20_000)
        .map(|host| &*host.holder)
        .collect();
    assert_eq!(valid, ["host-0", "host-1"]);
    // A summary does not revive a lease that has expired according to this host's table.
    let mut outdated = manager_of(5, 1);
    outdated.on_read(table(0, 0), true, ms(0), ms(0));
    outdated.on_lease_summary(&reader.lease_summary(now), now);
    assert!(outdated.live_hosts(now).all(|host| host.until_ms <= STORE_OFFSET_MS + 20_000));
}
