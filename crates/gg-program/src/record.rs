//! Records of a home's journal.

use gg_protocol::{Answer, JournalId, Message, Name, ProgramId};
use serde::{Deserialize, Serialize};

use crate::Program;

/// One durable change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A program was accepted.
    Started(Start),
    /// The tokens set aside for a root program grew to this total.
    Reserved {
        /// The root program.
        program: ProgramId,
        /// Tokens set aside since the start.
        total: u64,
    },
    /// A call that may not be repeated is about to be sent.
    Intent(Intent),
    /// An intent came to nothing: the call was not sent and never will be.
    Aborted {
        /// The program.
        program: ProgramId,
        /// Turn of the intent.
        turn: u32,
    },
    /// A turn finished.
    Turn(TurnRecord),
    /// A program ended.
    Ended {
        /// The program.
        program: ProgramId,
        /// Why.
        reason: EndReason,
        /// Wall time, in ms.
        at_ms: u64,
    },
    /// An upstream confirmed that it holds nothing of an ended program.
    Released {
        /// The program.
        program: ProgramId,
        /// The upstream.
        upstream: Name,
    },
    /// An ended program was forgotten.
    Forgotten {
        /// The program.
        program: ProgramId,
    },
    /// The journal's owner is about to seal another journal.
    Adopting {
        /// The other journal.
        journal: JournalId,
    },
    /// Everything of another journal is in this one.
    Adopted {
        /// The other journal.
        journal: JournalId,
    },
    /// The whole state of a program; replaces all that came before.
    Snapshot(Box<Program>),
}

/// A program as accepted.
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
    /// Program whose budget it draws on: itself unless it is a sub-agent.
    pub root: ProgramId,
    /// Key that makes the start idempotent.
    pub key: Option<Name>,
    /// Wall time of the start, in ms.
    pub at_ms: u64,
    /// Wall time by which the whole program is to finish, in ms.
    pub deadline_ms: u64,
    /// Tokens that the root may spend; zero for a sub-agent.
    pub budget: u64,
    /// First block of the budget.
    pub block: u64,
    /// Whether the program ends with its first turn.
    pub single: bool,
}

/// A call that is about to be sent and may not be sent twice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Intent {
    /// The program.
    pub program: ProgramId,
    /// Turn of the call.
    pub turn: u32,
    /// Digest of the call.
    pub digest: String,
    /// Key given by the caller.
    pub key: Option<Name>,
    /// Service called.
    pub service: Name,
}

/// A finished turn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TurnRecord {
    /// The program.
    pub program: ProgramId,
    /// Customer of the program, bound into the chain of digests.
    pub customer: Name,
    /// Place in the order, from 0.
    pub turn: u32,
    /// Digest of the call.
    pub digest: String,
    /// Key given by the caller.
    pub key: Option<Name>,
    /// Messages of the former history that were kept.
    pub kept: usize,
    /// Messages that the caller added after those.
    pub added: Vec<Message>,
    /// What the caller was answered.
    pub answer: Answer,
    /// Upstream that carried the turn out.
    pub upstream: Option<Name>,
    /// Tokens charged to the budget.
    pub spent: u64,
    /// Wall time of the turn's end, in ms.
    pub at_ms: u64,
    /// Time from the request to the end, in ms.
    pub took_ms: u64,
    /// Part of it spent waiting for a slot, in ms.
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
    /// Its only turn is done.
    Single,
    /// No turn came for longer than the profile allows.
    Idle,
    /// The profile's limit on turns or repeats was reached.
    Limit,
    /// The program that started it ended.
    Parent,
}
