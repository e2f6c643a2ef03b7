//! Decides whether a copy of the configuration is recent enough to trust its
//! keys. A pure type.

use std::time::Duration;

use gg_platform::age_limit;

/// Bound on the age of a configuration whose keys are trusted.
///
/// A copy has an age: the time since the call was sent whose answer confirmed
/// it. A key that was withdrawn with an acknowledgement at time A is missing
/// from each copy that was confirmed after A. A request that its client sends
/// later than A + bound is checked later still, so that a copy younger than the
/// bound was confirmed after A.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Revocation {
    bound: Option<Duration>,
}

impl Revocation {
    /// Creates the decision for a deployment whose withdrawn keys are refused
    /// everywhere after `bound`; `None` if keys are trusted at any age.
    pub fn new(bound: Option<Duration>) -> Self {
        Revocation { bound }
    }

    /// Largest age at which keys are trusted; `None` without a bound.
    pub fn age_max(&self) -> Option<Duration> {
        self.bound.map(age_limit)
    }

    /// Whether the keys of a copy of this age are trusted. A copy without a
    /// known age was never confirmed.
    pub fn is_current(&self, age: Option<Duration>) -> bool {
        self.age_max().is_none_or(|max| age.is_some_and(|age| age < max))
    }
}
