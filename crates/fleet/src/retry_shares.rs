//! Each entry host's share of the retry budgets of the services.
//!
//! When a service fails or rejects requests everywhere, every host retries at once, and each host
//! knows only its own retries. The retries to a service are bounded over all hosts, in a window of
//! time, by a share of the requests plus a fixed slack. Each host therefore applies the share to its
//! own requests and uses its part of the slack.
//!
//! A host that does not know yet how many hosts there are uses none of the slack. One that replaces
//! a process which may have used its part within the window waits until the window is over:
//! otherwise each restart of many hosts would grant the whole slack again.

use guavaspread_placement::RetryBudget;

use crate::prelude::*;

/// Fraction of the share that a host uses. The rest covers hosts that are not visible yet, and
/// slack parts that are rounded up to one retry.
const USABLE_FRACTION: f64 = 0.9;
/// Estimated number of hosts per visible lease holder; others have started since the leases were
/// read.
const HOSTS_PER_LEASE_HOLDER: f64 = 1.25;
/// Minimum number of hosts that the slack is divided among; spare hosts may start at any time.
const HOSTS_MIN: f64 = 16.0;
/// The window in which the retries of all hosts are bounded, `budget_window_s` of the sites.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// One host's retry budgets, by service.
#[derive(Debug)]
pub struct RetryShares {
    share: f64,
    slack: f64,
    /// The number of hosts with leases; `None` until the leases were read.
    holders: Option<usize>,
    /// When this host may use its part of the slack; `None` until the leases were read.
    slack_from: Option<Duration>,
    has_slack: bool,
    budgets: HashMap<Arc<str>, RetryBudget>,
}

impl RetryShares {
    /// Creates the budgets of a host that has just started.
    pub fn new(share: f64, slack: f64) -> Self {
        RetryShares {
            share,
            slack,
            holders: None,
            slack_from: None,
            has_slack: false,
            budgets: HashMap::new(),
        }
    }

    /// Applies changed settings.
    pub fn set_limits(&mut self, share: f64, slack: f64) {
        (self.share, self.slack) = (share, slack);
        self.update_limits();
    }

    /// Records the number of hosts with leases. `predecessor_age` is how long ago an earlier process
    /// of this host ended, which matters at the first call.
    pub fn on_holders(&mut self, holders: usize, predecessor_age: Option<Duration>, now: Duration) {
        if self.slack_from.is_none() {
            let wait = predecessor_age.map(|age| RETRY_WINDOW.saturating_sub(age));
            self.slack_from = Some(now + wait.unwrap_or_default());
        }
        if self.holders.replace(holders) != Some(holders) {
            self.update_limits();
        }
    }

    /// Counts a request to a service, which adds the share of a retry.
    pub fn on_request(&mut self, service: &Arc<str>, now: Duration) {
        self.budget(service, now).on_request();
    }

    /// Takes one retry from the budget of a service; returns `false` if none is left.
    pub fn try_take(&mut self, service: &Arc<str>, now: Duration) -> bool {
        self.budget(service, now).try_take()
    }

    fn budget(&mut self, service: &Arc<str>, now: Duration) -> &mut RetryBudget {
        if !self.has_slack && self.slack_from.is_some_and(|from| now >= from) {
            self.has_slack = true;
            self.budgets.values_mut().for_each(RetryBudget::fill);
        }
        let (share, tokens_max) = (self.usable_share(), self.tokens_max());
        let has_slack = self.has_slack;
        self.budgets.entry(service.clone()).or_insert_with(|| match has_slack {
            true => RetryBudget::new(share, tokens_max),
            false => RetryBudget::empty(share, tokens_max),
        })
    }

    fn update_limits(&mut self) {
        let (share, tokens_max) = (self.usable_share(), self.tokens_max());
        self.budgets.values_mut().for_each(|budget| budget.set_limits(share, tokens_max));
    }

    fn usable_share(&self) -> f64 {
        self.share * USABLE_FRACTION
    }

    /// Returns this host's part of the slack, at least one retry.
    fn tokens_max(&self) -> f64 {
        let Some(holders) = self.holders else { return 1.0 };
        let hosts = (holders as f64 * HOSTS_PER_LEASE_HOLDER).max(HOSTS_MIN);
        (self.slack / hosts).max(1.0)
    }
}
