//! In-memory index of one partition: turns by request and accounts by program.
//! Built from log entries; performs no I/O. Texts of turns are on disk, and in
//! memory only until they are written and while they are recent.

use std::{
    collections::{HashMap, hash_map},
    time::Duration,
};

use bytes::Bytes;
use gg_protocol::Name;
use serde::{Deserialize, Serialize};

use crate::{
    AccountReport, LastRun, Location, LogEntry, LogTime, TurnRecord,
    account::{Account, Spend, TurnSpend},
    encoding::HEADER_BYTES,
};

/// A chain from its start to the requested turn, as far as it is known.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chain {
    /// Concatenated texts of the turns that follow `missing`.
    pub text: Bytes,
    /// Turn that is not known here and precedes the texts.
    pub missing: Option<Name>,
    /// Replica that ran the last turn.
    pub upstream: Option<Name>,
}

/// A chain whose texts may have to be read from the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredChain {
    /// Texts of the turns that follow `missing`, oldest first.
    pub texts: Vec<StoredText>,
    /// Turn that is not known here and precedes the texts.
    pub missing: Option<Name>,
    /// Replica that ran the last turn.
    pub upstream: Option<Name>,
}

impl StoredChain {
    /// Approximate size of the texts.
    pub(crate) fn bytes(&self) -> usize {
        self.texts.iter().map(StoredText::bytes).sum()
    }
}

/// Text of a turn, or where it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredText {
    /// The text is in memory.
    Loaded(Bytes),
    /// The text is in the log only.
    Logged(Location),
}

impl StoredText {
    /// Approximate size of the text.
    pub(crate) fn bytes(&self) -> usize {
        match self {
            StoredText::Loaded(text) => text.len(),
            StoredText::Logged(location) => location.bytes as usize,
        }
    }
}

#[derive(Debug)]
struct StoredTurn {
    previous: Option<Name>,
    upstream: Name,
    keep_ms: u32,
    last_used: LogTime,
    text: Text,
}

/// Where the text of a turn is.
#[derive(Clone, Debug)]
enum Text {
    /// Not in the log yet.
    Unwritten(Bytes),
    /// In the log, and in memory while it is recent.
    Written(Location, Option<Bytes>),
}

impl Text {
    fn loaded_bytes(&self) -> usize {
        match self {
            Text::Unwritten(text) | Text::Written(_, Some(text)) => text.len(),
            Text::Written(_, None) => 0,
        }
    }

    fn log_bytes(&self) -> u64 {
        match self {
            Text::Unwritten(text) => (ENTRY_BYTES + text.len()) as u64,
            Text::Written(location, _) => u64::from(location.bytes),
        }
    }
}

/// Approximate memory use of a turn besides its text, and of a turn in an
/// account: names, map entries and allocations.
const TURN_BYTES: usize = 320;
const SPEND_BYTES: usize = 120;

/// Approximate size in the log of a turn besides its text, and of a turn in an
/// account.
const ENTRY_BYTES: usize = HEADER_BYTES + 80;
const SPEND_LOG_BYTES: u64 = 100;

/// What an index takes up, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IndexBytes {
    /// Memory of turns and accounts without texts.
    pub entries: usize,
    /// Memory of texts.
    pub texts: usize,
    /// Approximate size in the log of what is still needed.
    pub log: u64,
}

impl IndexBytes {
    /// Memory of turns, accounts and texts.
    pub fn memory(&self) -> usize {
        self.entries + self.texts
    }
}

impl std::ops::Add for IndexBytes {
    type Output = IndexBytes;

    fn add(self, other: IndexBytes) -> IndexBytes {
        IndexBytes {
            entries: self.entries + other.entries,
            texts: self.texts + other.texts,
            log: self.log + other.log,
        }
    }
}

/// Turns and accounts of one partition on one instance.
#[derive(Debug, Default)]
pub struct Index {
    /// Sums over all turns.
    text_bytes: usize,
    turn_log_bytes: u64,
    spend_count: usize,
    turns: HashMap<Name, StoredTurn>,
    accounts: HashMap<Name, Account>,
    retention: Duration,
}

