//! Wire format of the platform.

use bytes::Bytes;
use gg_protocol::Name;
use serde::{Deserialize, Serialize};

/// An object with its version; versions only grow, over all objects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Version of this content.
    pub version: u64,
    /// Content.
    pub body: Bytes,
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum When {
    /// Only if there is no such object.
    Absent,
    /// Only over this version.
    Version(u64),
}

/// One line of a listing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Key of the object.
    pub key: String,
    /// Version of the object; the version of the removal in a change.
    pub version: u64,
    /// Whether a change took the object away.
    #[serde(default)]
    pub deleted: bool,
}

/// Objects below a prefix, sorted by key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Highest version that the listing takes in.
    pub revision: u64,
    /// The objects.
    pub items: Vec<Item>,
}

/// Changes since a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision to continue from.
    pub revision: u64,
    /// The changes; empty if the wait ran out.
    pub events: Vec<Item>,
}

/// What an instance runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceKind {
    /// A daemon of this system.
    Entry,
    /// An upstream.
    Upstream,
}

/// State of an instance as the platform reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// Running.
    Live,
    /// About to be taken away.
    Leaving,
}

/// One line of the list of instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceInfo {
    /// Name of the instance.
    pub name: Name,
    /// What it runs.
    pub kind: InstanceKind,
    /// Its data centre.
    pub centre: Name,
    /// `ip:port` that its peers reach it by.
    pub address: String,
    /// Reported state.
    pub state: InstanceState,
}
