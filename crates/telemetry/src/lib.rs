//! # guavaspread telemetry
//!
//! Logs as JSON lines, and trace spans for each hop of a request.
//!
//! | task | API |
//! |---|---|
//! | start logging | [`start_logs`] |
//! | log to standard output without blocking | [`start_nonblocking_logs`] |
//! | export spans to an OTLP collector | [`start_traces`] |
//! | propagate a caller's trace | [`set_remote_parent`], [`traceparent_of`] |

mod logs;
mod queue_writer;
#[cfg(feature = "traces")]
mod traces;

pub use logs::{Error, LogHandle, Result, start_logs};
pub use queue_writer::{JSON_TARGET, QueueWriter, start_nonblocking_logs};
#[cfg(feature = "traces")]
pub use traces::{TraceHandle, set_remote_parent, start_traces, traceparent_of};
