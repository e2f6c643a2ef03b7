//! What the turns of one program spent and reserved.

use std::collections::{HashMap, hash_map};

use gg_protocol::Name;
use serde::{Deserialize, Serialize};

use crate::{LogEntry, LogTime, hash::mix, set::fnv1a};

/// Tokens that one turn spent or reserved.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnSpend {
    /// Turn that spent or reserved the tokens.
    pub turn: Name,
    /// Number of tokens.
    pub tokens: u32,
    /// Whether the turn has ended. Otherwise the tokens are reserved.
    pub is_settled: bool,
}

/// Tokens of one turn: reserved until it ends, then spent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Spend {
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

/// Settled turns of an account, without their names. Members with equal values
/// hold the same settled turns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettledTurns {
    /// Tokens that the turns spent.
    pub tokens: u64,
    /// Digest of the turns that spent any tokens, in any order.
    pub digest: u64,
}

impl SettledTurns {
    /// Adds a turn.
    fn add(&mut self, turn: &str, tokens: u32) {
        self.tokens += u64::from(tokens);
        self.digest = self.digest.wrapping_add(spend_digest(turn, tokens));
    }

    /// Removes a turn that was added.
    fn remove(&mut self, turn: &str, tokens: u32) {
        self.tokens -= u64::from(tokens);
        self.digest = self.digest.wrapping_sub(spend_digest(turn, tokens));
    }
}

/// Digest of what one turn spent. Members of all versions must compute the same
/// value.
fn spend_digest(turn: &str, tokens: u32) -> u64 {
    match tokens {
        // A refused turn is unknown to members that it didn't reach.
        0 => 0,
        tokens => mix(fnv1a(turn.as_bytes()) ^ mix(u64::from(tokens))),
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

/// What the turns of one program spent and reserved.
#[derive(Debug)]
pub(crate) struct Account {
    turns: HashMap<Name, Spend>,
    total: u64,
    settled: SettledTurns,
    pub(crate) last_used: LogTime,
    /// A placement hint, so it is not logged.
    runs: Vec<LastRun>,
}

impl Account {
    /// Creates an account without turns.
    pub(crate) fn new(at: LogTime) -> Self {
        Account {
            turns: HashMap::new(),
            total: 0,
            settled: SettledTurns::default(),
            last_used: at,
            runs: Vec::new(),
        }
    }

    /// Returns whether the turn is new to the account.
    pub(crate) fn reserve(&mut self, turn: Name, tokens: u32) -> bool {
        // A settlement that arrived before its reservation takes precedence.
        let hash_map::Entry::Vacant(entry) = self.turns.entry(turn) else { return false };
        entry.insert(Spend::Reserved(tokens));
        self.total += u64::from(tokens);
        true
    }

    /// Of two settlements of a turn the larger one counts, on all members.
    /// Returns whether the turn is new to the account.
    pub(crate) fn settle(&mut self, turn: Name, tokens: u32) -> bool {
        let before = self.turns.get(&turn).copied();
        if let Some(Spend::Settled(before)) = before {
            if before >= tokens {
                return false;
            }
            self.settled.remove(&turn, before);
        }
        self.settled.add(&turn, tokens);
        self.turns.insert(turn, Spend::Settled(tokens));
        self.total += u64::from(tokens);
        self.total -= before.map_or(0, Spend::tokens);
        before.is_none()
    }

    /// Number of turns.
    pub(crate) fn len(&self) -> usize {
        self.turns.len()
    }

    /// Whether any tokens are spent or reserved.
    pub(crate) fn has_spent(&self) -> bool {
        self.total > 0
    }

    /// Whether a turn has this state.
    pub(crate) fn holds(&self, turn: &str, spend: Spend) -> bool {
        self.turns.get(turn) == Some(&spend)
    }

    /// Tokens that turns other than `turn` spent or reserved.
    pub(crate) fn others(&self, turn: &str) -> u64 {
        self.total - self.turns.get(turn).map_or(0, |spend| spend.tokens())
    }

    /// Settled turns other than `turn`.
    pub(crate) fn settled(&self, turn: &str) -> SettledTurns {
        let mut settled = self.settled;
        if let Some(Spend::Settled(tokens)) = self.turns.get(turn) {
            settled.remove(turn, *tokens);
        }
        settled
    }

    /// What each turn spent or reserved.
    pub(crate) fn spends(&self) -> Vec<TurnSpend> {
        let spends = self.turns.iter().map(|(turn, spend)| {
            let (tokens, is_settled) = match *spend {
                Spend::Reserved(tokens) => (tokens, false),
                Spend::Settled(tokens) => (tokens, true),
            };
            TurnSpend { turn: turn.clone(), tokens, is_settled }
        });
        spends.collect()
    }

    /// The turns as log entries of a program.
    pub(crate) fn entries(&self, program: &Name) -> impl Iterator<Item = LogEntry> {
        self.turns.iter().map(|(turn, spend)| {
            let (program, turn) = (program.clone(), turn.clone());
            match *spend {
                Spend::Reserved(tokens) => LogEntry::Reserve { program, turn, tokens },
                Spend::Settled(tokens) => LogEntry::Settle { program, turn, tokens },
            }
        })
    }

    /// Records which replica ran the last turn of a conversation branch.
    pub(crate) fn record_run(&mut self, run: LastRun) {
        self.runs.retain(|known| known.branch != run.branch);
        if self.runs.len() >= BRANCHES_MAX {
            self.runs.remove(0);
        }
        self.runs.push(run);
    }

    /// The replica that ran the last turn of a branch, or of any.
    pub(crate) fn last_run(&self, branch: &str) -> Option<Name> {
        let own = self.runs.iter().find(|run| &*run.branch == branch);
        own.or(self.runs.last()).map(|run| run.upstream.clone())
    }
}
