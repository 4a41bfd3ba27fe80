//! # guavaspread gateway
//!
//! The process that callers and operators talk to over HTTP: it checks a request
//! against the configuration, chooses an engine, passes the request to the
//! dispatcher that owns the engine, and answers once and whole or with a
//! numbered refusal.
//!
//! The control thread follows the platform and the dispatchers; each traffic
//! thread has a worker of its own and reads immutable
//! snapshots.
//!
//! | to | reach for |
//! |---|---|
//! | run a gateway | [`run`] |

mod api;
mod attempt;
mod board;
mod completion;
mod control;
mod deliver;
mod metrics;
mod once;
mod operator;
mod prelude;
mod quarantine;
mod respond;
mod server;
mod service;
mod tables;
mod worker;

pub use server::run;
