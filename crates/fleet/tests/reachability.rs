//! When a host counts as cut off from the servers of a service.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::sync::Arc;
use std::time::Duration;

use guavaspread_fleet::{PathChange, Reachability};
use test_case::test_case;

const SERVICE: &str = "booking";

fn servers(count: usize) -> Vec<Arc<str>> {
    (0..count).map(|n| format!("i-{n}").into()).collect()
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// One outcome of opening a connection.
#[derive(Clone, Copy)]
enum Open {
    Fails(usize),
    Succeeds(usize),
}
use Open::{Fails, Succeeds};

/// Applies the outcomes `interval_ms` apart; returns the changes and the state at the end.
fn play(count: usize, interval_ms: u64, opens: &[Open]) -> (Vec<PathChange>, bool) {
    let (mut paths, ready) = (Reachability::default(), servers(count));
    let mut changes = Vec::new();
    for (n, open) in opens.iter().enumerate() {
        let now = ms(1_000 + n as u64 * interval_ms);
        changes.extend(match open {
            Fails(server) => paths.on_open_failed(SERVICE, &ready[*server], &ready, now),
            Succeeds(server) => paths.on_opened(SERVICE, &ready[*server], &ready, now),
        });
    }
    (changes, paths.is_cut_off(SERVICE))
}

#[test_case(8, 50, &[Fails(0), Fails(1), Fails(2), Fails(3)], true; "several servers")]
#[test_case(8, 50, &[Fails(0), Fails(0), Fails(0), Fails(0), Fails(0)], false; "one dark server")]
#[test_case(8, 50, &[Fails(0), Fails(1), Fails(2), Fails(0), Fails(1)], false; "three dark servers")]
#[test_case(8, 50, &[Fails(0), Fails(1), Succeeds(7), Fails(2), Fails(3)], false; "a success between")]
#[test_case(8, 900, &[Fails(0), Fails(1), Fails(2), Fails(3)], false; "failures far apart")]
#[test_case(3, 50, &[Fails(0), Fails(1), Fails(2)], true; "all of few servers")]
#[test_case(3, 50, &[Fails(0), Fails(1)], false; "two of three servers")]
#[test_case(1, 50, &[Fails(0)], true; "the only server")]
fn failures_at_several_servers_mean_a_partition(
    count: usize,
    interval_ms: u64,
    opens: &[Open],
    is_cut_off: bool,
) {
    let (changes, state) = play(count, interval_ms, opens);
    assert_eq!(state, is_cut_off);
    assert_eq!(changes.len(), usize::from(is_cut_off), "{changes:?}");
}

const CUT: [Open; 4] = [Fails(0), Fails(1), Fails(2), Fails(3)];

#[test_case(8, &[Succeeds(0)], true; "one server is reached")]
#[test_case(8, &[Succeeds(0), Succeeds(0)], true; "one server is reached twice")]
#[test_case(8, &[Succeeds(0), Fails(2), Succeeds(1)], true; "a failure between")]
#[test_case(8, &[Succeeds(0), Succeeds(5)], false; "two servers are reached")]
fn servers_reached_again_end_the_partition(count: usize, opens: &[Open], is_cut_off: bool) {
    let (changes, state) = play(count, 50, &[&CUT, opens].concat());
    assert_eq!(state, is_cut_off);
    let restored = PathChange::Restored { after: ms(50 * opens.len() as u64) };
    assert_eq!(changes.last() == Some(&restored), !is_cut_off, "{changes:?}");
}

#[test]
fn the_only_server_ends_the_partition() {
    let (_, is_cut_off) = play(1, 50, &[Fails(0), Succeeds(0)]);
    assert!(!is_cut_off);
}

#[test]
fn a_server_that_is_not_listed_as_ready_does_not_count() {
    let (mut paths, ready) = (Reachability::default(), servers(2));
    let gone: Arc<str> = "i-gone".into();
    paths.on_open_failed(SERVICE, &gone, &ready, ms(0));
    paths.on_open_failed(SERVICE, &ready[0], &ready, ms(10));
    assert!(!paths.is_cut_off(SERVICE));
    // The other server left the list after its failure.
    paths.on_open_failed(SERVICE, &ready[1], &ready[1..], ms(20));
    assert!(paths.is_cut_off(SERVICE));
}

#[test]
fn services_are_independent() {
    let (mut paths, ready) = (Reachability::default(), servers(4));
    for server in &ready {
        paths.on_open_failed(SERVICE, server, &ready, ms(0));
    }
    assert!(paths.is_cut_off(SERVICE));
    assert!(!paths.is_cut_off("chat"));
    paths.retain(|service| service != SERVICE);
    assert!(!paths.is_cut_off(SERVICE));
}

/// Plays a host that only probes; `reaches` tells whether it reaches a server at a time. Returns
/// when the path changed, and the number of probes.
fn probe(
    count: usize,
    duration_ms: u64,
    reaches: impl Fn(usize, u64) -> bool,
) -> (Vec<(u64, PathChange)>, usize) {
    const OPEN_TIMEOUT_MS: u64 = 200;
    let (mut paths, ready) = (Reachability::default(), servers(count));
    let (mut changes, mut probes) = (Vec::new(), 0);
    let mut pending: Vec<(u64, Arc<str>)> = Vec::new();
    for now_ms in (0..duration_ms).step_by(10) {
        let (due, later): (Vec<_>, Vec<_>) = pending.into_iter().partition(|(at, _)| *at <= now_ms);
        pending = later;
        for (_, server) in due {
            let change = paths.on_open_failed(SERVICE, &server, &ready, ms(now_ms));
            changes.extend(change.map(|change| (now_ms, change)));
        }
        for server in paths.take_probes(SERVICE, &ready, ms(now_ms)) {
            probes += 1;
            let index = ready.iter().position(|known| *known == server).unwrap();
            if reaches(index, now_ms) {
                let change = paths.on_opened(SERVICE, &server, &ready, ms(now_ms));
                changes.extend(change.map(|change| (now_ms, change)));
            } else {
                pending.push((now_ms + OPEN_TIMEOUT_MS, server));
            }
        }
    }
    (changes, probes)
}

#[test_case(1)]
#[test_case(2)]
#[test_case(5)]
#[test_case(40)]
fn probes_alone_notice_a_partition_and_its_end(count: usize) {
    let (changes, probes) = probe(count, 12_000, |_, ms| !(5_000..10_000).contains(&ms));
    let [(cut_at, PathChange::CutOff { .. }), (restored_at, PathChange::Restored { .. })] =
        changes[..]
    else {
        panic!("{changes:?}");
    };
    assert!(cut_at < 6_000, "noticed after {} ms", cut_at - 5_000);
    assert!(restored_at < 11_000, "noticed after {} ms", restored_at - 10_000);
    assert!(probes < 80, "{probes} probes");
}

#[test_case(8, 3; "three of eight")]
#[test_case(3, 1; "one of three")]
#[test_case(20, 3; "three of twenty")]
fn dark_servers_are_no_partition(count: usize, dark: usize) {
    let (changes, probes) = probe(count, 20_000, |server, _| server >= dark);
    assert_eq!(changes, []);
    assert!(probes < 200, "{probes} probes");
}

/// A zone that is partitioned from the others. Servers of the own zone and others stand by turns.
#[test_case(8, 3; "three servers in the own zone")]
#[test_case(9, 1; "one server in the own zone")]
fn a_host_that_reaches_its_own_zone_is_not_cut_off(count: usize, own_zone: usize) {
    let is_in_own_zone = |server: usize| server.is_multiple_of(2) && server / 2 < own_zone;
    let (changes, probes) = probe(count, 20_000, |server, _| is_in_own_zone(server));
    assert_eq!(changes, []);
    assert!(probes < 200, "{probes} probes");
}

#[test]
fn responses_make_probes_needless_but_prove_no_new_connection() {
    let (mut paths, ready) = (Reachability::default(), servers(8));
    paths.on_response(SERVICE, ms(1_000));
    assert!(paths.take_probes(SERVICE, &ready, ms(1_400)).is_empty());
    assert_eq!(paths.take_probes(SERVICE, &ready, ms(1_500)).len(), 1);
    for server in &ready[..4] {
        paths.on_open_failed(SERVICE, server, &ready, ms(2_000));
        paths.on_response(SERVICE, ms(2_000));
    }
    assert!(paths.is_cut_off(SERVICE));
}
