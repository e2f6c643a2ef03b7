//! Quarantine of requests that were in flight when an upstream crashed.

use std::collections::{BTreeSet, HashMap};

/// Whether and how a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request may run.
    Allowed,
    /// The request was in flight in one crash; it may run with no other call
    /// on the replica.
    Alone,
    /// The request was in flight in two or more crashes. Once the first one is
    /// known, the request runs alone, so a later crash is due to it.
    Quarantined,
}

/// Number of crashes after which a request fingerprint is quarantined.
const CRASHES_MAX: usize = 2;

/// Crashes by request fingerprint, which is a digest of the request and its
/// caller. Each crash has an identifier, so that the observations of several
/// daemons are merged as sets and never by comparing counts.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    crashes: HashMap<String, BTreeSet<String>>,
}

impl Quarantine {
    /// Returns whether and how a request with this fingerprint may run.
    pub fn verdict(&self, fingerprint: &str) -> Verdict {
        match self.count(fingerprint) {
            0 => Verdict::Allowed,
            count if count < CRASHES_MAX => Verdict::Alone,
            _ => Verdict::Quarantined,
        }
    }

    /// Number of crashes in which the fingerprint was in flight.
    pub fn count(&self, fingerprint: &str) -> usize {
        self.crashes.get(fingerprint).map_or(0, BTreeSet::len)
    }

    /// Identifiers of the crashes in which the fingerprint was in flight.
    pub fn crashes(&self, fingerprint: &str) -> Vec<String> {
        self.crashes.get(fingerprint).into_iter().flatten().cloned().collect()
    }

    /// Records crashes in which the fingerprint was in flight.
    pub fn record(&mut self, fingerprint: &str, crashes: impl IntoIterator<Item = String>) {
        self.crashes.entry(fingerprint.to_owned()).or_default().extend(crashes);
    }
}
