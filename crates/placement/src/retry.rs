//! A budget for retries, as a share of first attempts.

/// Allows retries up to a share of the requests seen.
///
/// A token bucket that each request fills by `share`: while everything fails, the
/// backend servers see at most `1 + share` times the callers' load.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    share: f64,
    tokens_max: f64,
}

impl RetryBudget {
    /// Makes a full budget of `tokens_max` retries that refills by `share` a request.
    pub fn new(share: f64, tokens_max: f64) -> Self {
        RetryBudget { tokens: tokens_max, share, tokens_max }
    }

    /// Changes how many retries it holds at most.
    pub fn set_max(&mut self, tokens_max: f64) {
        self.tokens_max = tokens_max;
        self.tokens = self.tokens.min(tokens_max);
    }

    /// Counts a first attempt.
    pub fn on_request(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.tokens_max);
    }

    /// Takes one retry out of the budget, or tells that none is left.
    pub fn try_retry(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
