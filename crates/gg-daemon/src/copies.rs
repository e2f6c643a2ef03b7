//! Copies of other daemons' records that the platform has not taken yet.
//!
//! Nobody reads them but the successor of a daemon that died before the
//! platform was back.

use std::{collections::HashMap, sync::Mutex};

use gg_protocol::JournalId;

use crate::shared::lock;

/// Most bytes of copies kept for all daemons together.
const MAX_BYTES: usize = 64 << 20;

/// Copies by journal.
#[derive(Debug, Default)]
pub(crate) struct Copies {
    kept: Mutex<Kept>,
}

#[derive(Debug, Default)]
struct Kept {
    bytes: usize,
    records: HashMap<JournalId, Vec<String>>,
}

impl Copies {
    /// Keeps records; returns whether there was room.
    pub(crate) fn hold(&self, journal: JournalId, records: Vec<String>) -> bool {
        let mut kept = lock(&self.kept);
        let bytes: usize = records.iter().map(String::len).sum();
        if kept.bytes + bytes > MAX_BYTES {
            return false;
        }
        kept.bytes += bytes;
        kept.records.entry(journal).or_default().extend(records);
        true
    }

    /// The records kept for a journal.
    pub(crate) fn get(&self, journal: &JournalId) -> Vec<String> {
        lock(&self.kept).records.get(journal).cloned().unwrap_or_default()
    }

    /// Drops the records kept for a journal.
    pub(crate) fn remove(&self, journal: &JournalId) {
        let mut kept = lock(&self.kept);
        let records = kept.records.remove(journal).unwrap_or_default();
        kept.bytes -= records.iter().map(String::len).sum::<usize>();
    }
}
