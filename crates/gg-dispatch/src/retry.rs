//! Retry budget: limits retries to a share of successful requests.

/// Token bucket for retries, filled by successful requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    share: f64,
    max: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget::new(0.2, 20.0)
    }
}

impl RetryBudget {
    /// Creates a full budget that earns `share` of a retry for each success,
    /// up to `max` retries.
    pub fn new(share: f64, max: f64) -> Self {
        RetryBudget { tokens: max, share, max }
    }

    /// Records a success.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.max);
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
