//! One adapter slot of an engine.

use std::time::Duration;

use guavaspread_model::AdapterVersion;

/// Tells what a slot's adapter is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// The engine was ordered to load it.
    Loading,
    /// Requests may run on it.
    Ready,
    /// The engine was ordered to unload it, or is about to be.
    Evicting,
}

/// Holds one adapter of an engine.
#[derive(Clone, Debug)]
pub struct Slot {
    /// The adapter.
    pub adapter: AdapterVersion,
    /// What it is doing.
    pub state: SlotState,
    /// Requests that run on it.
    pub running: u32,
    /// When a request last started or the load ended.
    pub used_at: Duration,
    /// Whether it is kept whatever its demand.
    pub pinned: bool,
}

impl Slot {
    /// Tells whether the slot may be given to another adapter.
    pub fn is_evictable(&self) -> bool {
        self.state == SlotState::Ready && self.running == 0 && !self.pinned
    }
}

/// Values what a slot holds; the slot of the least value is given up first.
pub trait Keeper {
    /// Returns the value of a slot whose adapter has this demand, in requests a second.
    fn value(&self, slot: &Slot, demand: f64, now: Duration) -> f64;
}

/// Values a slot by the demand for its adapter.
#[derive(Clone, Copy, Debug, Default)]
pub struct ByDemand;

impl Keeper for ByDemand {
    fn value(&self, _slot: &Slot, demand: f64, _now: Duration) -> f64 {
        demand
    }
}
