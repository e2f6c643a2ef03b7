//! Retry budget: retries may add only a share to the work that succeeds.

/// Retries allowed as a share of successes.
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
    /// A budget that earns `share` of a retry for each success, up to `max`.
    pub fn new(share: f64, max: f64) -> Self {
        RetryBudget { tokens: max, share, max }
    }

    /// Notes a success.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.max);
    }

    /// Takes a retry if there is one left.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
