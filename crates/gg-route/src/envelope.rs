//! Metadata in a request's head, other than its method and path.

use std::time::Duration;

use gg_protocol::Name;
use quick_error::quick_error;

use crate::Credential;

/// Position of a request within a program, and the program's budget.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Turn {
    /// Program that the turn belongs to.
    pub program: Option<Name>,
    /// Identity of the request whose turn this one continues; `None` at the
    /// start of a branch.
    pub previous: Option<Name>,
    /// Maximum number of tokens that all turns of the program may generate.
    pub budget: Option<u64>,
}

/// A part of a prompt. A replica that has cached this part and all parts
/// before it does not process it again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part's text.
    pub id: Name,
    /// Length in tokens.
    pub tokens: u32,
}

/// Identity, deadlines and sizes of a request. Names that clients choose are
/// ASCII.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// Identity of this client attempt.
    pub request: Name,
    /// Maximum time that the client waits for the response.
    pub deadline: Option<Duration>,
    /// Time remaining until the deadline of the whole program.
    pub program_remaining: Option<Duration>,
    /// Conversation branch that the request belongs to.
    pub session: Option<Name>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Maximum number of tokens in the response.
    pub max_output: u64,
    /// Parts of the prompt in order, as far as the client names them. The
    /// first part is often common to many requests.
    pub parts: Vec<PromptPart>,
    /// Object that the request refers to.
    pub object: Option<Name>,
    /// Program, previous turn and budget.
    pub turn: Turn,
    /// Key that the client presented, if it can be read.
    pub credential: Option<Credential>,
}

quick_error! {
    /// Error in the head of a request.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum EnvelopeError {
        /// A required header is missing.
        Missing(name: &'static str) {
            display("header {name} is missing")
        }
        /// The value of a header can't be parsed.
        Invalid(name: &'static str) {
            display("the value of header {name} can't be parsed")
        }
    }
}

/// What the head of a response says about its origin and about the replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseMarks {
    /// The response names the request that it belongs to.
    pub matches_request: bool,
    /// The response names another request.
    pub is_mismatched: bool,
    /// The replica has signed the response.
    pub is_signed: bool,
    /// The replica guarantees that it did not execute the request.
    pub is_not_executed: bool,
    /// The replica is draining and accepts no further requests.
    pub is_draining: bool,
    /// Requests per second that the replica takes from all gateways together,
    /// while it announces a limit.
    pub rate_limit: Option<f64>,
}
