//! Documents of the configuration.

use std::fmt;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::Name;

/// Rank of work; a lower number is more urgent.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Rank(pub u8);

/// Ranks that profiles may use: 0 to 7.
pub const RANKS: usize = 8;

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// How programs of one kind of work are to be run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Profile {
    /// Rank of the work.
    pub rank: Rank,
    /// Whole-program target, in ms from the program's start.
    pub target_ms: u64,
    /// Tokens that a program and its sub-agents may spend.
    pub budget_tokens: u64,
    /// Percentage of engine time kept for this rank in a flood.
    pub floor_percent: u8,
    /// Most steps of a program.
    pub max_turns: u32,
    /// Most times that the same step content may come in a row.
    pub max_repeats: u32,
    /// Longest time between steps before the program is ended, in ms.
    pub idle_ms: u64,
    /// Longest time that a tool call may take, in ms.
    pub tool_ms: u64,
    /// Whether non-idempotent calls are refused at once while their intent
    /// can't be recorded; if not, they wait for it.
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

/// What kind of upstream a document describes.
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
    /// What it is.
    pub kind: UpstreamKind,
    /// `ip:port`.
    pub address: String,
    /// Data centre that it stands in.
    pub centre: String,
    /// Service that it is a replica of; empty for engines.
    pub service: String,
    /// Models that it is to hold.
    pub models: Vec<String>,
    /// Whether it refuses orders that carry an old fencing number.
    pub fenced: bool,
    /// Whether its calls may be repeated unless the caller says otherwise.
    pub idempotent: bool,
    /// Most calls in flight before measurements say otherwise.
    pub slots: u32,
}

/// A client account.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Customer {
    /// BLAKE3 digests of the valid keys, in hex; two during a rotation.
    pub keys: Vec<String>,
    /// Profiles that the customer may use; all if empty.
    pub profiles: Vec<String>,
    /// Share weight among customers of one rank.
    pub weight: u32,
}

/// A model in use.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Model {
    /// Version to be loaded.
    pub version: String,
    /// Adapters to be loaded with it.
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
    /// A document that was taken away; kept so that versions only grow.
    Removed,
}

/// Former state of a document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Serial number of the change.
    pub serial: u64,
    /// Content after that change.
    pub document: Document,
    /// Nonce of the writer, which resolves lost answers.
    pub nonce: String,
}

/// A document as stored: its current content and its recent history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Doc {
    /// Current content.
    pub current: Entry,
    /// Former contents, newest first.
    #[serde(default)]
    pub history: Vec<Entry>,
}

/// Former contents kept with a document.
pub const HISTORY_KEPT: usize = 20;

/// Everything in force, by key such as `profile/urgent`.
pub type Documents = IndexMap<Name, Versioned>;

/// A document with the platform's version of its object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Versioned {
    /// Version of the object; only grows.
    pub version: u64,
    /// The document.
    pub doc: Doc,
}
