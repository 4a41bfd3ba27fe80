//! # guavaspread gateway
//!
//! A gateway serves callers and operators over HTTP. It validates a request
//! against the configuration, chooses an engine, sends the request to the
//! dispatcher that owns the engine, and returns one complete response or a
//! numbered refusal.
//!
//! The control thread watches the platform and the dispatchers. Each request
//! thread has its own worker and reads immutable snapshots.
//!
//! | to | use |
//! |---|---|
//! | run a gateway | [`run`] |

mod api;
mod attempt;
mod completion;
mod control;
mod delivery;
mod idempotency;
mod metrics;
mod operator;
mod prelude;
mod problem;
mod quarantine;
mod routing_state;
mod server;
mod service;
mod tables;
mod worker;

pub use server::run;
