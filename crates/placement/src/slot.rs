//! The adapter slots of an engine and the eviction policy.

use std::time::Duration;

use guavaspread_model::AdapterVersion;

/// The state of an adapter slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// A load of the adapter is in flight.
    Loading,
    /// The adapter is loaded; requests may run on it.
    Ready,
    /// An eviction of the adapter is in flight or about to be sent.
    Evicting,
}

/// One adapter slot of an engine.
#[derive(Clone, Debug)]
pub struct Slot {
    /// The adapter in the slot.
    pub adapter: AdapterVersion,
    /// The state of the adapter.
    pub state: SlotState,
    /// The number of requests that run on the adapter.
    pub running: u32,
    /// When the last request started, or when the load finished.
    pub used_at: Duration,
    /// Whether the adapter is kept loaded regardless of its demand.
    pub pinned: bool,
}

impl Slot {
    /// Returns whether the adapter may be evicted.
    pub fn is_evictable(&self) -> bool {
        self.state == SlotState::Ready && self.running == 0 && !self.pinned
    }
}

/// An eviction policy: the slot with the lowest value is evicted first.
pub trait EvictionPolicy {
    /// Returns the value of keeping a slot; `demand` is in requests per second.
    fn retention_value(&self, slot: &Slot, demand: f64, now: Duration) -> f64;
}

/// The default eviction policy: evicts the adapter with the lowest demand.
#[derive(Clone, Copy, Debug, Default)]
pub struct LowestDemand;

impl EvictionPolicy for LowestDemand {
    fn retention_value(&self, _slot: &Slot, demand: f64, _now: Duration) -> f64 {
        demand
    }
}
