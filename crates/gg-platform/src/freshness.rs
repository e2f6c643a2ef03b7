//! Tracks whether other sources report an up-to-date directory.

use std::time::{Duration, Instant};

/// Without an up-to-date response for this long, the directory is queried directly.
pub const FRESH_TIME: Duration = Duration::from_millis(1_000);

/// Freshness of what other sources report about one kind.
///
/// A single source may lose its connection to the directory. This must not count
/// as an outage: during an outage, entries that expire stay in use for a while,
/// so draining replicas would receive requests for too long.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    current_at: Option<Instant>,
}

impl Freshness {
    /// Records a response. Returns whether the directory must be considered
    /// unreachable for all sources.
    pub fn record(&mut self, is_current: bool, now: Instant) -> bool {
        if is_current {
            self.current_at = Some(now);
        }
        !self.is_fresh(now)
    }

    /// Whether an up-to-date source responded within [`FRESH_TIME`].
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.current_at.is_some_and(|at| now.saturating_duration_since(at) < FRESH_TIME)
    }
}
