//! Each entry host's share of the retry budget of a service.
//!
//! When a service fails or rejects requests everywhere, every host retries at once, and each host
//! knows only its own retries. The retries to a service are bounded over all hosts by a share of
//! the requests plus a fixed slack. Each host therefore applies the share to its own requests and
//! uses its part of the slack.

use guavaspread_placement::RetryBudget;

/// Fraction of the share that a host uses. The rest covers hosts that are not visible yet, and
/// slack parts that are rounded up to one retry.
const USABLE_FRACTION: f64 = 0.9;
/// Estimated number of hosts per visible lease holder; others have started since the leases were
/// read.
const HOSTS_PER_LEASE_HOLDER: f64 = 1.25;
/// Minimum number of hosts that the slack is divided among; spare hosts may start at any time.
const HOSTS_MIN: f64 = 16.0;

/// Creates one host's retry budget for a service, given the number of hosts with leases.
pub fn host_retry_budget(share: f64, slack: f64, holders: usize) -> RetryBudget {
    RetryBudget::new(share * USABLE_FRACTION, host_retry_slack(slack, holders))
}

/// Returns one host's part of the slack, at least one retry.
pub fn host_retry_slack(slack: f64, holders: usize) -> f64 {
    let hosts = (holders as f64 * HOSTS_PER_LEASE_HOLDER).max(HOSTS_MIN);
    (slack / hosts).max(1.0)
}
