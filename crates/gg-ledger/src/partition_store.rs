//! All that one instance keeps, by partition. A plain type; the log feeds it.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use gg_protocol::Name;

use crate::{Crashes, Index, Layout, Line, Placed, index::Chain};

/// Partition under which crashes stand in the log; they belong to none.
pub(crate) const CRASHES_PLACE: u16 = 0;

/// Partitions of one instance and the layout that it knows.
#[derive(Debug, Default)]
pub(crate) struct Book {
    parts: HashMap<u16, Part>,
    layout: Layout,
    /// Known to all instances, whatever partitions they hold.
    crashes: Crashes,
}

#[derive(Debug, Default)]
struct Part {
    /// Calls of older epochs are refused.
    epoch: u64,
    /// Epoch for which everything was copied from the others.
    copied: Option<u64>,
    index: Index,
}

impl Book {
    /// Takes in one line of the log.
    pub(crate) fn apply(&mut self, (partition, line): Placed, now: Instant) {
        match line {
            Line::Forget => {
                self.part(partition).index = Index::default();
            }
            Line::Epoch(epoch) => {
                let part = self.part(partition);
                part.epoch = part.epoch.max(epoch);
            }
            Line::Crash { .. } => {}
            Line::Fact(fact) => {
                self.crashes.learn(&fact, Duration::ZERO, now);
            }
            line => self.part(partition).index.apply(line, now),
        }
    }

    fn part(&mut self, partition: u16) -> &mut Part {
        self.parts.entry(partition).or_default()
    }

    /// The index of a partition.
    pub(crate) fn index(&mut self, partition: u16) -> &mut Index {
        &mut self.part(partition).index
    }

    /// Requests that crash replicas.
    pub(crate) fn crashes(&mut self) -> &mut Crashes {
        &mut self.crashes
    }

    /// Epoch below which calls to a partition are refused.
    pub(crate) fn epoch(&self, partition: u16) -> u64 {
        self.parts.get(&partition).map_or(0, |part| part.epoch)
    }

    /// Raises a partition's epoch; the line to keep if it was lower.
    pub(crate) fn raise(&mut self, partition: u16, epoch: u64) -> Option<Placed> {
        let part = self.part(partition);
        if part.epoch >= epoch {
            return None;
        }
        part.epoch = epoch;
        Some((partition, Line::Epoch(epoch)))
    }

    /// The layout as last heard of.
    pub(crate) fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Takes in a layout. Returns the lines to keep: epochs that rose, and
    /// partitions of which `disk` is no member any more, which are dropped.
    pub(crate) fn set_layout(&mut self, layout: Layout, disk: u64) -> Vec<Placed> {
        let mut lines = Vec::new();
        for (number, set) in layout.partitions.iter().enumerate() {
            let partition = number as u16;
            lines.extend(self.raise(partition, set.epoch));
            let is_kept = set.all().iter().any(|member| member.disk == disk);
            if !is_kept && !self.index(partition).is_empty() {
                self.part(partition).index = Index::default();
                lines.push((partition, Line::Forget));
            }
        }
        self.layout = layout;
        lines
    }

    /// Epoch for which a partition was copied from the others.
    pub(crate) fn copied(&self, partition: u16) -> Option<u64> {
        self.parts.get(&partition).and_then(|part| part.copied)
    }

    /// A partition was copied from the others.
    pub(crate) fn set_copied(&mut self, partition: u16, epoch: u64) {
        self.part(partition).copied = Some(epoch);
    }

    /// A chain from whichever partition has its last turn.
    pub(crate) fn find(&mut self, turn: &Name, now: Instant) -> Chain {
        let holder = self.parts.values_mut().find(|part| part.index.has(turn));
        match holder {
            Some(part) => part.index.chain(turn, now),
            None => Chain { missing: Some(turn.clone()), ..Chain::default() },
        }
    }

    /// Whether the caller's epochs are older than any of ours.
    pub(crate) fn is_ahead_of(&self, epochs: &[u64]) -> bool {
        self.parts.iter().any(|(partition, part)| {
            epochs.get(usize::from(*partition)).is_none_or(|known| *known < part.epoch)
        })
    }

    /// All lines of a partition.
    pub(crate) fn lines(&self, partition: u16) -> Vec<Line> {
        self.parts.get(&partition).map(|part| part.index.lines()).unwrap_or_default()
    }

    /// All lines, as a log written anew holds them.
    pub(crate) fn all_lines(&self) -> Vec<Placed> {
        let place = |(partition, part): (&u16, &Part)| {
            let (partition, epoch) = (*partition, Line::Epoch(part.epoch));
            let lines = part.index.lines().into_iter().chain([epoch]);
            lines.map(|line| (partition, line)).collect::<Vec<_>>()
        };
        let crashes = self.crashes.lines().into_iter().map(|line| (CRASHES_PLACE, line));
        self.parts.iter().flat_map(place).chain(crashes).collect()
    }

    /// Drops what has expired.
    pub(crate) fn expire(&mut self, now: Instant, margin: Duration) {
        self.parts.values_mut().for_each(|part| part.index.expire(now, margin));
        self.crashes.expire(now);
    }

    /// Memory that all partitions take, in bytes, about.
    pub(crate) fn bytes(&self) -> usize {
        self.parts.values().map(|part| part.index.bytes()).sum()
    }

    /// Number of turns and of programs.
    pub(crate) fn len(&self) -> (usize, usize) {
        let lengths = self.parts.values().map(|part| part.index.len());
        lengths.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }
}
