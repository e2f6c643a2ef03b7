//! Interface of the platform's directory: small versioned entries grouped by
//! kind, which can be listed and watched.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// Kind of a directory entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// The operators' configuration.
    Configuration,
    /// Replicas of the services.
    Upstreams,
    /// Ledger instances and the layout, which lists the members.
    Ledgers,
    /// Requests to remove an instance once its data has been moved away.
    Removals,
}

impl Kind {
    /// Returns the name of the kind in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Configuration => "configuration",
            Kind::Upstreams => "upstreams",
            Kind::Ledgers => "ledgers",
            Kind::Removals => "removals",
        }
    }
}

/// Body of an entry whose content can't be read.
pub const UNREADABLE_BODY: Bytes = Bytes::from_static(b"null");

/// A directory entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name, unique within its kind.
    pub name: String,
    /// Revision of the last change to the entry.
    pub revision: u64,
    /// Content as JSON text, or [`UNREADABLE_BODY`].
    pub body: Bytes,
}

/// All entries of a kind at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Revision at which the entries were listed.
    pub revision: u64,
    /// Entries of the kind.
    pub entries: Vec<Entry>,
}

/// A change to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An entry was created or updated.
    Put(Entry),
    /// The entry with this name was removed.
    Removed(String),
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Watched {
    /// The revision to continue from, and the changes up to it, if any.
    Changes(u64, Vec<Change>),
    /// The history after the requested revision has been discarded. The caller
    /// must list the entries again.
    HistoryGone,
}

/// Access to the directory of a platform.
///
/// A write that fails with [`PlatformError::Unavailable`] may have been applied,
/// or may still be applied later if its condition holds then.
pub trait Directory: Clone + Send + Sync + 'static {
    /// Lists the entries of a kind.
    fn snapshot(&self, kind: Kind) -> impl Future<Output = Result<Snapshot, PlatformError>> + Send;

    /// Waits up to `wait` for changes after `revision`.
    fn changes(
        &self,
        kind: Kind,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Watched, PlatformError>> + Send;

    /// Writes an entry and returns its new revision. Creates the entry if
    /// `expected` is `None`. Otherwise replaces it only if its revision is still
    /// `expected`.
    fn write(
        &self,
        kind: Kind,
        name: &str,
        body: Bytes,
        expected: Option<u64>,
    ) -> impl Future<Output = Result<u64, PlatformError>> + Send;

    /// Writes the status of an entry without changing its content, which belongs
    /// to another writer.
    fn write_status(
        &self,
        kind: Kind,
        name: &str,
        status: Bytes,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;
}
