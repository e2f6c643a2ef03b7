//! Programs as told to callers and operators.

use serde::{Deserialize, Serialize};

use crate::{JournalId, Message, Name, ProgramId};

/// One finished turn, for callers and operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TurnView {
    /// Place in the order.
    pub turn: u32,
    /// Upstream that carried it out.
    pub upstream: Option<Name>,
    /// Tokens charged.
    pub spent: u64,
    /// Wall time of its end, in ms.
    pub at_ms: u64,
    /// Time from the request to the end, in ms.
    pub took_ms: u64,
    /// Part of it spent waiting for a slot, in ms.
    pub waited_ms: u64,
    /// Whether it ended without an answer that can be trusted.
    pub failed: bool,
}

/// A program as told to callers and operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProgramView {
    /// The program.
    pub program: ProgramId,
    /// Customer that it belongs to.
    pub customer: Name,
    /// Profile that it runs under.
    pub profile: Name,
    /// Program that started it.
    pub parent: Option<ProgramId>,
    /// `running` or `ended`.
    pub state: String,
    /// Journal of its home.
    pub home: JournalId,
    /// Next turn in the order.
    pub next_turn: u32,
    /// Wall time of the start, in ms.
    pub start_ms: u64,
    /// Wall time by which it is to finish, in ms.
    pub deadline_ms: u64,
    /// Tokens that it may spend; those of its root for a sub-agent.
    pub budget: u64,
    /// Tokens spent or set aside for good.
    pub spent: u64,
    /// Finished turns.
    pub turns: Vec<TurnView>,
    /// The conversation so far.
    pub history: Vec<Message>,
}
