//! Ages that copies of the directory may reach. They follow from the deployment's
//! bounds and from the time that an update takes from hop to hop; the sum is in
//! docs/design/freshness.md.

use std::time::Duration;

use gg_protocol::DirectoryBounds;

/// Interval at which gateways poll ledger instances.
pub const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Interval at which ledger instances that don't follow the directory poll those
/// that do.
pub const MIRROR_INTERVAL: Duration = Duration::from_millis(150);

/// Factor by which the interval grows with many gateways.
pub const POLL_SLOWDOWN: u32 = 2;

/// Time of a short call to the directory.
const CALL_TIME: Duration = Duration::from_millis(100);

/// Time of a poll, with what it waits for at a busy instance.
const EXCHANGE_TIME: Duration = Duration::from_millis(25);

/// Time from a call of a follower until what it returns is in use at each gateway:
/// the call, a poll by a ledger instance that doesn't follow the directory, and a
/// poll by a gateway.
pub const DELIVERY_TIME: Duration = CALL_TIME
    .saturating_add(MIRROR_INTERVAL)
    .saturating_add(EXCHANGE_TIME)
    .saturating_add(POLL_INTERVAL.saturating_mul(POLL_SLOWDOWN))
    .saturating_add(EXCHANGE_TIME);

/// Time between the age from which on a copy no longer counts as current and the
/// shortest bound. In it, an instance whose sources are out of date lists the
/// directory itself.
pub const OWN_LIST_TIME: Duration = Duration::from_millis(500);

/// Part of [`OWN_LIST_TIME`] over which gateways whose copies grow old together
/// spread their lists.
pub const OWN_LIST_SPREAD: Duration = Duration::from_millis(250);

/// Part of a bound that is left for clocks that run at different speeds and for
/// ages that were rounded on their way.
const MARGIN_SHARE: f64 = 0.02;

/// Age below which a copy keeps `bound`. Whoever acts later than the bound after an
/// acknowledgement then finds what was acknowledged in the copy.
pub fn age_limit(bound: Duration) -> Duration {
    bound.mul_f64(1.0 - MARGIN_SHARE)
}

/// Shortest interval between checks, whatever the bounds.
const CHECK_INTERVAL_MIN: Duration = Duration::from_millis(250);

/// Longest interval between checks where withdrawn keys have to be refused in
/// time. The age of a copy decides there whether requests are refused.
const STRICT_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Intervals of renewals after which the directory removes an entry that was not
/// renewed.
const LEASE_RENEWALS: u32 = 3;

/// Ages that follow from the bounds of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyAges {
    /// Time after which a follower checks that it has missed nothing.
    pub check_interval: Duration,
    /// Age from which on a copy no longer counts as current, so that its readers
    /// look for another source.
    pub current: Duration,
    /// Time after its last renewal at which an entry expires.
    pub lease: Duration,
    /// Shortest pause of the directory's answers that counts as an outage: renewed
    /// entries don't expire in less, and checks pause for less.
    pub outage_min: Duration,
}

impl CopyAges {
    /// Ages with which the bounds are kept.
    pub fn new(bounds: &DirectoryBounds) -> Self {
        let refused = bounds.revocation.unwrap_or(Duration::MAX);
        let shortest = bounds.apply.min(bounds.drain).min(bounds.recovery).min(refused);
        let current = shortest.saturating_sub(OWN_LIST_TIME);
        let check_interval = current.saturating_sub(DELIVERY_TIME).max(CHECK_INTERVAL_MIN);
        let longest = bounds.revocation.map_or(Duration::MAX, |_| STRICT_CHECK_INTERVAL);
        let check_interval = check_interval.min(longest);
        let lease = bounds.renewal * LEASE_RENEWALS;
        let outage_min = lease.saturating_sub(bounds.renewal).max(check_interval + bounds.renewal);
        CopyAges { check_interval, current, lease, outage_min }
    }
}

impl Default for CopyAges {
    fn default() -> Self {
        CopyAges::new(&DirectoryBounds::default())
    }
}
