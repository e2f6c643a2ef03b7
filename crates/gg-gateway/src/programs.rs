//! Programs in progress, as far as this gateway knows. A pure data type.

use std::time::{Duration, Instant};

use gg_protocol::Name;
use indexmap::IndexMap;

/// Maximum number of programs tracked. An entry takes some 80 bytes.
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
        if self.seen.len() >= PROGRAMS_MAX && !self.seen.contains_key(program) {
            self.evict(now);
        }
        self.seen.insert(program.clone(), now);
    }

    /// Drops the programs that are no longer in progress. If all are, drops the half
    /// with the least recent turns.
    fn evict(&mut self, now: Instant) {
        self.seen.retain(|_, at| is_recent(*at, now));
        if self.seen.len() >= PROGRAMS_MAX {
            self.seen.sort_by(|_, at, _, other| at.cmp(other));
            self.seen.drain(..PROGRAMS_MAX / 2);
        }
    }

    /// Whether `program` is in progress.
    pub fn is_active(&self, program: &str, now: Instant) -> bool {
        self.seen.get(program).is_some_and(|at| is_recent(*at, now))
    }
}

/// Whether a program is in progress whose last turn was admitted at `at`.
fn is_recent(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < PROGRAM_EXPIRY
}
