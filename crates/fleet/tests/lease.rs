//! At most one entry host orders an engine, whatever is cut, paused, lost or late.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use guavaspread_fleet::{LeaseBook, LeaseNext, LeaseRow, LeaseTimes};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TIMES: LeaseTimes = LeaseTimes {
    lease: Duration::from_secs(12),
    renew: Duration::from_secs(5),
    quarantine: Duration::from_millis(3_300),
};
/// What the users' rule asks for between the orders of two holders.
const REST: Duration = Duration::from_millis(3_000);
const HOSTS: usize = 3;
const ENGINE: &str = "i-1";
/// The store's clock is not the hosts' clock.
const STORE_OFFSET_MS: u64 = 77_000;

#[derive(Default)]
struct Table {
    rows: BTreeMap<Arc<str>, LeaseRow>,
    revision: u64,
}

impl Table {
    fn write(&mut self, rows: &[LeaseRow]) -> Option<u64> {
        let current = |row: &LeaseRow| self.rows.get(&row.engine).map_or(0, |r| r.revision);
        if rows.iter().any(|row| current(row) != row.revision) {
            return None;
        }
        self.revision += 1;
        let revision = self.revision;
        for row in rows {
            self.rows.insert(row.engine.clone(), LeaseRow { revision, ..row.clone() });
        }
        Some(revision)
    }
}

struct Late {
    at: Duration,
    rows: Vec<LeaseRow>,
}

/// Plays one run and returns the orders that could have been given: when, by whom, fence.
fn play(seed: u64, times: LeaseTimes) -> Vec<(Duration, usize, u64)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut table = Table { revision: 100, ..Table::default() };
    let address = "10.0.0.1:80".parse().unwrap();
    let fresh = |host: usize| {
        let mut book =
            LeaseBook::new(format!("host-{host}").into(), address, "north".into(), times);
        book.set_engines(BTreeMap::from([(ENGINE.into(), host != 2)]));
        book
    };
    let mut books: Vec<LeaseBook> = (0..HOSTS).map(fresh).collect();
    let mut cut_until = [Duration::ZERO; HOSTS];
    let mut paused_until = [Duration::ZERO; HOSTS];
    let mut late: Vec<Late> = Vec::new();
    let mut orders = Vec::new();
    let step = Duration::from_millis(50);
    for tick in 1..1_600u32 {
        let now = step * tick;
        let shown_ms = now.as_millis() as u64 + STORE_OFFSET_MS;
        late.retain(|write| {
            if write.at <= now {
                table.write(&write.rows);
            }
            write.at > now
        });
        for host in 0..HOSTS {
            if rng.random_ratio(1, 400) {
                cut_until[host] = now + Duration::from_millis(rng.random_range(500..16_000));
            }
            if rng.random_ratio(1, 600) {
                paused_until[host] = now + Duration::from_millis(rng.random_range(500..20_000));
            }
            if rng.random_ratio(1, 800) {
                books[host] = fresh(host);
            }
            if paused_until[host] > now {
                continue;
            }
            let book = &mut books[host];
            if let Some(fence) = book.fence(ENGINE, now) {
                orders.push((now, host, fence));
            }
            let is_cut = cut_until[host] > now;
            // An answer may be up to 300 ms old when it is read.
            let sent_at = now.saturating_sub(Duration::from_millis(rng.random_range(0..300)));
            match book.next(now) {
                LeaseNext::Read if is_cut => book.on_read_failed(now, rng.random()),
                LeaseNext::Read => {
                    let rows = table.rows.values().cloned().collect();
                    book.on_read(rows, shown_ms, sent_at, now);
                }
                LeaseNext::Write(_) if is_cut && rng.random_bool(0.5) => book.on_write_failed(),
                LeaseNext::Write(rows) if is_cut || rng.random_ratio(1, 8) => {
                    // The write is done now or later, and its answer is lost.
                    let after = Duration::from_millis(rng.random_range(0..6_000));
                    late.push(Late { at: now + after, rows });
                    book.on_write_failed();
                }
                LeaseNext::Write(rows) => match table.write(&rows) {
                    Some(revision) => book.on_written(rows, revision, shown_ms, sent_at, now),
                    None => book.on_write_failed(),
                },
                LeaseNext::Wait(_) => {}
            }
        }
    }
    orders
}

/// Returns the first turn between two holders that came too soon or with a lower fence.
fn broken(orders: &[(Duration, usize, u64)]) -> Option<String> {
    let mut last: BTreeMap<usize, Duration> = BTreeMap::new();
    let mut fence_max: (u64, usize) = (0, 0);
    for (at, host, fence) in orders {
        for (other, seen) in &last {
            if other != host && *at < *seen + REST {
                return Some(format!("host {host} at {at:?}, host {other} at {seen:?}"));
            }
        }
        if *fence < fence_max.0 || (*fence == fence_max.0 && *host != fence_max.1) {
            return Some(format!("host {host} has fence {fence} after {fence_max:?}"));
        }
        fence_max = (*fence, *host);
        last.insert(*host, *at);
    }
    None
}

#[test]
fn one_holder_in_ten_thousand_interleavings() {
    for seed in 0..10_000 {
        if let Some(turn) = broken(&play(seed, TIMES)) {
            panic!("seed {seed}: {turn}");
        }
    }
}

#[test]
fn without_the_rest_between_holders_it_breaks() {
    let times = LeaseTimes { quarantine: Duration::ZERO, ..TIMES };
    assert!((0..500).any(|seed| broken(&play(seed, times)).is_some()));
}

#[test]
fn engines_are_owned_most_of_the_time() {
    let ticks: usize = (0..200).map(|seed| play(seed, TIMES).len()).sum();
    assert!(ticks > 200 * 1_600 / 2, "owned in {ticks} of {} ticks", 200 * 1_600);
}

#[test]
fn a_restarted_process_takes_its_own_engines_back_at_once() {
    let address = "10.0.0.1:80".parse().unwrap();
    let row = LeaseRow {
        engine: ENGINE.into(),
        holder: "host-0".into(),
        address,
        zone: "north".into(),
        until_ms: STORE_OFFSET_MS + 60_000,
        revision: 7,
    };
    let mut book = LeaseBook::new("host-0".into(), address, "north".into(), TIMES);
    book.set_engines(BTreeMap::from([(ENGINE.into(), true)]));
    let now = Duration::from_millis(100);
    assert_eq!(book.next(now), LeaseNext::Read);
    book.on_read(vec![row], STORE_OFFSET_MS, now, now);
    assert!(matches!(book.next(now), LeaseNext::Write(rows) if rows[0].revision == 7));
}
