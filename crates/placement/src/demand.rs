//! Demand for adapters, as an exponentially decayed event count.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

/// An event count that decays by half every half-life.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    count: f64,
    updated_at: Duration,
}

impl Demand {
    /// Adds `weight` events at `now`.
    pub fn add(&mut self, now: Duration, half_life: Duration, weight: f64) {
        self.count = self.count(now, half_life) + weight;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the decayed count at `now`.
    pub fn count(&self, now: Duration, half_life: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.count * (-age / half_life.as_secs_f64()).exp2()
    }

    /// Returns the event rate that corresponds to the count at `now`, in events per second.
    ///
    /// Under a constant rate `r` the count converges to `r * half_life / ln 2`.
    pub fn rate(&self, now: Duration, half_life: Duration) -> f64 {
        self.count(now, half_life) * std::f64::consts::LN_2 / half_life.as_secs_f64()
    }
}

/// Tracks the demand of many keys in bounded memory.
#[derive(Clone, Debug)]
pub struct DemandMap<K> {
    entries: HashMap<K, Demand>,
    half_life: Duration,
    entries_max: usize,
}

impl<K: Clone + Eq + Hash> DemandMap<K> {
    /// Creates an empty map that evicts keys of low demand once it holds `entries_max` keys.
    pub fn new(half_life: Duration, entries_max: usize) -> Self {
        DemandMap { entries: HashMap::new(), half_life, entries_max }
    }

    /// Adds one event for `key`.
    pub fn add(&mut self, key: &K, now: Duration) {
        if self.entries.len() >= self.entries_max && !self.entries.contains_key(key) {
            self.evict_cold_keys(now);
        }
        self.entries.entry(key.clone()).or_default().add(now, self.half_life, 1.0);
    }

    /// Raises the count of `key` to `count` if it is lower.
    pub fn raise_to(&mut self, key: &K, now: Duration, count: f64) {
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

    /// Returns the event rate of `key`, in events per second.
    pub fn rate(&self, key: &K, now: Duration) -> f64 {
        self.entries.get(key).map_or(0.0, |demand| demand.rate(now, self.half_life))
    }

    /// Returns the number of tracked keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is tracked.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Iterates over the tracked keys and their counts at `now`.
    pub fn iter(&self, now: Duration) -> impl Iterator<Item = (&K, f64)> {
        self.entries.iter().map(move |(key, demand)| (key, demand.count(now, self.half_life)))
    }

    /// Removes the keys whose count does not exceed the median.
    fn evict_cold_keys(&mut self, now: Duration) {
        let half_life = self.half_life;
        let mut counts: Vec<f64> =
            self.entries.values().map(|demand| demand.count(now, half_life)).collect();
        let middle = counts.len() / 2;
        let (_, median, _) = counts.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        self.entries.retain(|_, demand| demand.count(now, half_life) > median);
    }
}
