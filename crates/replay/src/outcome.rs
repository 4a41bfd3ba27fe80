//! What came of a replay.

use serde::Serialize;

/// Sums up a replay.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Outcome {
    /// The policy.
    pub policy: String,
    /// Requests.
    pub requests: u64,
    /// Requests that found their adapter not ready, as a share of all.
    pub stall_share: f64,
    /// How long a request waited for its start, 95th of 100, in milliseconds.
    pub wait_p95_ms: u64,
    /// How full the batches were while they ran, as a share.
    pub batch_efficiency: f64,
    /// Requests refused.
    pub refused: u64,
    /// Answers that ended past their deadline.
    pub late: u64,
    /// The worth of the answers in time, as a share of all worth.
    pub worth_share: f64,
    /// Adapter loads.
    pub loads: u64,
}
