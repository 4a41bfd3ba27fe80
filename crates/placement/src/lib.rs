//! # guavaspread placement
//!
//! Decides where a request goes, which adapters an engine holds and in which
//! order its requests run. No clock and no I/O: callers pass the time and carry
//! out the [`Next`] that they get back, so that the daemons, the replay tool and
//! the tests drive the same code.
//!
//! | to | reach for |
//! |---|---|
//! | run one engine's queue, batch and slots | [`EngineQueue`], [`Next`] |
//! | choose an engine for a request | [`Router`], [`Route`] |
//! | weigh stalls against full batches | [`Policy`], [`Preset`] |
//! | follow demand | [`Demand`] |
//! | value slots otherwise | [`Keeper`] |
//! | bound retries | [`RetryBudget`] |
//!
//! Times are durations since any fixed moment, the same for all calls to a value.

mod demand;
mod policy;
mod queue;
mod retry;
mod route;
mod slot;
mod ticket;

pub use demand::{Demand, DemandMap};
pub use policy::{Policy, Preset};
pub use queue::EngineQueue;
pub use retry::RetryBudget;
pub use route::{EngineKey, EngineView, Route, Router, adapter_hash};
pub use slot::{ByDemand, Keeper, Slot, SlotState};
pub use ticket::{Next, QueueLimits, Ticket, TicketKey};
