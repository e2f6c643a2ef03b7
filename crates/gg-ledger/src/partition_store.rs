//! In-memory state of one instance, by partition. Built from log entries;
//! performs no I/O.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use gg_protocol::Name;

use crate::{
    CrashFact, CrashFacts, Index, IndexBytes, Layout, Location, LogEntry, LogTime, PartitionEntry,
    StoredChain,
};

/// Partition number of crash facts in the log. They belong to no partition.
pub(crate) const CRASHES_PARTITION: u16 = 0;

/// Partitions of one instance and the layout that it knows.
#[derive(Debug, Default)]
pub(crate) struct PartitionStore {
    partitions: HashMap<u16, PartitionState>,
    layout: Layout,
    /// Replicated to all instances, whatever partitions they hold.
    crashes: CrashFacts,
    /// Turns whose texts are in memory as well as in the log, oldest first.
    recent: VecDeque<(u16, Name)>,
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
    /// Applies one log entry that isn't written yet.
    pub(crate) fn apply(&mut self, (partition, entry): PartitionEntry, at: LogTime) {
        match entry {
            LogEntry::Fact(fact) => {
                self.crashes.learn(&fact, Duration::ZERO, Instant::now());
            }
            entry => {
                if let Some(entry) = self.apply_partition(partition, entry) {
                    self.state(partition).index.apply(entry, at);
                }
            }
        }
    }

    /// Applies one entry that was read from the log. Crash facts are learned
    /// with [`PartitionStore::learn_facts`].
    pub(crate) fn apply_logged(
        &mut self,
        (partition, entry): PartitionEntry,
        location: Location,
        at: LogTime,
    ) {
        if let Some(entry) = self.apply_partition(partition, entry) {
            self.state(partition).index.apply_logged(entry, location, at);
        }
    }

    /// Applies an entry that concerns a whole partition; returns any other.
    fn apply_partition(&mut self, partition: u16, entry: LogEntry) -> Option<LogEntry> {
        match entry {
            LogEntry::DropPartition => {
                self.state(partition).index = Index::default();
                None
            }
            LogEntry::Epoch(epoch) => {
                let state = self.state(partition);
                state.epoch = state.epoch.max(epoch);
                None
            }
            entry => Some(entry),
        }
    }

    /// Learns crash facts that were read from the log, of which each was
    /// observed at a log time. Those that clear others have to follow them.
    pub(crate) fn learn_facts(&mut self, mut facts: Vec<(LogTime, CrashFact)>, now: LogTime) {
        facts.sort_by_key(|(at, _)| *at);
        let instant = Instant::now();
        for (at, fact) in facts {
            // The clock may have started after the fact was observed.
            let age = Some(now.since(at)).filter(|age| instant.checked_sub(*age).is_some());
            self.crashes.learn(&fact, age.unwrap_or_default(), instant);
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

    /// Epochs of all known partitions.
    pub(crate) fn epochs(&self) -> HashMap<u16, u64> {
        self.partitions.iter().map(|(partition, state)| (*partition, state.epoch)).collect()
    }

    /// Epoch for which a partition was copied from other members.
    pub(crate) fn copied(&self, partition: u16) -> Option<u64> {
        self.partitions.get(&partition).and_then(|state| state.copied)
    }

    /// Records that a partition was copied from other members.
    pub(crate) fn set_copied(&mut self, partition: u16, epoch: u64) {
        self.state(partition).copied = Some(epoch);
    }

    /// Finds a chain in any partition that holds its last turn.
    pub(crate) fn find(&mut self, turn: &Name, now: LogTime) -> StoredChain {
        let holder = self.partitions.values_mut().find(|state| state.index.contains_turn(turn));
        match holder {
            Some(state) => state.index.chain(turn, now),
            None => StoredChain { missing: Some(turn.clone()), ..StoredChain::default() },
        }
    }

    /// Whether any partition here has a newer epoch than the caller knows.
    pub(crate) fn is_ahead_of(&self, epochs: &[u64]) -> bool {
        self.partitions.iter().any(|(partition, state)| {
            epochs.get(usize::from(*partition)).is_none_or(|known| *known < state.epoch)
        })
    }

    /// Records where a turn stands in the log.
    pub(crate) fn set_location(&mut self, partition: u16, turn: Name, location: Location) {
        if self.index(partition).set_location(&turn, location) {
            self.recent.push_back((partition, turn));
        }
    }

    /// Removes the oldest texts from memory, until the recent ones take
    /// `limit` bytes at most. Texts that aren't in the log yet stay.
    pub(crate) fn unload_texts(&mut self, limit: usize) {
        while self.bytes().texts > limit {
            let Some((partition, turn)) = self.recent.pop_front() else { return };
            self.index(partition).unload(&turn);
        }
    }

    /// Time of the last use that a logged entry has to keep when it is written
    /// again; `None` if it is no longer needed.
    pub(crate) fn needed_since(
        &self,
        (partition, entry): &PartitionEntry,
        location: Location,
        at: LogTime,
    ) -> Option<LogTime> {
        match entry {
            LogEntry::Fact(fact) => self.crashes.contains(fact).then_some(at),
            entry => self.partitions.get(partition)?.index.needed_since(entry, location),
        }
    }

    /// What has to be known of whole partitions: their epochs, and for how long
    /// accounts are retained.
    pub(crate) fn partition_entries(&self) -> Vec<PartitionEntry> {
        let entries = self.partitions.iter().flat_map(|(partition, state)| {
            let epoch = Some(LogEntry::Epoch(state.epoch));
            let entries = epoch.into_iter().chain(state.index.retention_entry());
            entries.map(|entry| (*partition, entry))
        });
        entries.collect()
    }

    /// Drops entries that have expired even if a turn that continues them is
    /// still to be read.
    pub(crate) fn expire_unread(&mut self, now: LogTime, margin: Duration, turn_time: Duration) {
        for state in self.partitions.values_mut() {
            state.index.expire_turns(now, margin + turn_time);
            state.index.expire_accounts(now, margin);
        }
    }

    /// Marks all chains of a partition as used when their last turns were.
    pub(crate) fn mark_chains(&mut self, partition: u16) {
        self.index(partition).mark_chains();
    }

    /// Partitions of which anything is known.
    pub(crate) fn partitions(&self) -> Vec<u16> {
        self.partitions.keys().copied().collect()
    }

    /// Drops expired entries.
    pub(crate) fn expire(&mut self, now: LogTime, margin: Duration) {
        self.partitions.values_mut().for_each(|state| state.index.expire(now, margin));
        self.crashes.expire(Instant::now());
        let partitions = &self.partitions;
        self.recent.retain(|(partition, turn)| {
            partitions.get(partition).is_some_and(|state| state.index.contains_turn(turn))
        });
    }

    /// What all partitions take up.
    pub(crate) fn bytes(&self) -> IndexBytes {
        let bytes = self.partitions.values().map(|state| state.index.bytes());
        bytes.fold(IndexBytes::default(), |sum, one| sum + one)
    }

    /// Number of turns and of accounts.
    pub(crate) fn len(&self) -> (usize, usize) {
        let lengths = self.partitions.values().map(|state| state.index.len());
        lengths.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }
}
