//! In-memory index of one partition: turns by request and accounts by program.
//! Built from log entries; performs no I/O.

use std::{
    collections::{HashMap, hash_map},
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use gg_protocol::Name;
use serde::{Deserialize, Serialize};

use crate::{LogEntry, TurnRecord};

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

/// Tokens that one turn spent or reserved.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TurnSpend {
    pub(crate) turn: Name,
    pub(crate) tokens: u32,
    /// Whether the turn has ended. Otherwise the tokens are reserved.
    pub(crate) is_settled: bool,
}

/// Tokens of one turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Spend {
    Reserved(u32),
    Settled(u32),
}

impl Spend {
    fn tokens(self) -> u64 {
        match self {
            Spend::Reserved(tokens) | Spend::Settled(tokens) => u64::from(tokens),
        }
    }
}

/// Number of conversation branches per program whose replicas are remembered.
/// The oldest is evicted first.
const BRANCHES_MAX: usize = 8;

/// Replica that ran the last turn of a conversation branch and has its prompt
/// cached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastRun {
    /// Conversation branch.
    pub branch: Name,
    /// Replica.
    pub upstream: Name,
}

#[derive(Debug)]
struct Account {
    turns: HashMap<Name, Spend>,
    total: u64,
    last_used: Instant,
    /// A placement hint, so it is not logged.
    runs: Vec<LastRun>,
}

#[derive(Debug)]
struct StoredTurn {
    record: TurnRecord,
    last_used: Instant,
}

/// Approximate memory use of a turn besides its text, and of a turn in an
/// account: names, map entries and allocations.
const TURN_BYTES: usize = 400;
const SPEND_BYTES: usize = 120;

/// Turns and accounts of one partition on one instance.
#[derive(Debug, Default)]
pub struct Index {
    text_bytes: usize,
    spend_count: usize,
    turns: HashMap<Name, StoredTurn>,
    accounts: HashMap<Name, Account>,
    retention: Duration,
}

impl Index {
    /// Applies one entry. Entries may arrive in any order and more than once.
    pub fn apply(&mut self, entry: LogEntry, now: Instant) {
        match entry {
            LogEntry::Reserve { program, turn, tokens } => {
                let added = self.open_account(program, now).reserve(turn, tokens);
                self.spend_count += usize::from(added);
            }
            LogEntry::Settle { program, turn, tokens } => {
                let added = self.open_account(program, now).settle(turn, tokens);
                self.spend_count += usize::from(added);
            }
            LogEntry::Turn(record) => {
                self.retention = self.retention.max(Duration::from_millis(record.keep_ms.into()));
                self.text_bytes += record.text.len();
                let before =
                    self.turns.insert(record.turn.clone(), StoredTurn { record, last_used: now });
                self.text_bytes -= before.map_or(0, |stored| stored.record.text.len());
            }
            LogEntry::Retention(keep_ms) => {
                self.retention = self.retention.max(Duration::from_millis(keep_ms.into()));
            }
            LogEntry::Epoch(_)
            | LogEntry::DropPartition
            | LogEntry::Crash { .. }
            | LogEntry::Fact(_) => {}
        }
    }

    fn open_account(&mut self, program: Name, now: Instant) -> &mut Account {
        let empty =
            || Account { turns: HashMap::new(), total: 0, last_used: now, runs: Vec::new() };
        let account = self.accounts.entry(program).or_insert_with(empty);
        account.last_used = now;
        account
    }

    /// Tokens that turns of `program` other than `turn` spent or reserved.
    pub fn others(&self, program: &str, turn: &str) -> u64 {
        let Some(account) = self.accounts.get(program) else { return 0 };
        account.total - account.turns.get(turn).map_or(0, |spend| spend.tokens())
    }

    /// What each turn of a program spent or reserved.
    pub(crate) fn account(&self, program: &str) -> Vec<TurnSpend> {
        let turns = self.accounts.get(program).into_iter().flat_map(|account| &account.turns);
        let spent = turns.map(|(turn, spend)| {
            let (tokens, is_settled) = match *spend {
                Spend::Reserved(tokens) => (tokens, false),
                Spend::Settled(tokens) => (tokens, true),
            };
            TurnSpend { turn: turn.clone(), tokens, is_settled }
        });
        spent.collect()
    }

