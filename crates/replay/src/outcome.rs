//! Results of a replay.

use serde::Serialize;

/// Results of a replay under one policy.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Outcome {
    /// Name of the policy.
    pub policy: String,
    /// Number of requests.
    pub requests: u64,
    /// Share of requests whose adapter was not ready.
    pub stall_share: f64,
    /// 95th percentile of the time from arrival to start, in milliseconds.
    pub wait_p95_ms: u64,
    /// Average share of the batch in use while an engine was busy.
    pub batch_efficiency: f64,
    /// Number of rejected requests.
    pub refused: u64,
    /// Number of responses that ended after their deadline.
    pub late: u64,
    /// Worth of the responses that ended by their deadline, as a share of the total worth.
    pub worth_share: f64,
    /// Number of adapter loads.
    pub loads: u64,
}
