//! In-memory state of one instance, by partition. Built from log entries;
//! performs no I/O.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use gg_protocol::Name;

use crate::{CrashFacts, Index, Layout, LogEntry, PartitionEntry, index::Chain};

/// Partition number of crash facts in the log. They belong to no partition.
pub(crate) const CRASHES_PARTITION: u16 = 0;

/// Partitions of one instance and the layout that it knows.
#[derive(Debug, Default)]
pub(crate) struct PartitionStore {
    partitions: HashMap<u16, PartitionState>,
    layout: Layout,
    /// Replicated to all instances, whatever partitions they hold.
    crashes: CrashFacts,
}

#[derive(Debug, Default)]
struct PartitionState {
    /// Requests with an older epoch are refused.
    epoch: u64,
    /// Epoch for which the partition was copied from other members.
    copied: Option<u64>,
    index: Index,
}

impl PartitionStore {
    /// Applies one log entry.
    pub(crate) fn apply(&mut self, (partition, entry): PartitionEntry, now: Instant) {
        match entry {
            LogEntry::DropPartition => {
                self.state(partition).index = Index::default();
            }
            LogEntry::Epoch(epoch) => {
                let state = self.state(partition);
                state.epoch = state.epoch.max(epoch);
            }
            LogEntry::Crash { .. } => {}
            LogEntry::Fact(fact) => {
                self.crashes.learn(&fact, Duration::ZERO, now);
            }
            entry => self.state(partition).index.apply(entry, now),
        }
    }

    fn state(&mut self, partition: u16) -> &mut PartitionState {
        self.partitions.entry(partition).or_default()
    }

    /// The index of a partition.
    pub(crate) fn index(&mut self, partition: u16) -> &mut Index {
        &mut self.state(partition).index
    }

    /// Facts about requests that crash replicas.
    pub(crate) fn crashes(&mut self) -> &mut CrashFacts {
        &mut self.crashes
    }

    /// Epoch below which requests to a partition are refused.
    pub(crate) fn epoch(&self, partition: u16) -> u64 {
        self.partitions.get(&partition).map_or(0, |state| state.epoch)
    }

    /// Raises a partition's epoch. Returns the entry to log if the epoch was
    /// lower.
    pub(crate) fn raise_epoch(&mut self, partition: u16, epoch: u64) -> Option<PartitionEntry> {
        let state = self.state(partition);
        if state.epoch >= epoch {
            return None;
        }
        state.epoch = epoch;
        Some((partition, LogEntry::Epoch(epoch)))
    }

    /// Last known layout.
    pub(crate) fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Sets the layout. Returns the entries to log: raised epochs, and dropped
    /// partitions that `disk` is no longer a member of.
    pub(crate) fn set_layout(&mut self, layout: Layout, disk: u64) -> Vec<PartitionEntry> {
        let mut entries = Vec::new();
        for (number, set) in layout.partitions.iter().enumerate() {
            let partition = number as u16;
            entries.extend(self.raise_epoch(partition, set.epoch));
            let is_kept = set.all().iter().any(|member| member.disk == disk);
            if !is_kept && !self.index(partition).is_empty() {
                self.state(partition).index = Index::default();
                entries.push((partition, LogEntry::DropPartition));
            }
        }
        self.layout = layout;
        entries
    }

    /// Epoch for which a partition was copied from other members.
    pub(crate) fn copied(&self, partition: u16) -> Option<u64> {
        self.partitions.get(&partition).and_then(|state| state.copied)
    }

    /// Records that a partition was copied from other members.
    pub(crate) fn set_copied(&mut self, partition: u16, epoch: u64) {
        self.state(partition).copied = Some(epoch);
    }

    /// Reads a chain from any partition that holds its last turn.
    pub(crate) fn find(&mut self, turn: &Name, now: Instant) -> Chain {
        let holder = self.partitions.values_mut().find(|state| state.index.contains_turn(turn));
        match holder {
            Some(state) => state.index.chain(turn, now),
            None => Chain { missing: Some(turn.clone()), ..Chain::default() },
        }
    }

    /// Whether any partition here has a newer epoch than the caller knows.
    pub(crate) fn is_ahead_of(&self, epochs: &[u64]) -> bool {
        self.partitions.iter().any(|(partition, state)| {
            epochs.get(usize::from(*partition)).is_none_or(|known| *known < state.epoch)
        })
    }

    /// All entries of a partition.
    pub(crate) fn entries(&self, partition: u16) -> Vec<LogEntry> {
        self.partitions.get(&partition).map(|state| state.index.entries()).unwrap_or_default()
    }

    /// All entries, for a checkpoint of the log.
    pub(crate) fn all_entries(&self) -> Vec<PartitionEntry> {
        let partition_entries = |(partition, state): (&u16, &PartitionState)| {
            let (partition, epoch) = (*partition, LogEntry::Epoch(state.epoch));
            let entries = state.index.entries().into_iter().chain([epoch]);
            entries.map(|entry| (partition, entry)).collect::<Vec<_>>()
        };
        let crashes = self.crashes.entries().into_iter().map(|entry| (CRASHES_PARTITION, entry));
        self.partitions.iter().flat_map(partition_entries).chain(crashes).collect()
    }

    /// Drops expired entries.
    pub(crate) fn expire(&mut self, now: Instant, margin: Duration) {
        self.partitions.values_mut().for_each(|state| state.index.expire(now, margin));
        self.crashes.expire(now);
    }

    /// Approximate memory use of all partitions, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.partitions.values().map(|state| state.index.bytes()).sum()
    }

    /// Number of turns and of accounts.
    pub(crate) fn len(&self) -> (usize, usize) {
        let lengths = self.partitions.values().map(|state| state.index.len());
        lengths.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }
}
