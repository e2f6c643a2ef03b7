//! Rate limit that a replica announces in its responses, as one gateway knows
//! it. Performs no I/O.

use std::time::{Duration, Instant};

use gg_ledger::LimitReport;

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
    /// When the next permit is due, as far as known.
    next_permit: Option<Instant>,
}

impl RateLimit {
    /// Requests per second that the replica takes from all gateways together.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// The limit as reported to the issuers of permits.
    pub fn report(&self, now: Instant) -> LimitReport {
        let age = self.observed_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        LimitReport { rate: self.rate, age_ms: age.as_millis() as u64 }
    }

    /// Expected wait for a permit; zero without a limit.
    pub fn permit_wait(&self, now: Instant) -> Duration {
        let next_permit = self.next_permit.filter(|_| self.rate.is_some());
        next_permit.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    /// Records when the next permit is due.
    pub fn record_next_permit(&mut self, at: Instant) {
        self.next_permit = Some(at);
    }

    /// Records what another gateway observed, unless a more recent observation
    /// is known.
    pub fn record_report(&mut self, report: LimitReport, now: Instant) -> Option<LimitChange> {
        let observed_at = now.checked_sub(Duration::from_millis(report.age_ms))?;
        if self.observed_at.is_some_and(|at| observed_at <= at) {
            return None;
        }
        self.set(report.rate, observed_at)
    }

    /// Records that another gateway has observed the end of the limit.
    pub fn record_end(&mut self, now: Instant) -> Option<LimitChange> {
        self.set(None, now)
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
        self.set(rate, now)
    }

    fn set(&mut self, rate: Option<f64>, observed_at: Instant) -> Option<LimitChange> {
        self.observed_at = Some(observed_at);
        match (std::mem::replace(&mut self.rate, rate), rate) {
            (None, Some(to)) => Some(LimitChange::Learned(to)),
            (Some(from), Some(to)) if from != to => Some(LimitChange::Changed { from, to }),
            (Some(from), None) => Some(LimitChange::Ended(from)),
            _ => None,
        }
    }
}
