//! Tracks whether other sources report an up-to-date directory.

use std::time::{Duration, Instant};

use crate::Confirmed;

/// Without an up-to-date response for this long, the directory is queried directly.
pub const FRESH_TIME: Duration = Duration::from_millis(1_000);

/// Freshness of what other sources report about one kind. A single source may lose its
/// connection to the directory while the others are up to date.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    max_age: Duration,
    current_at: Option<Instant>,
    confirmed: Option<Confirmed>,
}

impl Freshness {
    /// Sources are fresh while their copy is younger than `max_age`.
    pub fn new(max_age: Duration) -> Self {
        Freshness { max_age, current_at: None, confirmed: None }
    }

    /// Records a response and the confirmation of its copy, unless the source has
    /// none.
    pub fn record(&mut self, is_current: bool, confirmed: Option<Confirmed>, now: Instant) {
        if is_current {
            self.current_at = Some(now);
            self.confirmed = self.confirmed.max(confirmed);
        }
    }

    /// Whether an up-to-date source responded within [`FRESH_TIME`], and its copy is
    /// not too old.
    pub fn is_fresh(&self, now: Instant) -> bool {
        !self.remaining(now).is_zero()
    }

    /// Time for which the sources stay fresh without a further response.
    pub fn remaining(&self, now: Instant) -> Duration {
        let Some(confirmed) = self.confirmed else { return Duration::ZERO };
        let young = self.max_age.saturating_sub(confirmed.age(now));
        young.min(FRESH_TIME.saturating_sub(self.since_current(now)))
    }

    fn since_current(&self, now: Instant) -> Duration {
        self.current_at.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }
}
