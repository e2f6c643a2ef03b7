//! Bounds that a deployment sets for client accounts. What is not set is off.

use std::time::Duration;

use crate::section::Section;

/// Longest time that can be set, in seconds: one day.
const TIME_MAX_S: f64 = 86_400.0;

/// Bounds for client accounts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AccountSettings {
    /// Time after the acknowledgement of a configuration from which no request
    /// runs whose key it took away, on any gateway; `None` if keys may be
    /// valid for longer on gateways without a current configuration.
    pub revocation: Option<Duration>,
    /// How exactly request rates are kept; `None` if they aren't enforced.
    pub rate: Option<RateSettings>,
}

/// How exactly the request rates of accounts are kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateSettings {
    /// Length of a window. In any window, an account's requests are limited to
    /// (rate x window + burst) x (1 + overage) + slack.
    pub window: Duration,
    /// Share that an account may exceed its limit by.
    pub overage: f64,
    /// Number of requests beyond that.
    pub slack: f64,
}

pub(crate) fn read_accounts(section: Section<'_>) -> AccountSettings {
    let is_strict = match section.text("strict_revocation") {
        Some("yes" | "true") => true,
        None | Some("" | "no" | "false") => false,
        Some(other) => {
            section.fault("strict_revocation", other, "yes or no");
            false
        }
    };
    let revocation = section.optional_number("revocation_ms", 1.0, TIME_MAX_S * 1e3);
    if is_strict && revocation.is_none() {
        section.fault("revocation_ms", "", "a number, as strict_revocation is set");
    }
    let window = section.optional_number("rate_window_s", 0.001, TIME_MAX_S);
    let overage = section.optional_number("rate_overage", 0.0, 100.0);
    let slack = section.optional_number("rate_slack", 0.0, 1e9);
    section.finish();
    AccountSettings {
        revocation: revocation.filter(|_| is_strict).map(|ms| Duration::from_secs_f64(ms / 1e3)),
        rate: window.map(|seconds| RateSettings {
            window: Duration::from_secs_f64(seconds),
            overage: overage.unwrap_or(0.0),
            slack: slack.unwrap_or(0.0),
        }),
    }
}
