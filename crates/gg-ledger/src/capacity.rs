//! Decides which turns an instance opens, by how much it holds already. Plain
//! types without input or output.

/// Share of a bound, in percent, above which only programs in progress get
/// further turns. What is left lets those that have begun end.
const IN_PROGRESS_PERCENT: u64 = 80;

/// Share of a disk, in percent, that entries may take that are still needed.
/// Before a segment is removed these are written again, so the log takes up to
/// twice as much.
const NEEDED_PERCENT: u64 = 45;

/// Room that is left for the segment that is appended to, and for what is written
/// again of the oldest one before that is removed.
const SEGMENTS_ROOM_BYTES: u64 = 48 << 20;

/// Bytes that may wait for the disk.
const BACKLOG_BYTES: u64 = 8 << 20;

/// Memory for recent texts, which are in the log as well.
const RECENT_TEXTS_BYTES: usize = 32 << 20;

/// One in this many bytes of memory may hold recent texts.
const RECENT_TEXTS_DIVISOR: usize = 4;

/// Bounds of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Memory for turns and accounts in bytes.
    pub memory_bytes: usize,
    /// Size of the disk in bytes.
    pub disk_bytes: u64,
    /// Size of the log in bytes below which nothing is removed.
    pub log_bytes_min: u64,
}

/// What an instance holds, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Memory of turns and accounts.
    pub memory: u64,
    /// Entries in the log that are still needed.
    pub needed: u64,
    /// Entries that wait for the disk.
    pub backlog: u64,
}

/// What opens a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opener {
    /// A program of which nothing is stored yet.
    NewProgram,
    /// A program that has begun, or one that continues a stored turn.
    InProgress,
}

impl Capacity {
    /// Share in percent of the bound that is nearest, and its name.
    pub fn fill(&self, usage: Usage) -> (u64, &'static str) {
        let percent = |used: u64, max: u64| used.saturating_mul(100) / max.max(1);
        let fills = [
            (percent(usage.memory, self.memory_bytes as u64), "memory"),
            (percent(usage.needed, self.needed_bytes()), "disk"),
            (percent(usage.backlog, BACKLOG_BYTES), "backlog"),
        ];
        fills.into_iter().max_by_key(|(percent, _)| *percent).unwrap_or_default()
    }

    /// Whether a turn may be opened at a fill in percent.
    pub fn admits(&self, fill: u64, opener: Opener) -> bool {
        fill < match opener {
            Opener::NewProgram => IN_PROGRESS_PERCENT,
            Opener::InProgress => 100,
        }
    }

    /// Whether so much waits for the disk that turns that ended aren't queued
    /// either. Other members hold them.
    pub fn is_stuck(&self, backlog: u64) -> bool {
        backlog > 2 * BACKLOG_BYTES
    }

    /// Bytes that the log may take before its oldest segment is removed.
    pub fn log_bytes(&self, needed: u64) -> u64 {
        let min = self.log_bytes_min.min(self.needed_bytes());
        min.max(needed.saturating_mul(2))
    }

    /// Memory that recent texts may take in bytes.
    pub fn recent_texts(&self) -> usize {
        (self.memory_bytes / RECENT_TEXTS_DIVISOR).min(RECENT_TEXTS_BYTES)
    }

    fn needed_bytes(&self) -> u64 {
        let room = SEGMENTS_ROOM_BYTES.min(self.disk_bytes / 4);
        (self.disk_bytes - room) / 100 * NEEDED_PERCENT
    }
}
