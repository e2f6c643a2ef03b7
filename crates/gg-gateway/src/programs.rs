//! Programs that are under way, as far as this gateway knows. A plain type.

use std::time::{Duration, Instant};

use gg_protocol::Name;
use indexmap::IndexMap;

/// Programs that are remembered; those noted first go first. An entry takes
/// some 80 bytes.
const PROGRAMS_MAX: usize = 8_192;

/// A program without a turn here for this long is forgotten; the ledger knows
/// it for longer.
const PROGRAM_TIME: Duration = Duration::from_secs(60);

/// Programs with a turn that was let in.
#[derive(Clone, Debug, Default)]
pub struct Programs {
    noted: IndexMap<Name, Instant>,
}

impl Programs {
    /// A turn of `program` was let in.
    pub fn note(&mut self, program: &Name, now: Instant) {
        // Entries stay in the order of their first note, so the first ones
        // have mostly ended.
        if self.noted.len() >= PROGRAMS_MAX && !self.noted.contains_key(program) {
            let half = PROGRAMS_MAX / 2;
            self.noted.drain(..half);
        }
        self.noted.insert(program.clone(), now);
    }

    /// Whether `program` is under way.
    pub fn is_under_way(&self, program: &str, now: Instant) -> bool {
        let noted = self.noted.get(program);
        noted.is_some_and(|at| now.saturating_duration_since(*at) < PROGRAM_TIME)
    }
}
