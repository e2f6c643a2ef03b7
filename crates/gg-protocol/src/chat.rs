//! Chat-completion calls, as callers and engines exchange them.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// One message of a conversation, kept as the JSON object that was sent.
pub type Message = Value;

/// Completion tokens assumed when the caller names no maximum.
pub const DEFAULT_MAX_TOKENS: u64 = 1024;

/// Bound on tokens that an engine adds around each message.
pub const MESSAGE_OVERHEAD_TOKENS: u64 = 8;

/// A call to a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatCall {
    /// Model asked for.
    pub model: String,
    /// Messages of this turn: the whole conversation, or with `append` only
    /// what comes after the recorded history.
    pub messages: Vec<Message>,
    /// Most completion tokens wanted.
    pub max_tokens: u64,
    /// Whether `messages` continue the recorded history.
    #[serde(default)]
    pub append: bool,
    /// Other fields of the request, passed to the engine as they are.
    #[serde(default)]
    pub options: Map<String, Value>,
}

/// Tokens that a call used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Prompt tokens that the engine found in its cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

impl Usage {
    /// Tokens charged to a budget.
    pub fn total(self) -> u64 {
        self.prompt_tokens + self.completion_tokens
    }
}

/// Upper bound on the tokens of `messages`: a token is at least one byte.
pub fn token_bound(messages: &[Message]) -> u64 {
    messages.iter().map(message_bound).sum()
}

fn message_bound(message: &Message) -> u64 {
    let bytes = message.to_string().len() as u64;
    bytes + MESSAGE_OVERHEAD_TOKENS
}

/// Expected tokens of `messages` at four bytes a token, for placement only.
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
