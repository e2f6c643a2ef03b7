//! The directory of a platform: small versioned entries by kind, with lists
//! and watches.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// Kind of entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// The operators' configuration.
    Configuration,
    /// Replicas.
    Upstreams,
    /// Ledger instances and the set of those that count.
    Ledgers,
    /// Instances that are to be emptied.
    Removals,
}

impl Kind {
    /// Text used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Configuration => "configuration",
            Kind::Upstreams => "upstreams",
            Kind::Ledgers => "ledgers",
            Kind::Removals => "removals",
        }
    }
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name within its kind.
    pub name: String,
    /// Revision of its last change.
    pub revision: u64,
    /// Content, as JSON text.
    pub body: Bytes,
}

/// All entries of a kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Revision that the list is of.
    pub revision: u64,
    /// The entries.
    pub entries: Vec<Entry>,
}

/// One change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An entry is new or has other content.
    Put(Entry),
    /// An entry is gone.
    Removed(String),
}

/// What a watch returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Watched {
    /// Changes, perhaps none, and the revision to continue from.
    Changes(u64, Vec<Change>),
    /// The history after the revision asked for is gone; list again.
    HistoryGone,
}

/// A platform's directory.
///
/// A write that fails with [`PlatformError::Unavailable`] may have taken
/// effect, or may do so later while its condition holds.
pub trait Directory: Clone + Send + Sync + 'static {
    /// Lists the entries of a kind.
    fn snapshot(&self, kind: Kind) -> impl Future<Output = Result<Snapshot, PlatformError>> + Send;

    /// Waits at most `wait` for changes after `revision`.
    fn changes(
        &self,
        kind: Kind,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Watched, PlatformError>> + Send;

    /// Writes an entry: a new one without a revision, else over exactly that
    /// revision. Returns the new revision.
    fn write(
        &self,
        kind: Kind,
        name: &str,
        body: Bytes,
        over: Option<u64>,
    ) -> impl Future<Output = Result<u64, PlatformError>> + Send;

    /// Writes the status of an entry that others own.
    fn write_status(
        &self,
        kind: Kind,
        name: &str,
        status: Bytes,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;
}
