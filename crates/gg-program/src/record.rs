//! Records of a daemon's journal.

use gg_protocol::{Answer, JournalId, Message, Name, ProgramId};
use serde::{Deserialize, Serialize};

use crate::Program;

/// One durable state change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A program was accepted.
    Started(Start),
    /// The reserved tokens of a root program grew to this total.
    Reserved {
        /// The root program.
        program: ProgramId,
        /// Tokens reserved since the start.
        total: u64,
    },
    /// A call that must not be sent twice is about to be sent.
    Intent(Intent),
    /// An intent was aborted: the call was not executed and will not be sent.
    Aborted {
        /// The program.
        program: ProgramId,
        /// Turn of the intent.
        turn: u32,
    },
    /// A turn has finished.
    Turn(TurnRecord),
    /// A program has ended.
    Ended {
        /// The program.
        program: ProgramId,
        /// Why it ended.
        reason: EndReason,
        /// Wall-clock time of the end, in ms.
        at_ms: u64,
    },
    /// An upstream confirmed that it no longer caches anything of an ended
    /// program.
    Released {
        /// The program.
        program: ProgramId,
        /// The upstream.
        upstream: Name,
    },
    /// An ended program was removed from the journal's state.
    Forgotten {
        /// The program.
        program: ProgramId,
    },
    /// The journal's owner is about to seal another journal.
    Adopting {
        /// The other journal.
        journal: JournalId,
    },
    /// All programs of another journal are in this one.
    Adopted {
        /// The other journal.
        journal: JournalId,
    },
    /// The whole state of a program; replaces its earlier records.
    Snapshot(Box<Program>),
}

/// Parameters of an accepted program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// The program.
    pub program: ProgramId,
    /// Customer that it belongs to.
    pub customer: Name,
    /// Profile that it runs under.
    pub profile: Name,
    /// Program that started it as a sub-agent.
    pub parent: Option<ProgramId>,
    /// Program whose budget it spends: its own, unless it is a sub-agent.
    pub root: ProgramId,
    /// Key that makes the start idempotent.
    pub key: Option<Name>,
    /// Wall-clock time of the start, in ms.
    pub at_ms: u64,
    /// Wall-clock deadline of the whole program, in ms.
    pub deadline_ms: u64,
    /// Tokens that the root may spend; zero for a sub-agent.
    pub budget: u64,
    /// Size of the first reserved block of the budget, in tokens.
    pub block: u64,
    /// Whether the program ends after its first turn.
    pub single: bool,
}

/// A call that is about to be sent and must not be sent twice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Intent {
    /// The program.
    pub program: ProgramId,
    /// Turn of the call.
    pub turn: u32,
    /// Digest of the call.
    pub digest: String,
    /// Idempotency key given by the caller.
    pub key: Option<Name>,
    /// Service to call.
    pub service: Name,
}

/// A finished turn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TurnRecord {
    /// The program.
    pub program: ProgramId,
    /// Customer of the program, bound into the chain of digests.
    pub customer: Name,
    /// Number of the turn, from 0.
    pub turn: u32,
    /// Digest of the call.
    pub digest: String,
    /// Idempotency key given by the caller.
    pub key: Option<Name>,
    /// Number of messages of the recorded history that the turn keeps.
    pub kept: usize,
    /// Messages that the caller added after the kept ones.
    pub added: Vec<Message>,
    /// Answer returned to the caller.
    pub answer: Answer,
    /// Upstream that executed the call.
    pub upstream: Option<Name>,
    /// Tokens charged to the budget.
    pub spent: u64,
    /// Wall-clock time of the turn's end, in ms.
    pub at_ms: u64,
    /// Time from the request to the turn's end, in ms.
    pub took_ms: u64,
    /// Part of `took_ms` spent waiting for a slot, in ms.
    pub waited_ms: u64,
    /// Chain digest after this turn.
    pub chain: String,
}

/// Why a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// The caller ended it.
    Caller,
    /// The only turn of a single-turn program finished.
    Single,
    /// No turn arrived within the profile's idle limit.
    Idle,
    /// The profile's limit on turns or repeats was reached.
    Limit,
    /// Its parent program ended.
    Parent,
}
