//! Tests the selection of a server for a request.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use guavaspread_fleet::{
    AdapterId, LoadReport, LoadedModel, Pick, Placement, PlacementKey, RateLimit, Server,
    ServerState,
};

const NOW: Duration = Duration::from_secs(10);
/// Concurrent requests to nine engines with eight slots each.
const CONCURRENT_REQUESTS: usize = 20;

fn server(id: &str, zone: &str) -> Server {
    let model = LoadedModel { name: "m".into(), version: 1, adapters: Vec::new() };
    Server {
        id: id.into(),
        service: "drafter".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: zone.into(),
        slots: 8,
        state: ServerState::Ready,
        started_at_ms: 1,
        software: None,
        models: vec![model],
    }
}

fn placement(servers: usize) -> Placement {
    let mut placement = Placement::new("north".into());
    for n in 0..servers {
        placement.upsert(Arc::new(server(&format!("i-{n}"), "north")));
    }
    placement
}

fn adapter(name: &str) -> AdapterId {
    AdapterId { model: "m".into(), adapter: name.into() }
}

fn picked(pick: Pick) -> (PlacementKey, Arc<str>) {
    match pick {
        Pick::Server(key, server) => (key, server.id.clone()),
        Pick::Unavailable(_) => panic!("no server was chosen"),
    }
}

/// Reports no holder beyond those that the server rows show.
fn no_other_holders(_: &Server) -> bool {
    false
}

/// Sends `count` requests, `share` of them to one adapter, and returns the engines of that adapter.
fn engines_of_popular_adapter(share: f64, count: u32) -> HashSet<Arc<str>> {
    let mut placement = placement(9);
    let popular = adapter("popular");
    let mut engines = HashSet::new();
    let mut running = VecDeque::new();
    let mut pending_share = 0.0;
    for n in 0..count {
        pending_share += share;
        let id = if pending_share >= 1.0 { popular.clone() } else { adapter(&format!("rare-{n}")) };
        placement.record_demand(&id, NOW);
        let (key, server) =
            picked(placement.pick_for_adapter("drafter", &id, 100, &[], &no_other_holders, NOW));
        placement.on_request_sent(key);
        running.push_back(key);
        if running.len() > CONCURRENT_REQUESTS {
            placement.on_request_ended(running.pop_front().unwrap());
        }
        if pending_share >= 1.0 {
            pending_share -= 1.0;
            engines.insert(server);
        }
    }
    engines
}

#[test]
fn a_rare_adapter_stays_on_one_engine() {
    assert_eq!(engines_of_popular_adapter(0.02, 600).len(), 1);
}

#[test]
fn a_popular_adapter_spreads_in_proportion_to_its_share() {
    let engines = engines_of_popular_adapter(0.25, 600);
    assert!((2..=4).contains(&engines.len()), "{engines:?}");
}

#[test]
fn entry_hosts_agree_on_the_engine_of_an_adapter() {
    let (a, b) = (placement(9), placement(9));
    for n in 0..50 {
        let id = adapter(&format!("a{n}"));
        let first = picked(a.pick_for_adapter("drafter", &id, 100, &[], &no_other_holders, NOW)).1;
        assert_eq!(
            first,
            picked(b.pick_for_adapter("drafter", &id, 100, &[], &no_other_holders, NOW)).1
        );
    }
}

#[test]
fn losing_an_engine_moves_only_its_adapters() {
    let mut placement = placement(9);
    let before: Vec<Arc<str>> = (0..100)
        .map(|n| {
            picked(placement.pick_for_adapter(
                "drafter",
                &adapter(&format!("a{n}")),
                100,
                &[],
                &no_other_holders,
                NOW,
            ))
            .1
        })
        .collect();
    placement.remove("i-3");
    for (n, engine) in before.iter().enumerate().filter(|(_, engine)| &***engine != "i-3") {
        let id = adapter(&format!("a{n}"));
        assert_eq!(
            *engine,
            picked(placement.pick_for_adapter("drafter", &id, 100, &[], &no_other_holders, NOW)).1
        );
    }
}

