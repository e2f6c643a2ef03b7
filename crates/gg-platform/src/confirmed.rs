//! How old a copy of the directory is, over any number of hops.

use std::time::{Duration, Instant};

use gg_protocol::suspension::{suspended_since, watch_suspensions};

/// Moment up to which a copy is known to hold every acknowledged change: that at
/// which the confirming call to the directory was sent. A later moment counts as
/// more recent, and no confirmation (`None`) as older than any.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Confirmed(Instant);

impl Confirmed {
    /// Confirmation by a linearizable call to the directory that was sent at
    /// `sent`.
    pub fn at(sent: Instant) -> Self {
        watch_suspensions();
        Confirmed(sent)
    }

    /// Confirmation by a peer whose copy had this age when it replied. Instances
    /// exchange ages because their clocks differ. The time of the reply isn't
    /// known, so it counts from the request, which adds the time of the exchange.
    pub fn from_peer(age: Duration, request_sent_at: Instant) -> Option<Self> {
        watch_suspensions();
        request_sent_at.checked_sub(age).map(Confirmed)
    }

    /// The moment itself.
    pub fn moment(self) -> Instant {
        self.0
    }

    /// Age of the copy. Time in which this machine was suspended counts.
    pub fn age(self, now: Instant) -> Duration {
        now.saturating_duration_since(self.0) + suspended_since(self.0)
    }
}