impl Index {
    /// Applies one entry that isn't written to the log yet. Entries may arrive
    /// in any order and more than once.
    pub fn apply(&mut self, entry: LogEntry, at: LogTime) {
        match entry {
            LogEntry::Turn(record) => {
                let text = Text::Unwritten(record.text.clone());
                self.insert_turn(record, text, at);
            }
            entry => self.apply_account(entry, at),
        }
    }

    /// Applies one entry that was read from the log.
    pub fn apply_logged(&mut self, entry: LogEntry, location: Location, at: LogTime) {
        match entry {
            LogEntry::Turn(record) => {
                self.insert_turn(record, Text::Written(location, None), at);
            }
            entry => self.apply_account(entry, at),
        }
    }

    fn apply_account(&mut self, entry: LogEntry, at: LogTime) {
        match entry {
            LogEntry::Reserve { program, turn, tokens } => {
                let added = self.open_account(program, at).reserve(turn, tokens);
                self.spend_count += usize::from(added);
            }
            LogEntry::Settle { program, turn, tokens } => {
                let added = self.open_account(program, at).settle(turn, tokens);
                self.spend_count += usize::from(added);
            }
            LogEntry::Retention(keep_ms) => {
                self.retention = self.retention.max(Duration::from_millis(keep_ms.into()));
            }
            LogEntry::Turn(_)
            | LogEntry::Epoch(_)
            | LogEntry::DropPartition
            | LogEntry::Crash { .. }
            | LogEntry::Fact(_) => {}
        }
    }

    fn insert_turn(&mut self, record: TurnRecord, text: Text, at: LogTime) {
        self.retention = self.retention.max(Duration::from_millis(record.keep_ms.into()));
        let TurnRecord { turn, previous, upstream, keep_ms, .. } = record;
        // Names are shared with the turn that has them as its key.
        let previous = previous.map(|previous| {
            self.turns.get_key_value(&previous).map_or(previous, |(key, _)| key.clone())
        });
        match self.turns.entry(turn) {
            // A repeated turn is the same; the entry that is known to be in the
            // log has to stay there until the new one is.
            hash_map::Entry::Occupied(mut known) => {
                let known = known.get_mut();
                known.last_used = known.last_used.max(at);
                known.keep_ms = known.keep_ms.max(keep_ms);
            }
            hash_map::Entry::Vacant(entry) => {
                self.text_bytes += text.loaded_bytes();
                self.turn_log_bytes += text.log_bytes();
                let previous = previous.clone();
                entry.insert(StoredTurn { previous, upstream, keep_ms, last_used: at, text });
            }
        }
        self.mark_used(previous, at);
    }

    /// Marks a turn and those before it as used: a chain is retained as long as
    /// its last turn. A turn that was used later marked its chain itself.
    fn mark_used(&mut self, last: Option<Name>, at: LogTime) {
        let mut next = last;
        while let Some(stored) = next.take().and_then(|turn| self.turns.get_mut(&turn)) {
            if stored.last_used < at {
                stored.last_used = at;
                next = stored.previous.clone();
            }
        }
    }

    /// Marks all chains as used when their last turns were. Needed after entries
    /// were applied of which some precede the turns that they continue.
    pub fn mark_chains(&mut self) {
        let used: Vec<_> =
            self.turns.values().map(|turn| (turn.previous.clone(), turn.last_used)).collect();
        used.into_iter().for_each(|(previous, at)| self.mark_used(previous, at));
    }

    /// Records where an applied turn stands in the log. Returns whether this is
    /// its first place. Its text then stays in memory until [`Index::unload`].
    pub fn set_location(&mut self, turn: &str, location: Location) -> bool {
        let Some(stored) = self.turns.get_mut(turn) else { return false };
        let before = stored.text.log_bytes();
        let (is_first, text) = match &mut stored.text {
            Text::Unwritten(text) => (true, Some(std::mem::take(text))),
            Text::Written(_, text) => (false, text.take()),
        };
        stored.text = Text::Written(location, text);
        self.turn_log_bytes = self.turn_log_bytes - before + stored.text.log_bytes();
        is_first
    }