    /// The chain that ends with `turn`. Marks all of its turns as used.
    pub fn chain(&mut self, turn: &Name, now: Instant) -> Chain {
        let mut texts = Vec::new();
        let mut next = Some(turn.clone());
        let mut upstream = None;
        while let Some(name) = next.take() {
            let Some(stored) = self.turns.get_mut(&name) else {
                next = Some(name);
                break;
            };
            stored.last_used = now;
            upstream.get_or_insert_with(|| stored.record.upstream.clone());
            texts.push(stored.record.text.clone());
            next = stored.record.previous.clone();
        }
        let mut text = BytesMut::with_capacity(texts.iter().map(Bytes::len).sum());
        texts.iter().rev().for_each(|part| text.extend_from_slice(part));
        Chain { text: text.freeze(), missing: next, upstream }
    }

    /// Whether accounts are retained for `keep_ms` after their last use.
    pub fn retains_for(&self, keep_ms: u32) -> bool {
        self.retention >= Duration::from_millis(keep_ms.into())
    }

    /// Records which replica ran the last turn of a conversation branch.
    pub fn record_run(&mut self, program: &str, run: LastRun) {
        let Some(account) = self.accounts.get_mut(program) else { return };
        account.runs.retain(|known| known.branch != run.branch);
        if account.runs.len() >= BRANCHES_MAX {
            account.runs.remove(0);
        }
        account.runs.push(run);
    }

    /// The replica that ran the last turn of a conversation branch. A new
    /// branch continues the program's latest one, so it gets that replica.
    pub fn last_run(&self, program: &str, branch: &str) -> Option<Name> {
        let runs = &self.accounts.get(program)?.runs;
        let own = runs.iter().find(|run| &*run.branch == branch);
        own.or(runs.last()).map(|run| run.upstream.clone())
    }

    /// Whether any turn of a program has spent or reserved tokens.
    pub fn has_account(&self, program: &str) -> bool {
        self.accounts.contains_key(program)
    }

    /// Whether a turn is known.
    pub fn contains_turn(&self, turn: &str) -> bool {
        self.turns.contains_key(turn)
    }

    /// Approximate memory use in bytes.
    pub fn bytes(&self) -> usize {
        self.text_bytes + self.turns.len() * TURN_BYTES + self.spend_count * SPEND_BYTES
    }

    /// Number of turns and of accounts.
    pub fn len(&self) -> (usize, usize) {
        (self.turns.len(), self.accounts.len())
    }

    /// Whether there are no turns and no accounts.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty() && self.accounts.is_empty()
    }

    /// All turns and accounts as log entries.
    pub fn entries(&self) -> Vec<LogEntry> {
        let turns = self.turns.values().map(|stored| LogEntry::Turn(stored.record.clone()));
        let accounts = self.accounts.iter().flat_map(|(program, account)| account.entries(program));
        let keep_ms = u32::try_from(self.retention.as_millis()).unwrap_or(u32::MAX);
        let retention = (!self.accounts.is_empty()).then_some(LogEntry::Retention(keep_ms));
        retention.into_iter().chain(turns).chain(accounts).collect()
    }

    /// Drops entries that were not used within their retention time plus
    /// `margin`.
    pub fn expire(&mut self, now: Instant, margin: Duration) {
        let retention = self.retention + margin;
        let (text_bytes, spend_count) = (&mut self.text_bytes, &mut self.spend_count);
        self.turns.retain(|_, stored| {
            let retention = Duration::from_millis(stored.record.keep_ms.into()) + margin;
            let is_live = now.saturating_duration_since(stored.last_used) < retention;
            *text_bytes -= if is_live { 0 } else { stored.record.text.len() };
            is_live
        });
        self.accounts.retain(|_, account| {
            let is_live = now.saturating_duration_since(account.last_used) < retention;
            *spend_count -= if is_live { 0 } else { account.turns.len() };
            is_live
        });
    }
}

impl Account {
    /// Returns whether the turn is new to the account.
    fn reserve(&mut self, turn: Name, tokens: u32) -> bool {
        // A settlement that arrived before its reservation takes precedence.
        let hash_map::Entry::Vacant(entry) = self.turns.entry(turn) else { return false };
        entry.insert(Spend::Reserved(tokens));
        self.total += u64::from(tokens);
        true
    }

    /// Returns whether the turn is new to the account.
    fn settle(&mut self, turn: Name, tokens: u32) -> bool {
        let before = self.turns.insert(turn, Spend::Settled(tokens));
        self.total += u64::from(tokens);
        self.total -= before.map_or(0, Spend::tokens);
        before.is_none()
    }

    fn entries(&self, program: &Name) -> impl Iterator<Item = LogEntry> {
        self.turns.iter().map(|(turn, spend)| {
            let (program, turn) = (program.clone(), turn.clone());
            match *spend {
                Spend::Reserved(tokens) => LogEntry::Reserve { program, turn, tokens },
                Spend::Settled(tokens) => LogEntry::Settle { program, turn, tokens },
            }
        })
    }
}
