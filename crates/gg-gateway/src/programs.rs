//! Programs in progress, as far as this gateway knows. A pure data type.

use std::time::{Duration, Instant};

use gg_protocol::Name;
use indexmap::IndexMap;

/// Maximum number of programs tracked; the oldest entries are dropped first. An
/// entry takes some 80 bytes.
const PROGRAMS_MAX: usize = 8_192;

/// A program with no turn at this gateway for this long is forgotten here; the
/// ledger keeps it for longer.
const PROGRAM_EXPIRY: Duration = Duration::from_secs(60);

/// Programs with an admitted turn, and when the last one was admitted.
#[derive(Clone, Debug, Default)]
pub struct Programs {
    seen: IndexMap<Name, Instant>,
}

impl Programs {
    /// Records that a turn of `program` was admitted.
    pub fn record(&mut self, program: &Name, now: Instant) {
        // Entries stay in the order of their insertion, so the first ones have
        // mostly ended.
        if self.seen.len() >= PROGRAMS_MAX && !self.seen.contains_key(program) {
            let half = PROGRAMS_MAX / 2;
            self.seen.drain(..half);
        }
        self.seen.insert(program.clone(), now);
    }

    /// Whether `program` is in progress.
    pub fn is_active(&self, program: &str, now: Instant) -> bool {
        let seen = self.seen.get(program);
        seen.is_some_and(|at| now.saturating_duration_since(*at) < PROGRAM_EXPIRY)
    }
}
