//! # guavaspread telemetry
//!
//! Logs as JSON lines and a trace span for each hop.
//!
//! | to | reach for |
//! |---|---|
//! | start logging | [`start_logs`] |
//! | export spans to an OTLP collector | [`start_traces`] |
//! | continue a caller's trace | [`adopt`], [`traceparent`] |

mod logs;
mod traces;

pub use logs::{Error, LogHandle, Result, start_logs};
pub use traces::{TraceHandle, adopt, start_traces, traceparent};
