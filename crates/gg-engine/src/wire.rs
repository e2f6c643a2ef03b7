//! Wire format of the engines: chat completions, and JSON for orders, state
//! and cache events.

use gg_protocol::{ChatCall, Message, Usage};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Body of a completion request.
#[derive(Debug, Serialize)]
pub(crate) struct ChatBody<'a> {
    #[serde(flatten)]
    options: &'a Map<String, Value>,
    model: &'a str,
    messages: &'a [Message],
    max_tokens: u64,
    stream: bool,
    stream_options: StreamOptions,
    /// Key under which the engine caches the prompt: the program's
    /// identifier.
    user: &'a str,
}

#[derive(Debug, Serialize)]
struct StreamOptions {
    include_usage: bool,
}

impl<'a> ChatBody<'a> {
    pub(crate) fn new(call: &'a ChatCall, messages: &'a [Message], program: &'a str) -> Self {
        ChatBody {
            options: &call.options,
            model: &call.model,
            messages,
            max_tokens: call.max_tokens,
            stream: true,
            stream_options: StreamOptions { include_usage: true },
            user: program,
        }
    }
}

/// One event of a streamed completion.
#[derive(Debug, Deserialize)]
pub(crate) struct ChatChunk {
    #[serde(default)]
    pub(crate) choices: Vec<ChunkChoice>,
    #[serde(default)]
    pub(crate) usage: Option<WireUsage>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct ChunkChoice {
    #[serde(default)]
    pub(crate) delta: Delta,
    #[serde(default)]
    pub(crate) finish_reason: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
pub(crate) struct Delta {
    #[serde(default)]
    pub(crate) content: Option<String>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct WireUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: PromptDetails,
}

#[derive(Debug, Default, Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: u64,
}

impl From<WireUsage> for Usage {
    fn from(usage: WireUsage) -> Self {
        Usage {
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
            cached_tokens: usage.prompt_tokens_details.cached_tokens,
        }
    }
}

/// Kind of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a model version.
    Load,
    /// Unload a model.
    Unload,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token. Engines that check it reject a token lower than the
    /// highest they have seen.
    pub fence: u64,
    /// Kind of change.
    pub kind: OrderKind,
    /// Model to load or unload.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Adapters of the model.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// State reported by an engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineState {
    /// Identifies one run of the engine; changes with every start.
    pub epoch: String,
    /// Loaded models, as `model@version`.
    pub models: Vec<String>,
    /// Number of running and waiting calls; may be out of date.
    pub load: u32,
    /// Highest fencing token that the engine has seen.
    #[serde(default)]
    pub fence: u64,
}

/// Report that a program's prefix was evicted from the cache; it may arrive
/// late.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event; a gap means that events were lost.
    pub seq: u64,
    /// Program whose prefix was evicted.
    pub evicted: String,
}
