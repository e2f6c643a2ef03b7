//! Configuration documents.

use std::fmt;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::Name;

/// Rank of work; a lower number is more urgent.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Rank(pub u8);

/// Number of ranks that profiles may use: 0 to 7.
pub const RANKS: usize = 8;

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Execution settings for programs of one kind of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Profile {
    /// Rank of the work.
    pub rank: Rank,
    /// Latency objective of the whole program, in ms from its start.
    pub target_ms: u64,
    /// Maximum number of tokens for a program and its sub-agents.
    pub budget_tokens: u64,
    /// Minimum percentage of engine time for this rank under overload.
    pub floor_percent: u8,
    /// Maximum number of turns in a program.
    pub max_turns: u32,
    /// Maximum number of consecutive turns with the same content.
    pub max_repeats: u32,
    /// Maximum time between turns, in ms. A program that is idle for longer is
    /// ended.
    pub idle_ms: u64,
    /// Maximum duration of a tool call, in ms.
    pub tool_ms: u64,
    /// Whether non-idempotent calls are rejected immediately while their
    /// intent can't be recorded. Otherwise they wait until it is recorded.
    pub refuse_unrecorded: bool,
}

impl Default for Profile {
    fn default() -> Self {
        Profile {
            rank: Rank(1),
            target_ms: 60_000,
            budget_tokens: 1_000_000,
            floor_percent: 10,
            max_turns: 600,
            max_repeats: 8,
            idle_ms: 600_000,
            tool_ms: 30_000,
            refuse_unrecorded: true,
        }
    }
}

/// Kind of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamKind {
    /// A model engine.
    #[default]
    Engine,
    /// A tool or plain service.
    Service,
}

/// One upstream: a model replica, or a replica of a plain service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Upstream {
    /// Kind of the upstream.
    pub kind: UpstreamKind,
    /// `ip:port`.
    pub address: String,
    /// Data centre of the upstream.
    pub centre: String,
    /// Service that the upstream is a replica of; empty for engines.
    pub service: String,
    /// Models that the upstream should load.
    pub models: Vec<String>,
    /// Whether the upstream rejects orders with an outdated fencing token.
    pub fenced: bool,
    /// Whether calls may be repeated, unless the caller specifies otherwise.
    pub idempotent: bool,
    /// Initial limit on calls in flight, before it adapts to measurements.
    pub slots: u32,
}

/// A client account.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Customer {
    /// BLAKE3 digests of the valid keys, in hex. There are two during a key
    /// rotation.
    pub keys: Vec<String>,
    /// Profiles that the customer may use; all if empty.
    pub profiles: Vec<String>,
    /// Weight of the customer's share among customers of one rank.
    pub weight: u32,
}

/// A deployed model.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Model {
    /// Version to load.
    pub version: String,
    /// Adapters to load with the model.
    pub adapters: Vec<String>,
}

/// A configuration document of any kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "lowercase")]
pub enum Document {
    /// A profile.
    Profile(Profile),
    /// An upstream.
    Upstream(Upstream),
    /// A customer.
    Customer(Customer),
    /// A model.
    Model(Model),
    /// A removed document; retained so that versions only increase.
    Removed,
}

/// Content of a document after one change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Serial number of the change.
    pub serial: u64,
    /// Content of the document after the change.
    pub document: Document,
    /// Nonce of the writer, used to find out whether a write with a lost
    /// response succeeded.
    pub nonce: String,
}

/// A document as stored: its current content and its recent history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Doc {
    /// Current content.
    pub current: Entry,
    /// Previous contents, newest first.
    #[serde(default)]
    pub history: Vec<Entry>,
}

/// Number of previous contents stored with a document.
pub const HISTORY_VERSIONS_MAX: usize = 20;

/// All documents in force, by key such as `profile/urgent`.
pub type Documents = IndexMap<Name, Versioned>;

/// A document with the version of its object in the platform's store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Versioned {
    /// Version of the object; only increases.
    pub version: u64,
    /// The document.
    pub doc: Doc,
}
