//! # guavaspread telemetry
//!
//! Logs as JSON lines, and trace spans for each hop of a request.
//!
//! | task | API |
//! |---|---|
//! | start logging | [`start_logs`] |
//! | log to standard output without blocking | [`start_bounded_logs`] |
//! | export spans to an OTLP collector | [`start_traces`] |
//! | propagate a caller's trace | [`adopt`], [`traceparent`] |

mod bounded;
mod logs;
#[cfg(feature = "traces")]
mod traces;

pub use bounded::{OBJECT_TARGET, QueueWriter, start_bounded_logs};
pub use logs::{Error, LogHandle, Result, start_logs};
#[cfg(feature = "traces")]
pub use traces::{TraceHandle, adopt, start_traces, traceparent};
