//! # guavaspread placement
//!
//! Chooses an engine for each request, the adapters that an engine keeps loaded
//! and the order in which its requests run. The crate has no clock and performs no
//! I/O: callers pass the time and perform the returned [`QueueAction`], so the
//! daemons, the replay tool and the tests run the same code.
//!
//! | task | items |
//! |---|---|
//! | manage one engine's queue, batch and adapter slots | [`EngineQueue`], [`QueueAction`] |
//! | choose an engine for a request | [`Router`], [`Route`] |
//! | trade load stalls against full batches | [`Policy`], [`Preset`] |
//! | track demand | [`Demand`], [`DemandMap`] |
//! | replace the eviction policy | [`EvictionPolicy`] |
//! | limit retries | [`RetryBudget`] |
//!
//! Times are durations since an arbitrary epoch, which must be the same for all
//! calls to one value.

mod demand;
mod policy;
mod queue;
mod queued_request;
mod retry_budget;
mod router;
mod slot;

pub use demand::{Demand, DemandMap};
pub use policy::{Policy, Preset};
pub use queue::EngineQueue;
pub use queued_request::{QueueAction, QueueLimits, QueuedRequest, QueuedRequestKey};
pub use retry_budget::RetryBudget;
pub use router::{EngineKey, EngineView, Route, Router, adapter_hash};
pub use slot::{EvictionPolicy, LowestDemand, Slot, SlotState};
