//! Bounds of a deployment on how soon changes of the directory are followed.

use std::time::Duration;

/// Times within which the whole deployment has to follow the directory, and that in
/// which replicas renew their entries there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DirectoryBounds {
    /// Time from the acknowledgement of a configuration until all requests are
    /// handled by it.
    pub apply: Duration,
    /// Time from the acknowledgement that a replica is draining or gone until it
    /// gets no further requests.
    pub drain: Duration,
    /// Time after the end of a disruption from which on the other bounds hold
    /// again.
    pub recovery: Duration,
    /// Interval at which replicas renew their entries.
    pub renewal: Duration,
    /// Time from the acknowledgement of a configuration that takes keys away until
    /// they are refused everywhere, also where no update arrives. `None` if the
    /// deployment has no such bound.
    pub revocation: Option<Duration>,
}

impl Default for DirectoryBounds {
    fn default() -> Self {
        DirectoryBounds {
            apply: Duration::from_secs(2),
            drain: Duration::from_secs(2),
            recovery: Duration::from_secs(3),
            renewal: Duration::from_millis(1_200),
            revocation: None,
        }
    }
}
