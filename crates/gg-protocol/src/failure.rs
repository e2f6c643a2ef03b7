//! The error format that callers receive.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::JournalId;

/// Whether the request's action was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// The action was not executed, and will not be.
    No,
    /// The action was executed.
    Yes,
    /// The action may have been executed.
    Unknown,
}

impl Ran {
    /// Text used in headers and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Ran::No => "no",
            Ran::Yes => "yes",
            Ran::Unknown => "unknown",
        }
    }
}

/// Stable failure code; callers may branch on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed.
    BadRequest,
    /// The key is missing, invalid or revoked.
    Unauthorized,
    /// No such program, turn, service, profile or path.
    NotFound,
    /// The turn is already recorded or running with a different request.
    TurnConflict,
    /// The turn number is greater than the program's next turn.
    TurnAhead,
    /// The program has ended.
    ProgramEnded,
    /// The program's budget does not cover the call.
    BudgetExhausted,
    /// The profile's limit on turns or repeated turns is reached.
    LimitReached,
    /// The request could not be finished in time under the current load.
    Overloaded,
    /// The request's deadline has passed.
    DeadlineExceeded,
    /// The request was in flight when upstreams crashed and is quarantined.
    Quarantined,
    /// The upstream failed or can't be reached.
    UpstreamFailed,
    /// The platform's store is unavailable, or no configuration is known yet.
    PlatformUnavailable,
    /// The program's home is moving or unreachable. Gateways use this code for
    /// a request that was not executed because no replica is available or the
    /// ledger did not open its turn.
    HomeUnavailable,
    /// The daemon is shutting down.
    Stopping,
    /// The request exceeds the size limit.
    TooLarge,
    /// The request's body did not arrive in time.
    BodyTimeout,
    /// The caller disconnected or ended the program.
    Cancelled,
    /// Internal error of the daemon.
    Internal,
}

impl Code {
    /// HTTP status code for this failure code.
    pub fn status(self) -> u16 {
        match self {
            Code::BadRequest => 400,
            Code::Unauthorized => 401,
            Code::NotFound => 404,
            Code::TurnConflict | Code::TurnAhead => 409,
            Code::ProgramEnded => 410,
            Code::BudgetExhausted | Code::LimitReached => 402,
            Code::Overloaded => 429,
            Code::DeadlineExceeded => 504,
            Code::Quarantined => 422,
            Code::UpstreamFailed => 502,
            Code::PlatformUnavailable | Code::HomeUnavailable | Code::Stopping => 503,
            Code::TooLarge => 413,
            Code::BodyTimeout => 408,
            Code::Cancelled => 499,
            Code::Internal => 500,
        }
    }

    /// Text used in logs and bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Code::BadRequest => "bad_request",
            Code::Unauthorized => "unauthorized",
            Code::NotFound => "not_found",
            Code::TurnConflict => "turn_conflict",
            Code::TurnAhead => "turn_ahead",
            Code::ProgramEnded => "program_ended",
            Code::BudgetExhausted => "budget_exhausted",
            Code::LimitReached => "limit_reached",
            Code::Overloaded => "overloaded",
            Code::DeadlineExceeded => "deadline_exceeded",
            Code::Quarantined => "quarantined",
            Code::UpstreamFailed => "upstream_failed",
            Code::PlatformUnavailable => "platform_unavailable",
            Code::HomeUnavailable => "home_unavailable",
            Code::Stopping => "stopping",
            Code::TooLarge => "too_large",
            Code::BodyTimeout => "body_timeout",
            Code::Cancelled => "cancelled",
            Code::Internal => "internal",
        }
    }
}

/// A final error response: what went wrong, whether the action was executed,
/// what the caller can do, and when to retry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Failure {
    /// Stable failure code.
    pub code: Code,
    /// Human-readable description of the failure.
    pub message: String,
    /// How the caller can resolve the failure.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub help: String,
    /// Whether the action was executed.
    pub ran: Ran,
    /// Delay before a retry, in ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_ms: Option<u64>,
    /// Journal that the program has moved to. Entry daemons follow it; callers
    /// never see it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub moved: Option<JournalId>,
}

impl Failure {
    /// Creates a failure of an action that was not executed.
    pub fn unexecuted(code: Code, message: impl Into<String>) -> Self {
        Failure {
            code,
            message: message.into(),
            help: String::new(),
            ran: Ran::No,
            retry_ms: None,
            moved: None,
        }
    }

    /// Creates a failure of an action that may have been executed.
    pub fn unknown(code: Code, message: impl Into<String>) -> Self {
        Failure { ran: Ran::Unknown, ..Failure::unexecuted(code, message) }
    }

    /// Serializes the failure as the body of an error response.
    pub fn to_json(&self) -> Value {
        let mut error = json!({
            "code": self.code.as_str(),
            "type": self.code.as_str(),
            "message": self.message,
            "ran": self.ran.as_str(),
        });
        if !self.help.is_empty() {
            error["help"] = json!(self.help);
        }
        if let Some(retry_ms) = self.retry_ms {
            error["retry_after"] = json!(retry_ms as f64 / 1000.0);
        }
        json!({ "error": error })
    }

    /// Adds a help text.
    pub fn help(self, help: impl Into<String>) -> Self {
        Failure { help: help.into(), ..self }
    }

    /// Adds a delay before a retry.
    pub fn retry_in(self, retry_ms: u64) -> Self {
        Failure { retry_ms: Some(retry_ms), ..self }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} (ran: {})", self.code.as_str(), self.message, self.ran.as_str())
    }
}

impl std::error::Error for Failure {}
