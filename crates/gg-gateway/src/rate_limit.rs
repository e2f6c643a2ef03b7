//! Rate limit that a replica announces in its responses, as one gateway knows
//! it. Performs no I/O.

use std::time::Instant;

/// How a replica's rate limit changed, in requests per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The replica announces a limit.
    Learned(f64),
    /// The replica announces another limit than before.
    Changed {
        /// The former limit.
        from: f64,
        /// The new limit.
        to: f64,
    },
    /// The replica announces no limit any more.
    Ended(f64),
}

/// Last known rate limit of one incarnation of a replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimit {
    /// Requests per second from all gateways together; `None` without a limit.
    rate: Option<f64>,
    /// When that was last observed.
    observed_at: Option<Instant>,
}

impl RateLimit {
    /// Requests per second that the replica takes from all gateways together.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Records a response to a request that was sent at `sent_at`. A response
    /// without a limit ends the limit only if its request was sent after the
    /// limit was last announced: responses may overtake each other.
    pub fn record_response(
        &mut self,
        rate: Option<f64>,
        sent_at: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let is_overtaken = self.observed_at.is_some_and(|at| sent_at <= at);
        if rate.is_none() && is_overtaken {
            return None;
        }
        self.observed_at = Some(now);
        match (std::mem::replace(&mut self.rate, rate), rate) {
            (None, Some(to)) => Some(LimitChange::Learned(to)),
            (Some(from), Some(to)) if from != to => Some(LimitChange::Changed { from, to }),
            (Some(from), None) => Some(LimitChange::Ended(from)),
            _ => None,
        }
    }
}
