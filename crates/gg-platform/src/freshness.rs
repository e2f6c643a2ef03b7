//! Whether what others tell of the directory is up to date.

use std::time::{Duration, Instant};

/// Without an up-to-date answer for this long, the directory is asked.
pub const FRESH_TIME: Duration = Duration::from_millis(1_000);

/// Answers of others about one kind.
///
/// One of them may be cut off from the directory alone. Its word must not
/// stand for an outage: in one, entries that lapse stay usable for a while,
/// and replicas that leave would get requests for too long.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    heard: Option<Instant>,
}

impl Freshness {
    /// Takes in an answer; returns whether the directory is to be taken as
    /// out of reach for all.
    pub fn note(&mut self, is_current: bool, now: Instant) -> bool {
        if is_current {
            self.heard = Some(now);
        }
        !self.is_fresh(now)
    }

    /// Whether somebody who is up to date answered lately.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.heard.is_some_and(|at| now.saturating_duration_since(at) < FRESH_TIME)
    }
}
