//! What all entry hosts spend together stays within the bound, however many there are.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::collections::VecDeque;

use guavaspread_fleet::retry_budget;
use guavaspread_placement::RetryBudget;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const SHARE: f64 = 0.2;
const WINDOW_MS: u64 = 10_000;
/// One host in so many has just started, so that no other sees it.
const UNSEEN: usize = 5;
const LASTS_MS: u64 = 40_000;

/// Hosts, requests a second over all of them, slack: as on the users' sites, and beyond.
#[test_case(9, 60.0, 58.0)]
#[test_case(13, 60.0, 58.0; "thirteen")]
#[test_case(60, 350.0, 160.0)]
#[test_case(83, 350.0, 206.0)]
#[test_case(300, 1_750.0, 800.0)]
fn a_service_that_fails_all_over_gets_no_more_than_the_bound(hosts: usize, rate: f64, slack: f64) {
    for seed in 0..20 {
        let worst = worst_excess(seed, hosts, rate, slack);
        assert!(worst <= 0.0, "seed {seed}: {worst} sends beyond the bound");
    }
}

/// Plays calm and failure by turns; returns the most sends beyond the bound in any window.
fn worst_excess(seed: u64, hosts: usize, rate: f64, slack: f64) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let seen = hosts - hosts / UNSEEN;
    let mut budgets: Vec<RetryBudget> =
        (0..hosts).map(|_| retry_budget(SHARE, slack, seen)).collect();
    let fails_from = rng.random_range(0..LASTS_MS / 2);
    let fails_until = fails_from + rng.random_range(1_000..WINDOW_MS * 2);
    // Requests and repeated sends of each millisecond in the window.
    let mut window: VecDeque<(f64, f64)> = VecDeque::new();
    let (mut requests, mut repeated) = (0.0, 0.0);
    let mut worst = f64::NEG_INFINITY;
    for ms in 0..LASTS_MS {
        let mut now = (0.0, 0.0);
        let due = rate / 1_000.0;
        let arrivals = due.floor() as u64 + u64::from(rng.random_bool(due.fract()));
        for _ in 0..arrivals {
            let budget = &mut budgets[rng.random_range(0..hosts)];
            budget.on_request();
            now.0 += 1.0;
            // Each request is sent again for as long as its host may.
            while (fails_from..fails_until).contains(&ms) && now.1 < 1e6 && budget.try_retry() {
                now.1 += 1.0;
            }
        }
        requests += now.0;
        repeated += now.1;
        window.push_back(now);
        if window.len() as u64 > WINDOW_MS {
            let old = window.pop_front().unwrap();
            requests -= old.0;
            repeated -= old.1;
        }
        worst = worst.max(repeated - SHARE * requests - slack);
    }
    worst
}
