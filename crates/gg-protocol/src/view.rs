//! Program state as shown to callers and operators.

use serde::{Deserialize, Serialize};

use crate::{JournalId, Message, Name, ProgramId};

/// A finished turn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TurnView {
    /// Turn number within the program.
    pub turn: u32,
    /// Upstream that executed the turn.
    pub upstream: Option<Name>,
    /// Tokens charged.
    pub spent: u64,
    /// Wall time at which the turn finished, in ms.
    pub at_ms: u64,
    /// Time from the request until the turn finished, in ms.
    pub took_ms: u64,
    /// Time spent waiting for a slot, in ms; included in `took_ms`.
    pub waited_ms: u64,
    /// Whether the turn ended without a response that can be trusted.
    pub failed: bool,
}

/// State of a program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProgramView {
    /// Identifier of the program.
    pub program: ProgramId,
    /// Customer that it belongs to.
    pub customer: Name,
    /// Profile that it runs under.
    pub profile: Name,
    /// Program that started this one as its sub-agent.
    pub parent: Option<ProgramId>,
    /// `running` or `ended`.
    pub state: String,
    /// Journal of the program's home.
    pub home: JournalId,
    /// Number of the next turn.
    pub next_turn: u32,
    /// Wall time at which the program started, in ms.
    pub start_ms: u64,
    /// Deadline of the program, as wall time in ms.
    pub deadline_ms: u64,
    /// Token budget; for a sub-agent, the budget of its root program.
    pub budget: u64,
    /// Tokens spent or permanently reserved.
    pub spent: u64,
    /// Finished turns.
    pub turns: Vec<TurnView>,
    /// The conversation so far.
    pub history: Vec<Message>,
}
