//! A retry budget in proportion to first attempts.

/// A token bucket that allows retries up to a fraction of the first attempts.
///
/// Each first attempt adds `share` tokens and each retry takes one. If all attempts fail, the
/// backend servers receive at most `1 + share` times the load of the clients in the long run.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    share: f64,
    tokens_max: f64,
}

impl RetryBudget {
    /// Creates a full budget of `tokens_max` retries that each first attempt refills by `share`.
    pub fn new(share: f64, tokens_max: f64) -> Self {
        RetryBudget { tokens: tokens_max, share, tokens_max }
    }

    /// Creates a budget without retries.
    pub fn empty(share: f64, tokens_max: f64) -> Self {
        RetryBudget { tokens: 0.0, share, tokens_max }
    }

    /// Sets the share and the maximum number of retries in the budget.
    pub fn set_limits(&mut self, share: f64, tokens_max: f64) {
        self.share = share;
        self.tokens_max = tokens_max;
        self.tokens = self.tokens.min(tokens_max);
    }

    /// Fills the budget up to its maximum.
    pub fn fill(&mut self) {
        self.tokens = self.tokens_max;
    }

    /// Records a first attempt, which adds `share` tokens.
    pub fn on_request(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.tokens_max);
    }

    /// Takes one retry from the budget; returns `false` if none is left.
    pub fn try_take(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
