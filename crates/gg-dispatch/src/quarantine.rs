//! Contents that were under way when an upstream crashed.

use std::collections::{BTreeSet, HashMap};

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
const CRASHES_MAX: usize = 2;

/// Crashes by content digest. Each crash has a name, so that what several
/// daemons saw is put together by adding, never by comparing counts.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    crashes: HashMap<String, BTreeSet<String>>,
}

impl Quarantine {
    /// What may be done with `content`.
    pub fn verdict(&self, content: &str) -> Verdict {
        match self.count(content) {
            0 => Verdict::Free,
            count if count < CRASHES_MAX => Verdict::Alone,
            _ => Verdict::Quarantined,
        }
    }

    /// Crashes that `content` was in.
    pub fn count(&self, content: &str) -> usize {
        self.crashes.get(content).map_or(0, BTreeSet::len)
    }

    /// Names of the crashes that `content` was in.
    pub fn crashes(&self, content: &str) -> Vec<String> {
        self.crashes.get(content).into_iter().flatten().cloned().collect()
    }

    /// Takes in crashes that `content` was in.
    pub fn note(&mut self, content: &str, crashes: impl IntoIterator<Item = String>) {
        self.crashes.entry(content.to_owned()).or_default().extend(crashes);
    }
}
