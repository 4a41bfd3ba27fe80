//! What goes into an engine's queue and what comes out.

use std::time::Duration;

use guavaspread_model::{AdapterVersion, Priority, Refusal};
use slotmap::new_key_type;

new_key_type! {
    /// Identifies a request in the queue or the batch.
    pub struct TicketKey;
}

/// Describes a request to the queue.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// The adapter that it named.
    pub adapter: AdapterVersion,
    /// When it arrived.
    pub arrived: Duration,
    /// When its answer is due.
    pub deadline: Duration,
    /// What an answer is worth.
    pub worth: u32,
    /// Which work goes first.
    pub priority: Priority,
    /// Whether nothing else may run beside it, because it may crash the engine.
    pub alone: bool,
}

/// Bounds one engine.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    /// Adapter slots.
    pub slots: usize,
    /// Requests in the batch.
    pub batch: usize,
    /// Requests that may wait.
    pub waiting: usize,
    /// Loads under way at once.
    pub loads: usize,
    /// How long a load is expected to take before one was seen.
    pub load_time: Duration,
}

/// Tells the owner what to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Start this request on the engine.
    Start(TicketKey),
    /// Order the engine to load this adapter.
    Load(AdapterVersion),
    /// Order the engine to unload this adapter.
    Evict(AdapterVersion),
    /// Refuse this request; it did not run.
    Refuse(TicketKey, Refusal),
    /// Nothing until something is reported or the moment comes.
    Wait(Option<Duration>),
}
