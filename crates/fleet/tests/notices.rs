//! Drain and busy notices of servers, with stale rows and late responses.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use common::server;
use guavaspread_fleet::{Notices, Pick, Placement, Said, Server, ServerState, Standing};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEEDS: u64 = 10_000;
const STEPS: usize = 60;
const IDS: [&str; 3] = ["a", "b", "c"];
const NOW: Duration = Duration::from_secs(10);
const DRAINING: Said = Said { is_leaving: true, wait: None };

fn busy(ms: u64) -> Said {
    Said { is_leaving: false, wait: Some(Duration::from_millis(ms)) }
}

fn placement(ids: &[&str]) -> Placement {
    let mut placement = Placement::new("north".into());
    for id in ids {
        placement.upsert(Arc::new(server(id)));
    }
    placement
}

#[test]
fn a_draining_server_gets_no_requests_though_its_row_is_ready() {
    let mut placement = placement(&["a", "b"]);
    assert!(placement.on_answer(&server("a"), DRAINING, NOW));
    assert!(!placement.on_answer(&server("a"), DRAINING, NOW));
    // The unchanged row is read again.
    placement.upsert(Arc::new(server("a")));
    for n in 0..10 {
        let Pick::Server(_, picked) = placement.pick_plain("drafter", &[], NOW * (n + 1)) else {
            panic!("no server")
        };
        assert_eq!(&*picked.id, "b");
    }
    placement.on_answer(&server("b"), DRAINING, NOW);
    assert_eq!(placement.pick_plain("drafter", &[], NOW), Pick::None(None));
    assert!(!placement.serves_any(NOW));
    // The row disappears and reappears, as in an outage of the store.
    placement.remove("a");
    placement.upsert(Arc::new(server("a")));
    assert_eq!(placement.pick_plain("drafter", &[], NOW), Pick::None(None));
    placement.upsert(Arc::new(Server { born: 2, ..server("a") }));
    assert!(matches!(placement.pick_plain("drafter", &[], NOW), Pick::Server(..)));
}

#[test]
fn a_busy_server_gets_no_requests_for_the_requested_time() {
    let mut placement = placement(&["a", "b"]);
    placement.on_answer(&server("a"), busy(800), NOW);
    placement.on_answer(&server("b"), busy(500), NOW);
    placement.on_answer(&server("b"), busy(100), NOW);
    let until = NOW + Duration::from_millis(500);
    assert_eq!(placement.pick_plain("drafter", &[], NOW), Pick::None(Some(until)));
    // The host stays in rotation, because other hosts would be rejected by the servers too.
    assert!(placement.serves_any(NOW));
    let picked = placement.pick_plain("drafter", &[], until);
    assert!(matches!(picked, Pick::Server(_, server) if &*server.id == "b"));
}

#[test]
fn a_long_requested_time_is_limited() {
    let mut notices = Notices::default();
    notices.on_answer(&server("a"), busy(3_600_000), NOW);
    assert!(matches!(notices.standing(&server("a"), NOW), Standing::HeldUntil(_)));
    let later = NOW + Duration::from_secs(61);
    assert_eq!(notices.standing(&server("a"), later), Standing::Open);
}

/// The notices of one incarnation of a server that this host received.
#[derive(Default)]
struct Received {
    is_draining: bool,
    busy_until: Duration,
}

/// Simulates one seed; returns a server that was used despite a notice or unused without one.
fn simulate(seed: u64) -> Option<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut notices = Notices::default();
    let mut now = NOW;
    let mut born: BTreeMap<&str, u64> = IDS.iter().map(|id| (*id, 1)).collect();
    let mut received: BTreeMap<(&str, u64), Received> = BTreeMap::new();
    // The responses in flight, each with the incarnation that sent it.
    let mut responses: Vec<(&str, u64, Said)> = Vec::new();
    for _ in 0..STEPS {
        now += Duration::from_millis(rng.random_range(1..400));
        let id = IDS[rng.random_range(0..IDS.len())];
        match rng.random_range(0..10) {
            0 => *born.get_mut(id).unwrap() += rng.random_range(1..3),
            1..=4 => {
                let said = match rng.random_range(0..3) {
                    0 => DRAINING,
                    1 => busy(rng.random_range(1..3_000)),
                    _ => Said::default(),
                };
                responses.push((id, born[id], said));
            }
            _ if !responses.is_empty() => {
                let (id, born, said) = responses.swap_remove(rng.random_range(0..responses.len()));
                notices.on_answer(&Server { born, ..server(id) }, said, now);
                let received = received.entry((id, born)).or_default();
                received.is_draining |= said.is_leaving;
                received.busy_until = received.busy_until.max(now + said.wait.unwrap_or_default());
            }
            _ => {}
        }
        for id in IDS {
            // The row may contain any incarnation up to the newest.
            for born in 1..=born[id] {
                let row = Server { born, ..server(id) };
                let standing = notices.standing(&row, now);
                let newer = received.range((id, born + 1)..=(id, u64::MAX));
                let is_replaced =
                    newer.into_iter().any(|(_, r)| r.is_draining || r.busy_until > NOW);
                let known = received.get(&(id, born));
                let is_unavailable = known.is_some_and(|r| r.is_draining || r.busy_until > now);
                if standing == Standing::Open && is_unavailable {
                    return Some(format!(
                        "seed {seed}: {id} born {born} is used despite its notice"
                    ));
                }
                let is_available = known.is_none_or(|r| !r.is_draining && r.busy_until <= now);
                if standing != Standing::Open && is_available && !is_replaced {
                    return Some(format!(
                        "seed {seed}: {id} born {born} is unused without a notice"
                    ));
                }
            }
        }
    }
    None
}

#[test]
fn notices_apply_only_to_their_incarnation_in_any_order_of_responses() {
    let failures: Vec<String> = (0..SEEDS).filter_map(simulate).collect();
    assert!(failures.is_empty(), "{} of {SEEDS}: {}", failures.len(), failures[0]);
}

#[test]
fn a_draining_row_counts_as_leaving() {
    let draining = ServerState::Draining { remaining: None };
    let row = Server { state: draining, ..server("a") };
    assert_eq!(placement(&["a"]).standing(&row, NOW), Standing::Leaving);
}
