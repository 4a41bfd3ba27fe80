//! Choice of a server of a service without models, by load, pace and zone.

use guavaspread_model::content_hash;

use super::candidate::Candidate;
use super::zone_choice::{ZoneChoice, choose_zone};
use super::{Pick, Placement, PlacementKey, ServerFilter};
use crate::prelude::*;

/// Cost of a server in another zone, as a fraction of its slots; applies to services without
/// models.
const CROSS_ZONE_COST: f64 = 0.5;
/// The salt of the draw whether a request leaves its zone; the draws of servers have lower ones.
const ZONE_DRAW: u64 = SAMPLE_SIZE as u64;
/// Servers that are compared where servers state their pace.
const SAMPLE_SIZE: usize = 2;

/// Returns a number from 0 to below 1 that the seed determines.
pub(super) fn unit_draw(seed: [u64; 3]) -> f64 {
    let bytes: Vec<u8> = seed.iter().flat_map(|part| part.to_le_bytes()).collect();
    // The 53 bits that a float holds; all 64 would round up to 1.
    (content_hash(&bytes) >> 11) as f64 / (1_u64 << 53) as f64
}

impl Placement {
    /// Chooses a server of a service without models, excluding the servers already tried.
    pub fn pick_server<'a>(
        &self,
        servers: impl Into<ServerFilter<'a>>,
        tried: &[Arc<str>],
        now: Duration,
    ) -> Pick {
        let servers = servers.into();
        let available = self.available(servers, tried, now);
        if available.iter().any(|key| self.candidates.get(*key).is_some_and(Candidate::states_pace))
        {
            let chosen = self.within_zone_choice(available, now);
            return self.cheapest(self.sample_by_pace(chosen, now), |c| c.cost(now), servers, now);
        }
        let cost = |c: &Candidate| {
            let zone_cost = if c.server.zone == self.zone { 0.0 } else { CROSS_ZONE_COST };
            c.cost(now) + zone_cost
        };
        self.cheapest(available, cost, servers, now)
    }

    /// Returns the servers of the own zone, or those of the others if the request leaves it.
    fn within_zone_choice(&self, keys: Vec<PlacementKey>, now: Duration) -> Vec<PlacementKey> {
        let is_here = |key: &PlacementKey| {
            self.candidates.get(*key).is_some_and(|c| c.server.zone == self.zone)
        };
        let (here, elsewhere): (Vec<_>, Vec<_>) = keys.into_iter().partition(is_here);
        let shortest = |keys: &[PlacementKey]| {
            let times =
                keys.iter().filter_map(|key| Some(self.candidates.get(*key)?.expected_time(now)));
            times.min_by(f64::total_cmp)
        };
        let draw = self.draw(ZONE_DRAW);
        let crossing = self.zone_crossing_cost;
        match choose_zone(shortest(&here), shortest(&elsewhere), crossing, draw) {
            ZoneChoice::Stay => here,
            ZoneChoice::Leave => {
                self.left_zone.set(self.left_zone.get() + 1);
                elsewhere
            }
        }
    }

    /// Returns a number from 0 to below 1 for this choice, another one for each salt.
    fn draw(&self, salt: u64) -> f64 {
        unit_draw([self.draw_seed, self.rotation.get() as u64, salt])
    }

    /// Returns the number of choices that left the zone.
    pub fn left_zone_count(&self) -> u64 {
        self.left_zone.get()
    }

    /// Sets what a crossing to another zone costs, in times of a usual request, and a number in which
    /// the hosts differ, so that they draw differently.
    pub fn set_zone_crossing(&mut self, cost: f64, draw_seed: u64) {
        (self.zone_crossing_cost, self.draw_seed) = (cost, draw_seed);
    }

    /// Returns two of the servers, drawn in proportion to their speed; all, unless they state it.
    ///
    /// All hosts learn that a server is fast at about the same time, and would all send to it before
    /// its load shows.
    fn sample_by_pace(&self, keys: Vec<PlacementKey>, now: Duration) -> Vec<PlacementKey> {
        let weights: Vec<f64> = keys
            .iter()
            .map(|key| self.candidates.get(*key).map_or(0.0, |c| 1.0 / c.pace(now)))
            .collect();
        if keys.len() <= SAMPLE_SIZE || weights.iter().all(|weight| *weight == 1.0) {
            return keys;
        }
        let draw = |salt: u64| {
            let mut rest = self.draw(salt) * weights.iter().sum::<f64>();
            let at = weights.iter().position(|weight| {
                rest -= weight;
                rest < 0.0
            });
            keys.get(at.unwrap_or(0)).copied()
        };
        (0..SAMPLE_SIZE as u64).filter_map(draw).collect()
    }
}
