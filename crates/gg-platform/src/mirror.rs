//! Copy of directory entries that serves clients which don't follow the
//! directory themselves.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{Change, DirectoryUpdate, Entry, Kind};

/// Copies of directory entries, by kind.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    kinds: IndexMap<Kind, KindCopy>,
}

/// Copy of the entries of one kind.
#[derive(Clone, Debug, Default)]
struct KindCopy {
    /// Revision of the last change to the entries.
    revision: u64,
    entries: IndexMap<String, Entry>,
    /// Whether the last update was not [`DirectoryUpdate::Lost`].
    is_current: bool,
}

/// An update that a mirror returns for one kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MirrorUpdate {
    /// Kind that the update is about.
    pub kind: Kind,
    /// Revision of the last change to the entries.
    pub revision: u64,
    /// Whether the directory counts as reachable for the owner of the mirror.
    pub is_current: bool,
    /// All entries, if there are newer ones than the polling client knows.
    pub entries: Option<Vec<Entry>>,
}

impl Mirror {
    /// Applies an update of a kind.
    pub fn apply(&mut self, kind: Kind, update: &DirectoryUpdate) {
        let copy = self.kinds.entry(kind).or_default();
        copy.is_current = !matches!(update, DirectoryUpdate::Lost(_));
        match update {
            DirectoryUpdate::Snapshot(revision, entries) => {
                let entries = entries.iter().map(|entry| (entry.name.clone(), entry.clone()));
                let entries: IndexMap<_, _> = entries.collect();
                if entries != copy.entries || copy.revision == 0 {
                    copy.entries = entries;
                    copy.revision = *revision;
                }
            }
            DirectoryUpdate::Changes(revision, changes) => {
                for change in changes {
                    copy.revision = *revision;
                    match change {
                        Change::Put(entry) => {
                            copy.entries.insert(entry.name.clone(), entry.clone());
                        }
                        Change::Removed(name) => {
                            copy.entries.shift_remove(name);
                        }
                    }
                }
            }
            DirectoryUpdate::Lost(_) => {}
        }
    }

    /// Returns the updates for a polling client that knows these kinds up to these
    /// revisions.
    pub fn updates(&self, known: &[(Kind, u64)]) -> Vec<MirrorUpdate> {
        let update = |(kind, known): &(Kind, u64)| {
            let copy = self.kinds.get(kind)?;
            let is_newer = copy.revision > *known;
            Some(MirrorUpdate {
                kind: *kind,
                revision: copy.revision,
                is_current: copy.is_current,
                entries: is_newer.then(|| copy.entries.values().cloned().collect()),
            })
        };
        known.iter().filter_map(update).collect()
    }
}
