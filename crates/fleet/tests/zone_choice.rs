//! Leaving the zone: when it pays, and how many requests do.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::server;
use guavaspread_fleet::{
    LoadReport, Pick, Placement, PlacementKey, Server, ZoneChoice, choose_zone, leaving_share,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const ZONES: usize = 3;
const HOSTS: usize = 21;
const SLOTS: usize = 6;
const WORK_MS: f64 = 30.0;
/// What one zone's server can run.
const CAPACITY_PER_MS: f64 = SLOTS as f64 / WORK_MS;
const OBJECTIVE_MS: f64 = 150.0;
/// One way between two zones.
const CROSSING_MS: f64 = 1.4;

#[test_case(Some(1.0), Some(1.0), 0.0; "both have room")]
#[test_case(Some(1.2), Some(1.0), 0.0; "the gain is the crossing")]
#[test_case(Some(2.0), Some(1.0), 0.4; "the own zone waits")]
#[test_case(Some(4.0), Some(4.0), 0.0; "both are full")]
#[test_case(Some(1.0), Some(9.0), 0.0; "the other zone is full")]
#[test_case(None, Some(9.0), 1.0; "no server in the own zone")]
#[test_case(Some(9.0), None, 0.0; "the own zone is cut off")]
#[test_case(None, None, 0.0; "no server at all")]
fn a_share_leaves_in_proportion_to_the_gain(here: Option<f64>, elsewhere: Option<f64>, share: f64) {
    assert!((leaving_share(here, elsewhere, 0.2) - share).abs() < 1e-9);
    assert_eq!(choose_zone(here, elsewhere, 0.2, 1.0), ZoneChoice::Stay);
    let first = if share > 0.0 { ZoneChoice::Leave } else { ZoneChoice::Stay };
    assert_eq!(choose_zone(here, elsewhere, 0.2, 0.0), first);
}

/// How requests are placed.
#[derive(Clone, Copy, PartialEq)]
enum Policy {
    /// By the module.
    Adaptive,
    /// As before: a crossing costs half of a server's places.
    FixedCost,
    /// In the own zone only.
    Never,
}

/// What callers got.
#[derive(Default)]
struct Outcome {
    late: f64,
    crossed: f64,
    sent: f64,
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn placement(policy: Policy, host: usize) -> (Placement, Vec<PlacementKey>) {
    let mut placement = Placement::new(format!("zone-{}", host % ZONES).into());
    placement.set_zone_crossing(0.2, host as u64);
    for n in 0..ZONES {
        let zone = format!("zone-{n}").into();
        let server = Server { slots: SLOTS as u32, zone, ..server(&format!("i-{n}")) };
        placement.upsert(Arc::new(server));
    }
    let key = |n| {
        let others: Vec<Arc<str>> =
            (0..ZONES).filter(|k| *k != n).map(|k| format!("i-{k}").into()).collect();
        match placement.pick_server("drafter", &others, ms(0)) {
            Pick::Server(key, _) => key,
            Pick::Unavailable(_) => panic!("no server"),
        }
    };
    let keys: Vec<PlacementKey> = (0..ZONES).map(key).collect();
    if policy == Policy::Adaptive {
        for key in &keys {
            placement.on_pace(*key, 1.0, ms(0));
        }
    }
    (placement, keys)
}

/// Replays 20 s in which each zone asks for a share of what its server can run.
fn replay(policy: Policy, demand: impl Fn(usize, u64) -> f64, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut hosts: Vec<_> = (0..HOSTS).map(|host| placement(policy, host)).collect();
    let mut free_at = [[0.0_f64; SLOTS]; ZONES];
    let mut answers: Vec<(f64, usize, usize)> = Vec::new();
    let mut outcome = Outcome::default();
    for now in 0..20_000_u64 {
        let at = now as f64;
        let (due, rest): (Vec<_>, Vec<_>) = answers.into_iter().partition(|(end, ..)| *end <= at);
        answers = rest;
        for (_, host, n) in due {
            let running = free_at[n].iter().filter(|free| **free > at).count() as u32;
            let queue = free_at[n].iter().map(|free| ((free - at) / WORK_MS - 1.0).max(0.0));
            let report =
                LoadReport { running, waiting: queue.sum::<f64>() as u32, slots: SLOTS as u32 };
            let (placement, keys) = &mut hosts[host];
            placement.on_request_ended(keys[n]);
            placement.on_load_report(keys[n], report, ms(now));
        }
        for zone in 0..ZONES {
            let rate = demand(zone, now) * CAPACITY_PER_MS;
            if !rng.random_bool(rate.min(1.0)) {
                continue;
            }
            let host = zone + ZONES * rng.random_range(0..HOSTS / ZONES);
            let (placement, keys) = &mut hosts[host];
            let n = match (policy, placement.pick_server("drafter", &[], ms(now))) {
                (Policy::Never, _) => zone,
                (_, Pick::Server(key, _)) => keys.iter().position(|known| *known == key).unwrap(),
                (_, Pick::Unavailable(_)) => panic!("no server"),
            };
            placement.on_request_sent(keys[n]);
            let way = if n == zone { 0.0 } else { CROSSING_MS };
            let slot = free_at[n].iter_mut().min_by(|a, b| a.total_cmp(b)).unwrap();
            *slot = slot.max(at + way) + WORK_MS;
            outcome.sent += 1.0;
            outcome.crossed += f64::from(u8::from(n != zone));
            outcome.late += f64::from(u8::from(*slot + way - at > OBJECTIVE_MS));
            answers.push((*slot + way, host, n));
        }
    }
    outcome
}

/// One zone asks for 1.6 times what its server can run, and the others for little; it moves on.
#[test_case(1)]
#[test_case(2)]
fn a_zone_with_too_few_servers_sends_what_pays(seed: u64) {
    let demand = |zone, now: u64| if (now / 4_000) as usize % ZONES == zone { 1.6 } else { 0.4 };
    let (adaptive, never) =
        (replay(Policy::Adaptive, demand, seed), replay(Policy::Never, demand, seed));
    assert!(never.late / never.sent > 0.3, "without leaving, {} late", never.late / never.sent);
    assert!(adaptive.late / adaptive.sent < 0.05, "{} late", adaptive.late / adaptive.sent);
    // A quarter of all requests is beyond what the zone's server can run.
    let crossed = adaptive.crossed / adaptive.sent;
    assert!(crossed < 0.4, "{crossed} crossed");
}

/// All zones ask for the same: nothing is gained elsewhere.
#[test_case(0.6, 0.1; "with room")]
#[test_case(0.8, 0.3; "near the limit")]
fn few_requests_leave_zones_that_are_alike(demand: f64, crossed_max: f64) {
    let adaptive = replay(Policy::Adaptive, |_, _| demand, 1);
    let fixed = replay(Policy::FixedCost, |_, _| demand, 1);
    let crossed = adaptive.crossed / adaptive.sent;
    assert!(crossed < crossed_max, "{crossed} crossed");
    assert!(adaptive.late <= fixed.late + adaptive.sent * 0.01, "{} late", adaptive.late);
}
