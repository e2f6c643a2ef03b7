//! A copy of some kinds of a directory, handed on to those who don't follow
//! it themselves.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{Change, Entry, Kind, News};

/// Copies by kind.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    kinds: IndexMap<Kind, Copy>,
}

/// Copy of one kind.
#[derive(Clone, Debug, Default)]
struct Copy {
    /// Revision of the last change of its content.
    revision: u64,
    entries: IndexMap<String, Entry>,
    /// The directory answered the last call.
    is_current: bool,
}

/// What a mirror tells of one kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MirrorNews {
    /// The kind.
    pub kind: Kind,
    /// Revision of the last change of its content.
    pub revision: u64,
    /// Whether the directory answers the mirror's owner.
    pub is_current: bool,
    /// All entries, if there are newer ones than the asker knows.
    pub entries: Option<Vec<Entry>>,
}

impl Mirror {
    /// Takes in news of a kind.
    pub fn take(&mut self, kind: Kind, news: &News) {
        let copy = self.kinds.entry(kind).or_default();
        copy.is_current = !matches!(news, News::Lost(_));
        match news {
            News::Snapshot(revision, entries) => {
                let entries = entries.iter().map(|entry| (entry.name.clone(), entry.clone()));
                let entries: IndexMap<_, _> = entries.collect();
                if entries != copy.entries || copy.revision == 0 {
                    copy.entries = entries;
                    copy.revision = *revision;
                }
            }
            News::Changes(revision, changes) => {
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
            News::Lost(_) => {}
        }
    }

    /// What an asker hears who knows kinds up to revisions.
    pub fn news(&self, known: &[(Kind, u64)]) -> Vec<MirrorNews> {
        let tell = |(kind, known): &(Kind, u64)| {
            let copy = self.kinds.get(kind)?;
            let is_newer = copy.revision > *known;
            Some(MirrorNews {
                kind: *kind,
                revision: copy.revision,
                is_current: copy.is_current,
                entries: is_newer.then(|| copy.entries.values().cloned().collect()),
            })
        };
        known.iter().filter_map(tell).collect()
    }
}
