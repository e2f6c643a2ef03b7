//! Wire types of the platform.

use bytes::Bytes;
use gg_protocol::Name;
use serde::{Deserialize, Serialize};

/// An object with its version. Versions increase monotonically across all
/// objects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Version of the content.
    pub version: u64,
    /// Content of the object.
    pub body: Bytes,
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum When {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(u64),
}

/// An item of a listing or of a list of changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Key of the object.
    pub key: String,
    /// Version of the object, or of its deletion if it was deleted.
    pub version: u64,
    /// Whether the object was deleted.
    #[serde(default)]
    pub deleted: bool,
}

/// Objects below a prefix, sorted by key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Highest version included in the listing.
    pub revision: u64,
    /// One item for each object.
    pub items: Vec<Item>,
}

/// Changes since a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision to continue from.
    pub revision: u64,
    /// The changes. Empty if the watch timed out.
    pub events: Vec<Item>,
}

/// Kind of process that an instance runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceKind {
    /// A daemon of this system.
    Entry,
    /// An upstream, which daemons send requests to.
    Upstream,
}

/// State of an instance as reported by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// The instance is running.
    Live,
    /// The instance is about to be removed.
    Leaving,
}

/// An instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceInfo {
    /// Name of the instance.
    pub name: Name,
    /// Kind of process that it runs.
    pub kind: InstanceKind,
    /// Data centre of the instance.
    pub centre: Name,
    /// Address for its peers as `ip:port`.
    pub address: String,
    /// State as reported by the platform.
    pub state: InstanceState,
}