#[test]
fn an_unreachable_server_is_tried_last() {
    let mut placement = placement(2);
    let (key, first) = picked(placement.pick_server("drafter", &[], NOW));
    placement.on_unreachable(key, NOW);
    let (_, second) = picked(placement.pick_server("drafter", &[], NOW));
    assert_ne!(first, second);
    let (_, last) = picked(placement.pick_server("drafter", &[second], NOW));
    assert_eq!(last, first);
}

#[test]
fn a_failing_server_gets_fewer_requests() {
    let mut placement = placement(2);
    let (key, first) = picked(placement.pick_server("drafter", &[], NOW));
    placement.on_request_failed(key, NOW);
    assert_ne!(picked(placement.pick_server("drafter", &[], NOW)).1, first);
    let later = NOW + Duration::from_secs(60);
    placement.on_request_sent(
        picked(placement.pick_server("drafter", std::slice::from_ref(&first), later)).0,
    );
    assert_eq!(picked(placement.pick_server("drafter", &[], later)).1, first);
}

#[test]
fn requests_stay_in_their_zone_until_its_server_is_overloaded() {
    let mut placement = Placement::new("north".into());
    placement.upsert(Arc::new(server("near", "north")));
    placement.upsert(Arc::new(server("far", "south")));
    let (near, id) = picked(placement.pick_server("drafter", &[], NOW));
    assert_eq!(&*id, "near");
    placement.on_load_report(near, LoadReport { running: 8, waiting: 2, slots: 8 }, NOW);
    assert_eq!(&*picked(placement.pick_server("drafter", &[], NOW)).1, "far");
}

#[test]
fn a_draining_server_gets_no_requests() {
    let mut placement = placement(1);
    let state = ServerState::Draining { remaining: None };
    placement.upsert(Arc::new(Server { state, ..server("i-0", "north") }));
    assert_eq!(placement.pick_server("drafter", &[], NOW), Pick::Unavailable(None));
}

/// When popularity shifts, several adapters with the same first engine become popular and overload
/// it.
#[test]
fn overloaded_engines_share_their_popular_adapters() {
    let mut placement = placement(9);
    let engine_of = |placement: &Placement, id: &AdapterId| {
        picked(placement.pick_for_adapter("drafter", id, 100, &[], &no_other_holders, NOW))
    };
    let rising: Vec<AdapterId> = (0..200)
        .map(|n| adapter(&format!("a{n}")))
        .filter(|id| &*engine_of(&placement, id).1 == "i-4")
        .take(10)
        .collect();
    for _ in 0..40 {
        for id in &rising {
            placement.record_demand(id, NOW);
        }
    }
    let before = engine_of(&placement, &rising[0]);
    let report = LoadReport { running: 30, waiting: 0, slots: 64 };
    placement.on_load_report(before.0, report, NOW);
    let moved = rising.iter().filter(|id| engine_of(&placement, id).1 != before.1).count();
    assert_eq!(moved, rising.len());
    assert_eq!(engine_of(&placement, &adapter("rare")).1, {
        let idle = self::placement(9);
        engine_of(&idle, &adapter("rare")).1
    });
}

/// A long prompt starves behind a small batch full of short requests.
#[test]
fn a_long_prompt_avoids_a_busy_engine() {
    let mut placement = placement(9);
    let id = adapter("digest");
    let (key, first) =
        picked(placement.pick_for_adapter("drafter", &id, 9_000, &[], &no_other_holders, NOW));
    placement.on_load_report(key, LoadReport { running: 5, waiting: 0, slots: 8 }, NOW);
    assert_ne!(
        picked(placement.pick_for_adapter("drafter", &id, 9_000, &[], &no_other_holders, NOW)).1,
        first
    );
    assert_eq!(
        picked(placement.pick_for_adapter("drafter", &id, 100, &[], &no_other_holders, NOW)).1,
        first
    );
}

