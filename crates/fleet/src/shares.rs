//! One host's part in what all entry hosts may spend together.
//!
//! Answers the pattern of a service that refuses or fails all over: every host then sends
//! requests again at once, and each knows only its own. What a service gets beyond the
//! first send of each request is bounded over all hosts, as a share of the requests and a
//! slack, so each host keeps to the share on its own requests and to its part of the slack.

use guavaspread_placement::RetryBudget;

/// Of the share of the requests, what is spent: the rest makes good for hosts that are not
/// seen, and for parts of the slack that are smaller than a whole send.
const SHARE_SPENT: f64 = 0.9;
/// Hosts for each that is seen: others have started since the leases were read.
const HOSTS_PER_HOLDER: f64 = 1.25;
/// The fewest hosts that the slack is divided among: spare ones may come at any moment.
const HOSTS_MIN: f64 = 16.0;

/// Makes a host's budget of repeated sends to a service, beside `holders` hosts with leases.
pub fn retry_budget(share: f64, slack: f64, holders: usize) -> RetryBudget {
    RetryBudget::new(share * SHARE_SPENT, slack_part(slack, holders))
}

/// Returns a host's part of the slack; it may always send once.
pub fn slack_part(slack: f64, holders: usize) -> f64 {
    let hosts = (holders as f64 * HOSTS_PER_HOLDER).max(HOSTS_MIN);
    (slack / hosts).max(1.0)
}
