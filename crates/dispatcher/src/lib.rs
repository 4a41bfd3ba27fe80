//! # guavaspread dispatcher
//!
//! The process that owns engines: it queues their requests, fills their batches,
//! loads and evicts their adapters, and relays the answers.
//!
//! One thread carries all traffic of the engines that this host owns; the control
//! thread follows the platform and keeps the ownerships. Traffic reads immutable
//! snapshots and asks the control thread for the right to evict.
//!
//! | to | reach for |
//! |---|---|
//! | run a dispatcher | [`run`] |

mod control;
mod desk;
mod leases;
mod metrics;
mod office;
mod prelude;
mod run;
mod server;

pub use server::run;
