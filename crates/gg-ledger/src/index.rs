//! What a ledger instance knows, in memory: turns by request and accounts by
//! program. A plain type; the log feeds it.

use std::{
    collections::{HashMap, hash_map},
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use gg_protocol::Name;
use serde::{Deserialize, Serialize};

use crate::{Line, TurnRecord};

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
pub(crate) struct Spent {
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
const LINES_MAX: usize = 8;

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
    used: Instant,
    /// A hint, so it is not written to the log.
    runs: Vec<LastRun>,
}

#[derive(Debug)]
struct Kept {
    record: TurnRecord,
    used: Instant,
}

/// Bytes that a turn takes beside its text, and one that an account knows of:
/// names, map entries and allocations.
const TURN_BYTES: usize = 400;
const SPEND_BYTES: usize = 120;

/// Turns and accounts of one instance.
#[derive(Debug, Default)]
pub struct Index {
    text_bytes: usize,
    spends: usize,
    turns: HashMap<Name, Kept>,
    accounts: HashMap<Name, Account>,
    keep: Duration,
}

impl Index {
    /// Takes in one line. Lines may come in any order and more than once.
    pub fn apply(&mut self, line: Line, now: Instant) {
        match line {
            Line::Reserve { program, turn, tokens } => {
                let added = self.open_account(program, now).reserve(turn, tokens);
                self.spends += usize::from(added);
            }
            Line::Settle { program, turn, tokens } => {
                let added = self.open_account(program, now).settle(turn, tokens);
                self.spends += usize::from(added);
            }
            Line::Turn(record) => {
                self.keep = self.keep.max(Duration::from_millis(record.keep_ms.into()));
                self.text_bytes += record.text.len();
                let before = self.turns.insert(record.turn.clone(), Kept { record, used: now });
                self.text_bytes -= before.map_or(0, |kept| kept.record.text.len());
            }
            Line::Keep(keep_ms) => {
                self.keep = self.keep.max(Duration::from_millis(keep_ms.into()));
            }
            Line::Epoch(_) | Line::Forget | Line::Crash { .. } | Line::Fact(_) => {}
        }
    }

    fn open_account(&mut self, program: Name, now: Instant) -> &mut Account {
        let empty = || Account { turns: HashMap::new(), total: 0, used: now, runs: Vec::new() };
        let account = self.accounts.entry(program).or_insert_with(empty);
        account.used = now;
        account
    }

    /// Tokens that the turns of `program` other than `turn` spent or set
    /// aside.
    pub fn others(&self, program: &str, turn: &str) -> u64 {
        let Some(account) = self.accounts.get(program) else { return 0 };
        account.total - account.turns.get(turn).map_or(0, |spend| spend.tokens())
    }

    /// What each turn of a program spent or set aside.
    pub(crate) fn account(&self, program: &str) -> Vec<Spent> {
        let turns = self.accounts.get(program).into_iter().flat_map(|account| &account.turns);
        let spent = turns.map(|(turn, spend)| {
            let (tokens, is_settled) = match *spend {
                Spend::Reserved(tokens) => (tokens, false),
                Spend::Settled(tokens) => (tokens, true),
            };
            Spent { turn: turn.clone(), tokens, is_settled }
        });
        spent.collect()
    }

    /// The chain that ends with `turn`; all of its turns count as used.
    pub fn chain(&mut self, turn: &Name, now: Instant) -> Chain {
        let mut texts = Vec::new();
        let mut next = Some(turn.clone());
        let mut upstream = None;
        while let Some(name) = next.take() {
            let Some(kept) = self.turns.get_mut(&name) else {
                next = Some(name);
                break;
            };
            kept.used = now;
            upstream.get_or_insert_with(|| kept.record.upstream.clone());
            texts.push(kept.record.text.clone());
            next = kept.record.previous.clone();
        }
        let mut text = BytesMut::with_capacity(texts.iter().map(Bytes::len).sum());
        texts.iter().rev().for_each(|part| text.extend_from_slice(part));
        Chain { text: text.freeze(), missing: next, upstream }
    }

    /// Whether accounts are kept for `keep_ms` after their last use.
    pub fn keeps_for(&self, keep_ms: u32) -> bool {
        self.keep >= Duration::from_millis(keep_ms.into())
    }

    /// Takes in which replica ran the last turn of a line of a program.
    pub fn note_run(&mut self, program: &str, run: LastRun) {
        let Some(account) = self.accounts.get_mut(program) else { return };
        account.runs.retain(|known| known.line != run.line);
        if account.runs.len() >= LINES_MAX {
            account.runs.remove(0);
        }
        account.runs.push(run);
    }

    /// The replica that ran the last turn of a line, or the last one of its
    /// program, which a new line continues.
    pub fn last_run(&self, program: &str, line: &str) -> Option<Name> {
        let runs = &self.accounts.get(program)?.runs;
        let own = runs.iter().find(|run| &*run.line == line);
        own.or(runs.last()).map(|run| run.upstream.clone())
    }

    /// Whether any turn of a program has spent or set aside tokens.
    pub fn has_account(&self, program: &str) -> bool {
        self.accounts.contains_key(program)
    }

    /// Whether a turn is known.
    pub fn has(&self, turn: &str) -> bool {
        self.turns.contains_key(turn)
    }

    /// Memory that all of it takes, in bytes, about.
    pub fn bytes(&self) -> usize {
        self.text_bytes + self.turns.len() * TURN_BYTES + self.spends * SPEND_BYTES
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
    pub fn lines(&self) -> Vec<Line> {
        let turns = self.turns.values().map(|kept| Line::Turn(kept.record.clone()));
        let accounts = self.accounts.iter().flat_map(|(program, account)| account.lines(program));
        let keep_ms = u32::try_from(self.keep.as_millis()).unwrap_or(u32::MAX);
        let keep = (!self.accounts.is_empty()).then_some(Line::Keep(keep_ms));
        keep.into_iter().chain(turns).chain(accounts).collect()
    }

    /// Drops what was not used within its time, `margin` added.
    pub fn expire(&mut self, now: Instant, margin: Duration) {
        let keep = self.keep + margin;
        let (text_bytes, spends) = (&mut self.text_bytes, &mut self.spends);
        self.turns.retain(|_, kept| {
            let keep = Duration::from_millis(kept.record.keep_ms.into()) + margin;
            let stays = now.saturating_duration_since(kept.used) < keep;
            *text_bytes -= if stays { 0 } else { kept.record.text.len() };
            stays
        });
        self.accounts.retain(|_, account| {
            let stays = now.saturating_duration_since(account.used) < keep;
            *spends -= if stays { 0 } else { account.turns.len() };
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

    fn lines(&self, program: &Name) -> impl Iterator<Item = Line> {
        self.turns.iter().map(|(turn, spend)| {
            let (program, turn) = (program.clone(), turn.clone());
            match *spend {
                Spend::Reserved(tokens) => Line::Reserve { program, turn, tokens },
                Spend::Settled(tokens) => Line::Settle { program, turn, tokens },
            }
        })
    }
}