    /// Removes the text of a turn from memory if it is in the log.
    pub fn unload(&mut self, turn: &str) {
        if let Some(StoredTurn { text: Text::Written(_, text), .. }) = self.turns.get_mut(turn) {
            self.text_bytes -= text.take().map_or(0, |text| text.len());
        }
    }

    fn open_account(&mut self, program: Name, at: LogTime) -> &mut Account {
        let account = self.accounts.entry(program).or_insert_with(|| Account::new(at));
        account.last_used = account.last_used.max(at);
        account
    }

    /// Tokens that turns of `program` other than `turn` spent or reserved.
    pub fn others(&self, program: &str, turn: &str) -> u64 {
        self.accounts.get(program).map_or(0, |account| account.others(turn))
    }

    /// What turns of `program` other than `turn` spent or reserved, as reported
    /// to clients.
    pub fn report(&self, program: &str, turn: &str) -> AccountReport {
        let account = self.accounts.get(program);
        AccountReport {
            others: account.map_or(0, |account| account.others(turn)),
            settled: Some(account.map_or_else(Default::default, |account| account.settled(turn))),
        }
    }

    /// Whether a turn of a program is not settled with this many tokens.
    pub(crate) fn lacks(&self, program: &str, turn: &str, tokens: u32) -> bool {
        let account = self.accounts.get(program);
        !account.is_some_and(|account| account.holds(turn, Spend::Settled(tokens)))
    }

    /// What each turn of a program spent or reserved.
    pub fn account(&self, program: &str) -> Vec<TurnSpend> {
        self.accounts.get(program).map(Account::spends).unwrap_or_default()
    }

    /// The chain that ends with `turn`. Marks all of its turns as used.
    pub fn chain(&mut self, turn: &Name, now: LogTime) -> StoredChain {
        let mut texts = Vec::new();
        let mut next = Some(turn.clone());
        let mut upstream = None;
        // A client may use the name of a turn twice, so that a chain has no start.
        let turns_max = self.turns.len();
        while let Some(name) = next.take().filter(|_| texts.len() <= turns_max) {
            let Some(stored) = self.turns.get_mut(&name) else {
                next = Some(name);
                break;
            };
            stored.last_used = stored.last_used.max(now);
            upstream.get_or_insert_with(|| stored.upstream.clone());
            texts.push(stored.stored_text());
            next = stored.previous.clone();
        }
        texts.reverse();
        StoredChain { texts, missing: next, upstream }
    }

    /// Whether accounts are retained for `keep_ms` after their last use.
    pub fn retains_for(&self, keep_ms: u32) -> bool {
        self.retention >= Duration::from_millis(keep_ms.into())
    }

    /// Records which replica ran the last turn of a conversation branch.
    pub fn record_run(&mut self, program: &str, run: LastRun) {
        if let Some(account) = self.accounts.get_mut(program) {
            account.record_run(run);
        }
    }

    /// The replica that ran the last turn of a conversation branch. A new
    /// branch continues the program's latest one, so it gets that replica.
    pub fn last_run(&self, program: &str, branch: &str) -> Option<Name> {
        self.accounts.get(program)?.last_run(branch)
    }

    /// Whether any turn of a program has spent or reserved tokens.
    pub fn has_account(&self, program: &str) -> bool {
        self.accounts.contains_key(program)
    }

    /// Whether a program has tokens that are spent or reserved. A refused turn
    /// leaves an account without any.
    pub fn has_spent(&self, program: &str) -> bool {
        self.accounts.get(program).is_some_and(Account::has_spent)
    }

    /// Whether a turn is known.
    pub fn contains_turn(&self, turn: &str) -> bool {
        self.turns.contains_key(turn)
    }

    /// What the index takes up.
    pub fn bytes(&self) -> IndexBytes {
        IndexBytes {
            entries: self.turns.len() * TURN_BYTES + self.spend_count * SPEND_BYTES,
            texts: self.text_bytes,
            log: self.turn_log_bytes + self.spend_count as u64 * SPEND_LOG_BYTES,
        }
    }

