//! What a ledger instance knows, in memory: turns by request and accounts by
//! program. A plain type; the log feeds it.

use std::{
    collections::{HashMap, hash_map},
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use gg_protocol::Name;
use serde::{Deserialize, Serialize};

use crate::{LogEntry, TurnRecord};

/// A chain from its start to the turn asked for, as far as it is known.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chain {
    /// Texts of the turns in order, from after `missing` on.
    pub text: Bytes,
    /// Turn that is not known here; the texts follow it.
    pub missing: Option<Name>,
    /// Replica that ran the last turn.
    pub upstream: Option<Name>,
}

/// What one turn spent or set aside.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TurnSpend {
    pub(crate) turn: Name,
    pub(crate) tokens: u32,
    /// The turn has ended; else the tokens are set aside.
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

/// Lines of turns of one program whose replicas are remembered; the oldest
/// goes first.
const BRANCHES_MAX: usize = 8;

/// Which replica ran the last turn of a line, whose prompt it keeps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastRun {
    /// Line of turns.
    pub line: Name,
    /// Replica.
    pub upstream: Name,
}

#[derive(Debug)]
struct Account {
    turns: HashMap<Name, Spend>,
    total: u64,
    last_used: Instant,
    /// A hint, so it is not written to the log.
    runs: Vec<LastRun>,
}

#[derive(Debug)]
struct StoredTurn {
    record: TurnRecord,
    last_used: Instant,
}

/// Bytes that a turn takes beside its text, and one that an account knows of:
/// names, map entries and allocations.
const TURN_BYTES: usize = 400;
const SPEND_BYTES: usize = 120;

/// Turns and accounts of one instance.
#[derive(Debug, Default)]
pub struct Index {
    text_bytes: usize,
    spend_count: usize,
    turns: HashMap<Name, StoredTurn>,
    accounts: HashMap<Name, Account>,
    retention: Duration,
}

impl Index {
    /// Takes in one line. Lines may come in any order and more than once.
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

    /// Tokens that the turns of `program` other than `turn` spent or set
    /// aside.
    pub fn others(&self, program: &str, turn: &str) -> u64 {
        let Some(account) = self.accounts.get(program) else { return 0 };
        account.total - account.turns.get(turn).map_or(0, |spend| spend.tokens())
    }

    /// What each turn of a program spent or set aside.
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

    /// The chain that ends with `turn`; all of its turns count as used.
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

    /// Whether accounts are kept for `keep_ms` after their last use.
    pub fn retains_for(&self, keep_ms: u32) -> bool {
        self.retention >= Duration::from_millis(keep_ms.into())
    }

    /// Takes in which replica ran the last turn of a line of a program.
    pub fn record_run(&mut self, program: &str, run: LastRun) {
        let Some(account) = self.accounts.get_mut(program) else { return };
        account.runs.retain(|known| known.line != run.line);
        if account.runs.len() >= BRANCHES_MAX {
            account.runs.remove(0);
        }
        account.runs.push(run);
    }

    /// The replica that ran the last turn of a line, or the last one of its
    /// program, which a new line continues.
    pub fn last_run(&self, program: &str, branch: &str) -> Option<Name> {
        let runs = &self.accounts.get(program)?.runs;
        let own = runs.iter().find(|run| &*run.line == branch);
        own.or(runs.last()).map(|run| run.upstream.clone())
    }

    /// Whether any turn of a program has spent or set aside tokens.
    pub fn has_account(&self, program: &str) -> bool {
        self.accounts.contains_key(program)
    }

    /// Whether a turn is known.
    pub fn contains_turn(&self, turn: &str) -> bool {
        self.turns.contains_key(turn)
    }

    /// Memory that all of it takes, in bytes, about.
    pub fn bytes(&self) -> usize {
        self.text_bytes + self.turns.len() * TURN_BYTES + self.spend_count * SPEND_BYTES
    }

    /// Number of turns and of accounts.
    pub fn len(&self) -> (usize, usize) {
        (self.turns.len(), self.accounts.len())
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty() && self.accounts.is_empty()
    }

    /// All that is known, as lines.
    pub fn entries(&self) -> Vec<LogEntry> {
        let turns = self.turns.values().map(|stored| LogEntry::Turn(stored.record.clone()));
        let accounts = self.accounts.iter().flat_map(|(program, account)| account.entries(program));
        let keep_ms = u32::try_from(self.retention.as_millis()).unwrap_or(u32::MAX);
        let retention = (!self.accounts.is_empty()).then_some(LogEntry::Retention(keep_ms));
        retention.into_iter().chain(turns).chain(accounts).collect()
    }

    /// Drops what was not used within its time, `margin` added.
    pub fn expire(&mut self, now: Instant, margin: Duration) {
        let retention = self.retention + margin;
        let (text_bytes, spend_count) = (&mut self.text_bytes, &mut self.spend_count);
        self.turns.retain(|_, stored| {
            let retention = Duration::from_millis(stored.record.keep_ms.into()) + margin;
            let stays = now.saturating_duration_since(stored.last_used) < retention;
            *text_bytes -= if stays { 0 } else { stored.record.text.len() };
            stays
        });
        self.accounts.retain(|_, account| {
            let stays = now.saturating_duration_since(account.last_used) < retention;
            *spend_count -= if stays { 0 } else { account.turns.len() };
            stays
        });
    }
}

impl Account {
    /// Returns whether the turn was not known.
    fn reserve(&mut self, turn: Name, tokens: u32) -> bool {
        // A settlement that came before its reservation stands.
        let hash_map::Entry::Vacant(entry) = self.turns.entry(turn) else { return false };
        entry.insert(Spend::Reserved(tokens));
        self.total += u64::from(tokens);
        true
    }

    /// Returns whether the turn was not known.
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
