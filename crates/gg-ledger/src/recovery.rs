//! Rebuilds the state of an instance from its log.

use std::{io, path::Path, time::Duration};

use crate::{
    LogClock, LogEntry, LogFile, LogTime, RecoveryStats, StoredContent,
    node::{EXPIRE_INTERVAL, EXPIRE_MARGIN},
    partition_store::PartitionStore,
};

/// Number of entries after which expired ones are dropped, so that those that a
/// log still holds take no more memory than the ones in use.
const EXPIRE_ENTRIES: usize = 1 << 16;

/// Time that turns are retained while the log is read, beyond their lifetime: a
/// turn that took this long may be stored further on and continue them.
const TURN_TIME_MAX: Duration = Duration::from_secs(600);

/// What was read.
pub(crate) struct Recovered {
    pub(crate) log: LogFile,
    pub(crate) store: PartitionStore,
    pub(crate) clock: LogClock,
    pub(crate) stats: RecoveryStats,
}

/// Reads the log of an instance. Blocks.
pub(crate) fn recover(folder: &Path) -> io::Result<Recovered> {
    let mut store = PartitionStore::default();
    let mut facts = Vec::new();
    // Copies of entries that another instance used earlier have a time before
    // this log was begun.
    let mut newest = LogTime::BEGIN;
    let mut count = 0;
    let (log, stats) = LogFile::open(folder, |stored| {
        let StoredContent::Known(entry, at) = stored.content else { return };
        // Earlier versions wrote no times. Their entries count as used now.
        let at = at.unwrap_or(newest);
        newest = newest.max(at);
        match entry {
            (_, LogEntry::Fact(fact)) => facts.push((at, fact)),
            entry => store.apply_logged(entry, stored.location, at),
        }
        count += 1;
        if count % EXPIRE_ENTRIES == 0 {
            store.expire_unread(newest, EXPIRE_MARGIN + EXPIRE_INTERVAL, TURN_TIME_MAX);
        }
    })?;
    let clock = LogClock::starting_at(newest);
    store.learn_facts(facts, newest);
    for partition in store.partitions() {
        store.mark_chains(partition);
    }
    store.expire(newest, EXPIRE_MARGIN);
    Ok(Recovered { log, store, clock, stats })
}
