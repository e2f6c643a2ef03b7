//! Copies of other daemons' records that the platform has not stored yet.
//!
//! Only a daemon that adopts the owner's journal reads them. They matter if the
//! owner died before the platform stored the records.

use std::{
    collections::{HashMap, HashSet},
    sync::Mutex,
};

use gg_protocol::JournalId;
use gg_settings::COPIES_MAX_BYTES;

use crate::lock::lock;

/// Maximum number of collected journals that are remembered.
const COLLECTED_MAX: usize = 100_000;

/// Record copies by journal.
#[derive(Debug, Default)]
pub(crate) struct Copies {
    state: Mutex<CopyState>,
}

#[derive(Debug, Default)]
struct CopyState {
    bytes: usize,
    records: HashMap<JournalId, Vec<(u64, String)>>,
    collected: HashSet<JournalId>,
}

impl Copies {
    /// Stores records under the number that the owner assigned. Returns `false`
    /// if they would exceed the size limit or an adopter has already collected
    /// the copies.
    pub(crate) fn hold(&self, journal: JournalId, number: u64, records: Vec<String>) -> bool {
        let mut state = lock(&self.state);
        let bytes: usize = records.iter().map(String::len).sum();
        if state.bytes + bytes > COPIES_MAX_BYTES || state.collected.contains(&journal) {
            return false;
        }
        state.bytes += bytes;
        let numbered = records.into_iter().map(|record| (number, record));
        state.records.entry(journal).or_default().extend(numbered);
        true
    }

    /// Returns the records held for a sealed journal to its adopter. From then
    /// on, copies from the former owner, which may not know of the seal, are
    /// rejected.
    pub(crate) fn collect(&self, journal: &JournalId) -> Vec<(u64, String)> {
        let mut state = lock(&self.state);
        if state.collected.len() >= COLLECTED_MAX {
            state.collected.clear();
        }
        state.collected.insert(journal.clone());
        state.records.get(journal).cloned().unwrap_or_default()
    }

    /// Drops the records held for a journal up to and including a number.
    pub(crate) fn remove(&self, journal: &JournalId, up_to: u64) {
        let mut state = lock(&self.state);
        let mut dropped = 0;
        if let Some(records) = state.records.get_mut(journal) {
            records.retain(|(number, record)| {
                let retained = *number > up_to;
                dropped += if retained { 0 } else { record.len() };
                retained
            });
        }
        state.bytes -= dropped;
        state.records.retain(|_, records| !records.is_empty());
    }
}
