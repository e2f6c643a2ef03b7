//! Steps of a program: model calls and service calls, and what comes back.

use serde::{Deserialize, Serialize};

use crate::{ChatCall, Failure, Name, ProgramId, Usage};

/// Asks a home to accept a program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartRequest {
    /// Customer that the key belongs to.
    pub customer: Name,
    /// Profile to run under.
    pub profile: Name,
    /// Program that starts this one as its sub-agent.
    pub parent: Option<ProgramId>,
    /// Makes the start idempotent.
    pub key: Option<Name>,
    /// Whether the program ends with its first turn.
    #[serde(default)]
    pub single: bool,
}

/// An accepted program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartReply {
    /// The program's identifier.
    pub program: ProgramId,
    /// Wall time by which the whole program is to finish, in ms.
    pub deadline_ms: u64,
    /// Tokens that the program may spend.
    pub budget: u64,
}

/// A call to a tool or plain service through the system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceCall {
    /// Service named in the configuration.
    pub service: Name,
    /// Path below the service's root.
    pub path: String,
    /// Body passed on as it is.
    pub body: String,
    /// Whether the caller declares the call safe to repeat.
    pub idempotent: bool,
}

/// What a step does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// A model call.
    Chat(ChatCall),
    /// A call to a tool or plain service.
    Service(ServiceCall),
}

/// Asks a program's home to carry out one step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepRequest {
    /// Program that the step belongs to.
    pub program: ProgramId,
    /// Customer that the key belongs to.
    pub customer: Name,
    /// Place in the program's order; the next free one if absent.
    pub turn: Option<u32>,
    /// Finds the step again when no turn is given.
    pub key: Option<Name>,
    /// Wall time after which the caller no longer waits, in ms.
    pub deadline_ms: u64,
    /// Whether text is wanted as it comes.
    pub stream: bool,
    /// What to do.
    pub call: Call,
}

/// A finished step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// A model's answer.
    Chat {
        /// Model that answered.
        model: String,
        /// The whole text.
        text: String,
        /// Why generation ended.
        finish: String,
        /// Tokens used.
        usage: Usage,
    },
    /// A service's answer.
    Service {
        /// HTTP status of the service.
        status: u16,
        /// Body as it came.
        body: String,
    },
    /// The step ended without an answer that can be trusted.
    Failed {
        /// What the caller is told.
        failure: Failure,
    },
}

/// What a home tells about a step under way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepEvent {
    /// The step has its place in the order and its first output is at hand.
    Begun {
        /// Place in the order.
        turn: u32,
        /// Upstream that carries it out; absent when told from the record.
        upstream: Option<Name>,
    },
    /// Generated text, starting at byte `at` of the answer.
    Text {
        /// Byte offset in the answer.
        at: usize,
        /// The text.
        text: String,
    },
    /// The step's record is safe; nothing follows.
    Done {
        /// Place in the order.
        turn: u32,
        /// The whole answer.
        answer: Answer,
    },
    /// The step failed; nothing follows.
    Failed(Failure),
}
