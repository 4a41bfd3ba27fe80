//! Tests that the retries of all entry hosts together stay within the bound.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use guavaspread_fleet::RetryShares;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const SHARE: f64 = 0.2;
const WINDOW_MS: u64 = 10_000;
/// One in this number of hosts has just started and is not visible to the others.
const UNSEEN_DIVISOR: usize = 5;
const DURATION_MS: u64 = 40_000;

/// Number of hosts, total requests per second and slack: values of the production sites, and larger
/// ones; and whether hosts restart.
#[test_case(9, 60.0, 58.0, false)]
#[test_case(13, 60.0, 58.0, false; "thirteen")]
#[test_case(60, 350.0, 160.0, false)]
#[test_case(83, 350.0, 206.0, false)]
#[test_case(195, 900.0, 430.0, true; "restarts")]
#[test_case(300, 1_750.0, 800.0, false)]
fn retries_to_a_failing_service_stay_within_the_bound(
    hosts: usize,
    rate: f64,
    slack: f64,
    restarts: bool,
) {
    for seed in 0..20 {
        let max_excess = max_excess_retries(seed, hosts, rate, slack, restarts);
        assert!(max_excess <= 0.0, "seed {seed}: {max_excess} retries beyond the bound");
    }
}

/// Simulates a service that fails for some time; returns the largest excess of retries over the
/// bound in any window.
fn max_excess_retries(seed: u64, hosts: usize, rate: f64, slack: f64, restarts: bool) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let lease_holders = hosts - hosts / UNSEEN_DIVISOR;
    let service: Arc<str> = "booking".into();
    let start = |predecessor_age, now| {
        let mut budgets = RetryShares::new(SHARE, slack);
        budgets.on_holders(lease_holders, predecessor_age, now);
        budgets
    };
    let mut budgets: Vec<RetryShares> = (0..hosts).map(|_| start(None, Duration::ZERO)).collect();
    let fails_from = rng.random_range(0..DURATION_MS / 2);
    let fails_until = fails_from + rng.random_range(1_000..WINDOW_MS * 2);
    // Requests and retries per millisecond of the window.
    let mut window: VecDeque<(f64, f64)> = VecDeque::new();
    let (mut requests, mut retries) = (0.0, 0.0);
    let mut max_excess = f64::NEG_INFINITY;
    for ms in 0..DURATION_MS {
        let mut sample = (0.0, 0.0);
        let requests_per_ms = rate / 1_000.0;
        let arrivals =
            requests_per_ms.floor() as u64 + u64::from(rng.random_bool(requests_per_ms.fract()));
        for _ in 0..arrivals {
            let budget = &mut budgets[rng.random_range(0..hosts)];
            let now = Duration::from_millis(ms);
            if restarts && rng.random_bool(0.05) {
                *budget = start(Some(Duration::ZERO), now);
            }
            budget.on_request(&service, now);
            sample.0 += 1.0;
            // Each request is retried for as long as its host's budget allows.
            while (fails_from..fails_until).contains(&ms)
                && sample.1 < 1e6
                && budget.try_take(&service, now)
            {
                sample.1 += 1.0;
            }
        }
        requests += sample.0;
        retries += sample.1;
        window.push_back(sample);
        if window.len() as u64 > WINDOW_MS {
            let oldest = window.pop_front().unwrap();
            requests -= oldest.0;
            retries -= oldest.1;
        }
        max_excess = max_excess.max(retries - SHARE * requests - slack);
    }
    max_excess
}