/// A full engine makes every new request wait.
#[test]
fn requests_for_a_rare_adapter_avoid_a_full_engine() {
    let mut placement = placement(9);
    let id = adapter("rare");
    let (key, first) =
        picked(placement.pick_for_adapter("drafter", &id, 100, &[], &no_other_holders, NOW));
    placement.on_load_report(key, LoadReport { running: 8, waiting: 0, slots: 8 }, NOW);
    assert_ne!(
        picked(placement.pick_for_adapter("drafter", &id, 100, &[], &no_other_holders, NOW)).1,
        first
    );
}

/// While an engine is lost, the next engines fetch its adapters. All engines share one weight
/// store, so a second fetch after the engine's return would slow down other loads.
#[test]
fn an_adapter_stays_on_its_new_engine_when_its_first_engine_returns() {
    let mut placement = placement(9);
    let id = adapter("moved");
    let engine_of = |placement: &Placement, is_holder: &dyn Fn(&Server) -> bool| {
        picked(placement.pick_for_adapter("drafter", &id, 100, &[], is_holder, NOW))
    };
    let first = engine_of(&placement, &no_other_holders).1;
    placement.remove(&first);
    let second = engine_of(&placement, &no_other_holders).1;
    placement.upsert(Arc::new(Server { started_at_ms: 2, ..server(&first, "north") }));
    assert_eq!(engine_of(&placement, &no_other_holders).1, first);
    assert_eq!(engine_of(&placement, &|server| server.id == second).1, second);
    // The holder may also be known from its row.
    let loaded = guavaspread_fleet::LoadedAdapter { name: "moved".into(), version: 1 };
    let model = LoadedModel { name: "m".into(), version: 1, adapters: vec![loaded] };
    placement.upsert(Arc::new(Server { models: vec![model], ..server(&second, "north") }));
    let (key, holder) = engine_of(&placement, &no_other_holders);
    assert_eq!(holder, second);
    // A full holder does not keep the adapter's requests.
    placement.on_load_report(key, LoadReport { running: 8, waiting: 0, slots: 8 }, NOW);
    assert_eq!(engine_of(&placement, &no_other_holders).1, first);
    let next = placement.ranked_engines("drafter", &id, &[first], NOW);
    assert_eq!(next.len(), 8);
    assert_eq!(next[0].1.id, second);
}

/// Picks an engine for each of 50 adapters and returns how many picks were `engine`.
fn picks_of(placement: &Placement, engine: &str, holder: bool, now: Duration) -> usize {
    let is_holder = |server: &Server| holder && &*server.id == engine;
    let pick = |n: usize| {
        let id = adapter(&format!("a-{n}"));
        picked(placement.pick_for_adapter("drafter", &id, 100, &[], &is_holder, now)).1
    };
    (0..50).filter(|n| &*pick(*n) == engine).count()
}

#[test]
fn a_rate_limited_engine_gets_no_loads_but_keeps_its_adapters() {
    let mut placement = placement(3);
    let limited = server("i-0", "north");
    assert!(picks_of(&placement, "i-0", false, NOW) > 5);
    placement.rate_limits_mut().on_named(&limited, RateLimit::per_second(3.0), NOW);
    assert_eq!(picks_of(&placement, "i-0", false, NOW), 0);
    assert_eq!(picks_of(&placement, "i-0", true, NOW), 50);
    assert!(
        placement
            .ranked_engines("drafter", &adapter("a"), &[], NOW)
            .iter()
            .all(|(_, engine)| engine.id != limited.id)
    );
    // After a time without a response, a load tells whether the limit still applies.
    assert!(picks_of(&placement, "i-0", false, NOW + Duration::from_secs(11)) > 5);
}

#[test]
fn adapters_are_loaded_on_limited_engines_if_there_are_no_others() {
    let mut placement = placement(2);
    for id in ["i-0", "i-1"] {
        let limit = RateLimit::per_second(3.0);
        placement.rate_limits_mut().on_named(&server(id, "north"), limit, NOW);
    }
    let picks = picks_of(&placement, "i-0", false, NOW);
    assert!(picks > 5 && picks < 45, "{picks}");
}
