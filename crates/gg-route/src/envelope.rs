//! What a request's head says about it, apart from method, path and body.

use std::time::Duration;

use gg_protocol::Name;
use quick_error::quick_error;

/// A turn of a program on a route that keeps turns.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Turn {
    /// Program that the turn belongs to.
    pub program: Option<Name>,
    /// Request of the turn that this one continues; none at a chain's start.
    pub previous: Option<Name>,
    /// Tokens that all turns of the program may generate.
    pub budget: Option<u64>,
}

/// One part of a prompt. A replica that keeps it, and all parts before it,
/// does not read it again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identity of its text.
    pub id: Name,
    /// Its length.
    pub tokens: u32,
}

/// A request's identity, deadlines and sizes.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// Identity of this client attempt.
    pub request: Name,
    /// Time that the client waits for the answer.
    pub deadline: Option<Duration>,
    /// Time in which the whole program should be finished.
    pub program_left: Option<Duration>,
    /// Line of turns that the request belongs to.
    pub session: Option<Name>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens that the answer may have.
    pub output_max: u64,
    /// Parts of the prompt in order, as far as the client names them; many
    /// requests share the first one.
    pub parts: Vec<Part>,
    /// Object that the request concerns.
    pub object: Option<Name>,
    /// Program and chain.
    pub turn: Turn,
}

quick_error! {
    /// Why a head can't be used.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum EnvelopeFault {
        /// A header that has to be there is missing.
        Missing(name: &'static str) {
            display("header {name} is missing")
        }
        /// A header's value can't be read.
        Unreadable(name: &'static str) {
            display("header {name} can't be read")
        }
    }
}

/// What an answer's head says about its origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyMarks {
    /// The answer names the request that it belongs to.
    pub is_ours: bool,
    /// The answer names another request.
    pub is_foreign: bool,
    /// The replica has signed it.
    pub is_signed: bool,
    /// The replica promises that it did not run the request.
    pub is_unexecuted: bool,
    /// The replica is about to leave and takes no further requests.
    pub is_leaving: bool,
}
