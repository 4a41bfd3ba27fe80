//! Drain and busy notices of servers, with stale rows and late responses.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use common::server;
use guavaspread_fleet::{
    Availability, NamedLimit, Pick, Placement, Server, ServerNotice, ServerNotices, ServerState,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEEDS: u64 = 10_000;
const STEPS: usize = 60;
const IDS: [&str; 3] = ["a", "b", "c"];
const NOW: Duration = Duration::from_secs(10);
const DRAINING: ServerNotice = ServerNotice {
    is_draining: true,
    retry_after: None,
    rate_limit: NamedLimit::Absent,
    rejection_limit: NamedLimit::Absent,
};

fn busy(ms: u64) -> ServerNotice {
    ServerNotice { retry_after: Some(Duration::from_millis(ms)), ..ServerNotice::default() }
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
    assert!(placement.on_server_notice(&server("a"), DRAINING, NOW));
    assert!(!placement.on_server_notice(&server("a"), DRAINING, NOW));
    // The unchanged row is read again.
    placement.upsert(Arc::new(server("a")));
    for n in 0..10 {
        let Pick::Server(_, picked) = placement.pick_server("drafter", &[], NOW * (n + 1)) else {
            panic!("no server")
        };
        assert_eq!(&*picked.id, "b");
    }
    placement.on_server_notice(&server("b"), DRAINING, NOW);
    assert_eq!(placement.pick_server("drafter", &[], NOW), Pick::Unavailable(None));
    assert!(!placement.has_available_server(NOW));
    // The row disappears and reappears, as in an outage of the store.
    placement.remove("a");
    placement.upsert(Arc::new(server("a")));
    assert_eq!(placement.pick_server("drafter", &[], NOW), Pick::Unavailable(None));
    placement.upsert(Arc::new(Server { started_at_ms: 2, ..server("a") }));
    assert!(matches!(placement.pick_server("drafter", &[], NOW), Pick::Server(..)));
}

#[test]
fn a_busy_server_gets_no_requests_for_the_requested_time() {
    let mut placement = placement(&["a", "b"]);
    placement.on_server_notice(&server("a"), busy(800), NOW);
    placement.on_server_notice(&server("b"), busy(500), NOW);
    placement.on_server_notice(&server("b"), busy(100), NOW);
    let until = NOW + Duration::from_millis(500);
    assert_eq!(placement.pick_server("drafter", &[], NOW), Pick::Unavailable(Some(until)));
    // This host still counts as ready, because the servers would reject other hosts' requests too.
    assert!(placement.has_available_server(NOW));
    let picked = placement.pick_server("drafter", &[], until);
    assert!(matches!(picked, Pick::Server(_, server) if &*server.id == "b"));
}

#[test]
fn a_long_requested_time_is_limited() {
    let mut notices = ServerNotices::default();
    notices.on_response(&server("a"), busy(3_600_000), NOW);
    assert!(matches!(notices.availability(&server("a"), NOW), Availability::UnavailableUntil(_)));
    let later = NOW + Duration::from_secs(61);
    assert_eq!(notices.availability(&server("a"), later), Availability::Available);
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
    let mut notices = ServerNotices::default();
    let mut now = NOW;
    let mut started_at_ms: BTreeMap<&str, u64> = IDS.iter().map(|id| (*id, 1)).collect();
    let mut received: BTreeMap<(&str, u64), Received> = BTreeMap::new();
    // The responses in flight, each with the incarnation that sent it.
    let mut responses: Vec<(&str, u64, ServerNotice)> = Vec::new();
    for _ in 0..STEPS {
        now += Duration::from_millis(rng.random_range(1..400));
        let id = IDS[rng.random_range(0..IDS.len())];
        match rng.random_range(0..10) {
            0 => *started_at_ms.get_mut(id).unwrap() += rng.random_range(1..3),
            1..=4 => {
                let notice = match rng.random_range(0..3) {
                    0 => DRAINING,
                    1 => busy(rng.random_range(1..3_000)),
                    _ => ServerNotice::default(),
                };
                responses.push((id, started_at_ms[id], notice));
            }
            _ if !responses.is_empty() => {
                let (id, started_at_ms, notice) =
                    responses.swap_remove(rng.random_range(0..responses.len()));
                notices.on_response(&Server { started_at_ms, ..server(id) }, notice, now);
                let received = received.entry((id, started_at_ms)).or_default();
                received.is_draining |= notice.is_draining;
                received.busy_until =
                    received.busy_until.max(now + notice.retry_after.unwrap_or_default());
            }
            _ => {}
        }
        for id in IDS {
            // The row may contain any incarnation up to the newest.
            for started_at_ms in 1..=started_at_ms[id] {
                let row = Server { started_at_ms, ..server(id) };
                let availability = notices.availability(&row, now);
                let newer = received.range((id, started_at_ms + 1)..=(id, u64::MAX));
                let is_replaced =
                    newer.into_iter().any(|(_, r)| r.is_draining || r.busy_until > NOW);
                let known = received.get(&(id, started_at_ms));
                let is_unavailable = known.is_some_and(|r| r.is_draining || r.busy_until > now);
                if availability == Availability::Available && is_unavailable {
                    return Some(format!(
                        "seed {seed}: {id} (incarnation {started_at_ms}) is used despite its notice"
                    ));
                }
                let is_available = known.is_none_or(|r| !r.is_draining && r.busy_until <= now);
                if availability != Availability::Available && is_available && !is_replaced {
                    return Some(format!(
                        "seed {seed}: {id} (incarnation {started_at_ms}) is unused without a notice"
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
fn a_server_with_a_draining_row_counts_as_draining() {
    let draining = ServerState::Draining { remaining: None };
    let row = Server { state: draining, ..server("a") };
    assert_eq!(placement(&["a"]).availability(&row, NOW), Availability::Draining);
}
