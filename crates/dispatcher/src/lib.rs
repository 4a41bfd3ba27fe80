//! # guavaspread dispatcher
//!
//! A dispatcher owns engines: it queues requests for them, fills their batches,
//! loads and evicts their adapters, and relays their responses.
//!
//! A single request thread handles all requests for the engines that this host
//! owns. The control thread watches the platform and renews the ownership leases.
//! The request thread reads immutable snapshots and requests permission from
//! the control thread to evict an adapter.
//!
//! | to | use |
//! |---|---|
//! | run a dispatcher | [`run()`] |

mod control;
mod dispatcher;
mod engine_dispatcher;
mod lease_manager;
mod metrics;
mod prelude;
mod run;
mod server;

pub use server::run;
