//! Chat-completion calls, as exchanged between callers and engines.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// One message of a conversation, stored as the JSON object that was sent.
pub type Message = Value;

/// Maximum number of completion tokens if the caller specifies none.
pub const DEFAULT_MAX_TOKENS: u64 = 1024;

/// Upper bound on the tokens that an engine adds to each message.
pub const MESSAGE_OVERHEAD_TOKENS: u64 = 8;

/// A call to a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatCall {
    /// Requested model.
    pub model: String,
    /// Messages of this turn: the whole conversation or, with `append`, only
    /// the messages after the recorded history.
    pub messages: Vec<Message>,
    /// Maximum number of completion tokens.
    pub max_tokens: u64,
    /// Whether `messages` are appended to the recorded history.
    #[serde(default)]
    pub append: bool,
    /// Other fields of the request, passed to the engine unchanged.
    #[serde(default)]
    pub options: Map<String, Value>,
}

/// Tokens used by a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    pub completion_tokens: u64,
    /// Prompt tokens that the engine had cached.
    #[serde(default)]
    pub cached_tokens: u64,
}

impl Usage {
    /// Total number of tokens charged to a budget.
    pub fn total(self) -> u64 {
        self.prompt_tokens + self.completion_tokens
    }
}

/// Upper bound on the tokens of `messages`. A token has at least one byte.
pub fn token_bound(messages: &[Message]) -> u64 {
    messages.iter().map(message_bound).sum()
}

fn message_bound(message: &Message) -> u64 {
    let bytes = message.to_string().len() as u64;
    bytes + MESSAGE_OVERHEAD_TOKENS
}

/// Estimated tokens of `messages`, at four bytes per token; used for placement
/// only.
pub fn token_estimate(messages: &[Message]) -> u64 {
    let bytes: usize = messages.iter().map(text_bytes).sum();
    (bytes as u64).div_ceil(4) + messages.len() as u64
}

fn text_bytes(message: &Message) -> usize {
    match message.get("content") {
        Some(Value::String(text)) => text.len(),
        Some(other) => other.to_string().len(),
        None => 0,
    }
}
