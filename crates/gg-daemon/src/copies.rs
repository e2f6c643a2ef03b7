//! Copies of other daemons' records that the platform has not taken yet.
//!
//! Nobody reads them but the successor of a daemon that died before the
//! platform was back.

use std::{
    collections::{HashMap, HashSet},
    sync::Mutex,
};

use gg_protocol::JournalId;

use crate::lock::lock;

/// Most bytes of copies kept for all daemons together.
const MAX_BYTES: usize = 64 << 20;

/// Collected journals that are remembered.
const CLOSED_MAX: usize = 100_000;

/// Copies by journal.
#[derive(Debug, Default)]
pub(crate) struct Copies {
    kept: Mutex<Kept>,
}

#[derive(Debug, Default)]
struct Kept {
    bytes: usize,
    records: HashMap<JournalId, Vec<(u64, String)>>,
    closed: HashSet<JournalId>,
}

impl Copies {
    /// Keeps records under the owner's number; returns whether there was
    /// room and no successor has collected the copies yet.
    pub(crate) fn hold(&self, journal: JournalId, number: u64, records: Vec<String>) -> bool {
        let mut kept = lock(&self.kept);
        let bytes: usize = records.iter().map(String::len).sum();
        if kept.bytes + bytes > MAX_BYTES || kept.closed.contains(&journal) {
            return false;
        }
        kept.bytes += bytes;
        let numbered = records.into_iter().map(|record| (number, record));
        kept.records.entry(journal).or_default().extend(numbered);
        true
    }

    /// Hands the records kept for a sealed journal to its successor. From
    /// then on its former owner, which may not know of the seal, can't have
    /// copies kept here.
    pub(crate) fn collect(&self, journal: &JournalId) -> Vec<(u64, String)> {
        let mut kept = lock(&self.kept);
        if kept.closed.len() >= CLOSED_MAX {
            kept.closed.clear();
        }
        kept.closed.insert(journal.clone());
        kept.records.get(journal).cloned().unwrap_or_default()
    }

    /// Drops the records kept for a journal up to a number.
    pub(crate) fn remove(&self, journal: &JournalId, upto: u64) {
        let mut kept = lock(&self.kept);
        let mut dropped = 0;
        if let Some(records) = kept.records.get_mut(journal) {
            records.retain(|(number, record)| {
                let stays = *number > upto;
                dropped += if stays { 0 } else { record.len() };
                stays
            });
        }
        kept.bytes -= dropped;
        kept.records.retain(|_, records| !records.is_empty());
    }
}
