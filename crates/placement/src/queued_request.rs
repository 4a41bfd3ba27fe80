//! The requests in an engine's queue and the actions that the queue returns.

use std::time::Duration;

use guavaspread_model::{AdapterVersion, Priority, Refusal};
use slotmap::new_key_type;

new_key_type! {
    /// Identifies a waiting or running request.
    pub struct QueuedRequestKey;
}

/// A request in the queue of an engine.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// The requested adapter.
    pub adapter: AdapterVersion,
    /// When the request arrived.
    pub arrived_at: Duration,
    /// The deadline of the response.
    pub deadline: Duration,
    /// The value of a completed request, from the request class.
    pub worth: u32,
    /// The scheduling priority.
    pub priority: Priority,
    /// Whether the request must run without others, because it may crash the engine.
    pub exclusive: bool,
}

/// The limits of one engine.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    /// The number of adapter slots.
    pub slots: usize,
    /// The maximum number of running requests.
    pub batch: usize,
    /// The maximum number of waiting requests.
    pub waiting_max: usize,
    /// The maximum number of concurrent adapter loads.
    pub concurrent_loads_max: usize,
    /// The estimated load time until the first load has been measured.
    pub initial_load_time: Duration,
}

/// The action that the owner of the engine must perform next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueueAction {
    /// Start the request on the engine.
    Start(QueuedRequestKey),
    /// Load the adapter.
    Load(AdapterVersion),
    /// Evict the adapter.
    Evict(AdapterVersion),
    /// Refuse the request; it did not run.
    Refuse(QueuedRequestKey, Refusal),
    /// Wait until an event is reported or the given time is reached.
    Wait(Option<Duration>),
}
