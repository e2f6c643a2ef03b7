//! Time in which the machine was suspended, which [`Instant`] does not count.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use crate::clock::BootTime;

/// Shortest suspension that counts. The clocks are not read at the same moment.
const SUSPENSION_MIN: Duration = Duration::from_millis(20);

/// Maximum number of suspensions that are told apart.
const FOUND_MAX: usize = 8;

/// Suspensions, found by comparing two clocks. A pure data type.
#[derive(Clone, Debug)]
pub struct Suspensions {
    start: (Instant, BootTime),
    /// Sum of all suspensions found so far.
    total: Duration,
    /// When suspensions were found, oldest first, and how long they were.
    found: Vec<(Instant, Duration)>,
}

impl Suspensions {
    /// Starts to compare the clocks at these readings.
    pub fn new(now: Instant, boot: BootTime) -> Self {
        Suspensions { start: (now, boot), total: Duration::ZERO, found: Vec::new() }
    }

    /// Compares readings of the clocks, of which `boot` was read first.
    pub fn observe(&mut self, now: Instant, boot: BootTime) {
        let (start, start_boot) = self.start;
        let counted = now.saturating_duration_since(start);
        let suspended = boot.since(start_boot).saturating_sub(counted);
        let new = suspended.saturating_sub(self.total);
        if new < SUSPENSION_MIN {
            return;
        }
        self.total = suspended;
        self.found.push((now, new));
        if self.found.len() > FOUND_MAX {
            // Counts the oldest one as if it was found with the next one.
            let (_, oldest) = self.found.remove(0);
            self.found[0].1 += oldest;
        }
    }

    /// How long the machine may have been suspended after `at`, in all. Counts
    /// what was found after that.
    pub fn since(&self, at: Instant) -> Duration {
        self.found.iter().filter(|(found_at, _)| *found_at > at).map(|(_, time)| *time).sum()
    }
}

/// How long this machine may have been suspended after `at`, in all. Only what
/// came after the first call of this function or of [`watch_suspensions`].
pub fn suspended_since(at: Instant) -> Duration {
    observed(|suspensions| suspensions.since(at))
}

/// Compares the clocks now, so that a suspension is found soon after its end.
pub fn watch_suspensions() {
    observed(|_| ());
}

fn observed<T>(read: impl FnOnce(&Suspensions) -> T) -> T {
    static SUSPENSIONS: Mutex<Option<Suspensions>> = Mutex::new(None);
    let mut suspensions = SUSPENSIONS.lock().unwrap_or_else(PoisonError::into_inner);
    let boot = BootTime::now();
    let now = Instant::now();
    let suspensions = suspensions.get_or_insert_with(|| Suspensions::new(now, boot));
    suspensions.observe(now, boot);
    read(suspensions)
}
