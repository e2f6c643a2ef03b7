//! Contents that were under way when an upstream crashed.

use std::collections::HashMap;

/// What may be done with a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may run.
    Free,
    /// It was in one crash: it may run with no other call on the replica.
    Alone,
    /// It crashed an upstream while it ran alone, or twice.
    Quarantined,
}

/// Crashes that a content may be in before it is quarantined.
const CRASHES_MAX: u32 = 2;

/// Crash counts by content digest.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    crashes: HashMap<String, u32>,
}

impl Quarantine {
    /// What may be done with `content`.
    pub fn verdict(&self, content: &str) -> Verdict {
        match self.crashes.get(content).copied().unwrap_or(0) {
            0 => Verdict::Free,
            count if count < CRASHES_MAX => Verdict::Alone,
            _ => Verdict::Quarantined,
        }
    }

    /// Crashes that `content` was in.
    pub fn count(&self, content: &str) -> u32 {
        self.crashes.get(content).copied().unwrap_or(0)
    }

    /// Raises the count of `content`; counts never fall.
    pub fn raise(&mut self, content: &str, count: u32) {
        let known = self.crashes.entry(content.to_owned()).or_insert(0);
        *known = (*known).max(count);
    }
}
