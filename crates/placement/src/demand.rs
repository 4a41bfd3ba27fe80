//! Demand as an exponentially decayed count.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

/// Counts events, each worth half as much after every half-life.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    count: f64,
    at: Duration,
}

impl Demand {
    /// Adds `weight` events at `now`.
    pub fn add(&mut self, now: Duration, half_life: Duration, weight: f64) {
        self.count = self.count(now, half_life) + weight;
        self.at = self.at.max(now);
    }

    /// Returns the decayed count at `now`.
    pub fn count(&self, now: Duration, half_life: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.count * (-age / half_life.as_secs_f64()).exp2()
    }

    /// Returns the rate that would keep the count where it is, in events a second.
    ///
    /// A steady rate r settles at the count r * half-life / ln 2.
    pub fn rate(&self, now: Duration, half_life: Duration) -> f64 {
        self.count(now, half_life) * std::f64::consts::LN_2 / half_life.as_secs_f64()
    }
}

/// Follows the demand of many keys in bounded memory.
#[derive(Clone, Debug)]
pub struct DemandMap<K> {
    entries: HashMap<K, Demand>,
    half_life: Duration,
    entries_max: usize,
}

impl<K: Clone + Eq + Hash> DemandMap<K> {
    /// Makes an empty map that holds at most about `entries_max` keys.
    pub fn new(half_life: Duration, entries_max: usize) -> Self {
        DemandMap { entries: HashMap::new(), half_life, entries_max }
    }

    /// Adds one event for `key`.
    pub fn add(&mut self, key: &K, now: Duration) {
        if self.entries.len() >= self.entries_max && !self.entries.contains_key(key) {
            self.shrink(now);
        }
        self.entries.entry(key.clone()).or_default().add(now, self.half_life, 1.0);
    }

    /// Raises the count of `key` to `count` if it is lower.
    pub fn raise(&mut self, key: &K, now: Duration, count: f64) {
        let missing = count - self.count(key, now);
        if missing > 0.0 {
            let demand = self.entries.entry(key.clone()).or_default();
            demand.add(now, self.half_life, missing);
        }
    }

    /// Returns the decayed count of `key`.
    pub fn count(&self, key: &K, now: Duration) -> f64 {
        self.entries.get(key).map_or(0.0, |demand| demand.count(now, self.half_life))
    }

    /// Returns the demand of `key`, in events a second.
    pub fn rate(&self, key: &K, now: Duration) -> f64 {
        self.entries.get(key).map_or(0.0, |demand| demand.rate(now, self.half_life))
    }

    /// Returns the number of keys followed.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no key is followed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Lists the keys followed with their counts.
    pub fn iter(&self, now: Duration) -> impl Iterator<Item = (&K, f64)> {
        self.entries.iter().map(move |(key, demand)| (key, demand.count(now, self.half_life)))
    }

    /// Drops the colder half.
    fn shrink(&mut self, now: Duration) {
        let half_life = self.half_life;
        let mut counts: Vec<f64> =
            self.entries.values().map(|demand| demand.count(now, half_life)).collect();
        let middle = counts.len() / 2;
        let (_, median, _) = counts.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        self.entries.retain(|_, demand| demand.count(now, half_life) > median);
    }
}
