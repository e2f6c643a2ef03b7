//! Bounds of the request rates of client accounts, and the credit that keeps to
//! them. Performs no I/O.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Number of instances that issue the credit of an account, in equal parts.
pub const CREDIT_ISSUERS: usize = 3;

/// Part of the burst that is earned over a window, as it may be used again in each.
/// The rest may be granted at once.
const BURST_EARNED_SHARE: f64 = 0.5;

/// Part of the slack that may be granted at once after a pause.
const DEPTH_SLACK_SHARE: f64 = 0.6;

/// Part of the slack that new issuers grant before they have earned any credit.
/// The rest covers requests that reach their upstream later than others.
const START_SLACK_SHARE: f64 = 0.3;

/// Part of the overage that the lifetime of credit takes. The rest covers an
/// issuer that grants beside its successor.
const LEASE_OVERAGE_SHARE: f64 = 0.5;

/// Shortest and longest lifetime of credit. It has to outlast a reply from the
/// issuer and the choice of a replica.
const LEASE_RANGE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// Credit that each issuer holds at least when it is full, if the account has so
/// much. With less, an issuer could rarely grant a whole request.
const ISSUER_DEPTH_MIN: f64 = 2.0;

/// What requests of an account may arrive at upstreams in any window: `(rate *
/// window + burst) * (1 + overage) + slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window.
    pub window: Duration,
    /// Requests allowed beyond the limit, as a share of it.
    pub overage: f64,
    /// Requests allowed beyond that.
    pub slack: f64,
}

/// Credit that all issuers of an account may grant together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CreditLimit {
    /// Version of the configuration that holds the limit.
    pub version: u64,
    /// Requests per second.
    pub rate: f64,
    /// Requests that may be granted at once after a pause.
    pub depth: f64,
    /// Requests that issuers may grant at once when they start.
    pub start: f64,
}

impl QuotaBounds {
    /// Time after the request for it until credit is void.
    pub fn lease(&self) -> Duration {
        let overage = self.overage.max(0.0) * LEASE_OVERAGE_SHARE;
        self.window.mul_f64(overage).clamp(LEASE_RANGE.0, LEASE_RANGE.1)
    }

    /// Credit for an account with this many requests per second and this burst.
    /// What is granted in a window and a lease before it may arrive within the
    /// window, so `rate * (window + lease) + depth + start` keeps to the bound.
    pub fn limit(&self, version: u64, per_second: f64, burst: f64) -> CreditLimit {
        let (window, lease) = (self.window.as_secs_f64(), self.lease().as_secs_f64());
        let allowed = 1.0 + self.overage;
        let factor = (allowed * window / (window + lease)).min(1.0);
        let earned = BURST_EARNED_SHARE * burst / window;
        let at_once = allowed * burst - earned * factor * (window + lease);
        CreditLimit {
            version,
            rate: (per_second + earned) * factor,
            depth: (at_once + DEPTH_SLACK_SHARE * self.slack).max(1.0),
            start: START_SLACK_SHARE * self.slack,
        }
    }
}

impl CreditLimit {
    /// Number of the account's issuers, of `available` ones.
    pub fn issuers(&self, available: usize) -> usize {
        let wanted = (self.depth / ISSUER_DEPTH_MIN) as usize;
        wanted.clamp(1, CREDIT_ISSUERS).min(available)
    }

    /// The part of one of `issuers`.
    pub(crate) fn part(&self, issuers: usize) -> Self {
        let share = 1.0 / issuers.max(1) as f64;
        CreditLimit {
            version: self.version,
            rate: self.rate * share,
            depth: (self.depth * share).max(1.0),
            start: self.start * share,
        }
    }
}