    /// Number of turns and of accounts.
    pub fn len(&self) -> (usize, usize) {
        (self.turns.len(), self.accounts.len())
    }

    /// Whether there are no turns and no accounts.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty() && self.accounts.is_empty()
    }

    /// Names of all turns.
    pub fn turn_names(&self) -> Vec<Name> {
        self.turns.keys().cloned().collect()
    }

    /// A turn without its text, where the text is, and when the turn was last
    /// used.
    pub fn turn(&self, turn: &Name) -> Option<(TurnRecord, StoredText, LogTime)> {
        let stored = self.turns.get(turn)?;
        let record = TurnRecord {
            turn: turn.clone(),
            previous: stored.previous.clone(),
            text: Bytes::new(),
            upstream: stored.upstream.clone(),
            keep_ms: stored.keep_ms,
        };
        Some((record, stored.stored_text(), stored.last_used))
    }

    /// All accounts as log entries, with the time of their last use.
    pub fn account_entries(&self) -> Vec<(LogEntry, LogTime)> {
        let accounts = self.accounts.iter().flat_map(|(program, account)| {
            account.entries(program).map(|entry| (entry, account.last_used))
        });
        accounts.collect()
    }

    /// The retention of accounts as a log entry, if one is known.
    pub fn retention_entry(&self) -> Option<LogEntry> {
        let keep_ms = u32::try_from(self.retention.as_millis()).unwrap_or(u32::MAX);
        (keep_ms > 0).then_some(LogEntry::Retention(keep_ms))
    }

    /// Time of the last use that an entry at this location has to keep when it
    /// is written again; `None` if the entry is no longer needed.
    pub fn needed_since(&self, entry: &LogEntry, location: Location) -> Option<LogTime> {
        let spend = |program: &Name, turn: &Name, spend: Spend| {
            let account = self.accounts.get(program)?;
            account.holds(turn, spend).then_some(account.last_used)
        };
        match entry {
            LogEntry::Turn(record) => {
                let stored = self.turns.get(&record.turn)?;
                let is_current =
                    matches!(stored.text, Text::Written(current, _) if current == location);
                is_current.then_some(stored.last_used)
            }
            LogEntry::Reserve { program, turn, tokens } => {
                spend(program, turn, Spend::Reserved(*tokens))
            }
            LogEntry::Settle { program, turn, tokens } => {
                spend(program, turn, Spend::Settled(*tokens))
            }
            LogEntry::DropPartition
            | LogEntry::Epoch(_)
            | LogEntry::Retention(_)
            | LogEntry::Crash { .. }
            | LogEntry::Fact(_) => None,
        }
    }

    /// Drops entries that were not used within their retention time plus
    /// `margin`.
    pub fn expire(&mut self, now: LogTime, margin: Duration) {
        self.expire_turns(now, margin);
        self.expire_accounts(now, margin);
    }

    /// Drops turns that were not used within their retention time plus `margin`.
    pub fn expire_turns(&mut self, now: LogTime, margin: Duration) {
        let (text_bytes, log_bytes) = (&mut self.text_bytes, &mut self.turn_log_bytes);
        self.turns.retain(|_, stored| {
            let retention = Duration::from_millis(stored.keep_ms.into()) + margin;
            let is_live = now.since(stored.last_used) < retention;
            if !is_live {
                *text_bytes -= stored.text.loaded_bytes();
                *log_bytes -= stored.text.log_bytes();
            }
            is_live
        });
    }

    /// Drops accounts that were not used within the retention time plus `margin`.
    pub fn expire_accounts(&mut self, now: LogTime, margin: Duration) {
        let retention = self.retention + margin;
        let spend_count = &mut self.spend_count;
        self.accounts.retain(|_, account| {
            let is_live = now.since(account.last_used) < retention;
            *spend_count -= if is_live { 0 } else { account.len() };
            is_live
        });
    }
}

impl StoredTurn {
    fn stored_text(&self) -> StoredText {
        match &self.text {
            Text::Unwritten(text) | Text::Written(_, Some(text)) => {
                StoredText::Loaded(text.clone())
            }
            Text::Written(location, None) => StoredText::Logged(*location),
        }
    }
}
