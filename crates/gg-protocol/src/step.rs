//! Steps of a program: model calls and service calls, with their results.

use serde::{Deserialize, Serialize};

use crate::{ChatCall, Failure, Name, ProgramId, Usage};

/// Requests a home to accept a program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartRequest {
    /// Customer that sent the request, identified by its customer key.
    pub customer: Name,
    /// Profile of the program.
    pub profile: Name,
    /// Program that starts this one as its sub-agent.
    pub parent: Option<ProgramId>,
    /// Idempotency key of the start request.
    pub key: Option<Name>,
    /// Whether the program ends after its first turn.
    #[serde(default)]
    pub single: bool,
}

/// An accepted program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartReply {
    /// The program's identifier.
    pub program: ProgramId,
    /// Deadline of the whole program, as wall time in ms.
    pub deadline_ms: u64,
    /// Token budget of the program.
    pub budget: u64,
}

/// A call to a tool or plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceCall {
    /// Name of the service in the configuration.
    pub service: Name,
    /// Path relative to the service's root.
    pub path: String,
    /// Request body, forwarded unchanged.
    pub body: String,
    /// Whether the caller declares that the call can be repeated safely.
    pub idempotent: bool,
}

/// The operation of a step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// A model call.
    Chat(ChatCall),
    /// A call to a tool or plain service.
    Service(ServiceCall),
}

/// Requests a program's home to execute one step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepRequest {
    /// Program that the step belongs to.
    pub program: ProgramId,
    /// Customer that sent the request, identified by its customer key.
    pub customer: Name,
    /// Turn number; the next free one if absent.
    pub turn: Option<u32>,
    /// Idempotency key that identifies the step if no turn is given.
    pub key: Option<Name>,
    /// Wall time after which the caller no longer waits, in ms.
    pub deadline_ms: u64,
    /// Whether the caller wants text as it is generated.
    pub stream: bool,
    /// Operation to execute.
    pub call: Call,
}

/// Result of a finished step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// Response of a model.
    Chat {
        /// Model that responded.
        model: String,
        /// Complete text.
        text: String,
        /// Reason for the end of generation.
        finish: String,
        /// Tokens used.
        usage: Usage,
    },
    /// Response of a service.
    Service {
        /// HTTP status of the service.
        status: u16,
        /// Response body, unchanged.
        body: String,
    },
    /// The step ended without a response that can be trusted.
    Failed {
        /// Failure reported to the caller.
        failure: Failure,
    },
}

/// Progress events that a home sends for a step in progress.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepEvent {
    /// The step has a turn number, and its first output is available.
    Begun {
        /// Turn number of the step.
        turn: u32,
        /// Upstream that executes the step; absent if the result is replayed
        /// from the record.
        upstream: Option<Name>,
    },
    /// Generated text, starting at byte `at` of the response.
    Text {
        /// Byte offset in the response.
        at: usize,
        /// The text.
        text: String,
    },
    /// The step is durably recorded; no further events follow.
    Done {
        /// Turn number of the step.
        turn: u32,
        /// Complete response.
        answer: Answer,
    },
    /// The step failed; no further events follow.
    Failed(Failure),
}
