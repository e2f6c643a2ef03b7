//! What one instance knows of the directory. Performs no I/O.

use std::time::Instant;

use gg_platform::{Change, DirectoryUpdate, Entry};
use gg_protocol::Name;
use indexmap::{IndexMap, IndexSet};

use crate::{LAYOUT_NAME, Layout, Registration};

/// Last known state of the directory.
#[derive(Debug, Default)]
pub(crate) struct DirectoryState {
    /// Layout and its revision.
    pub(crate) layout: Option<(u64, Layout)>,
    /// Registered instances by name.
    pub(crate) registered: IndexMap<Name, Registration>,
    /// Instances that are being drained.
    pub(crate) draining: IndexSet<Name>,
    /// When this instance's registration was first known to be in the
    /// directory.
    pub(crate) registered_at: Option<Instant>,
    /// Whether the instances were received once.
    pub(crate) is_listed: bool,
}

impl DirectoryState {
    /// Applies updates of the ledger instances. Returns the layout if they
    /// include one.
    pub(crate) fn apply_ledgers(&mut self, update: DirectoryUpdate) -> Option<Layout> {
        let mut layout = None;
        match update {
            DirectoryUpdate::Snapshot(_, entries) => {
                self.registered.clear();
                self.is_listed = true;
                for entry in &entries {
                    layout = self.apply_entry(entry).or(layout);
                }
            }
            DirectoryUpdate::Changes(_, changes) => {
                for change in changes {
                    match change {
                        Change::Put(entry) => layout = self.apply_entry(&entry).or(layout),
                        Change::Removed(name) => {
                            self.registered.shift_remove(name.as_str());
                        }
                    }
                }
            }
            DirectoryUpdate::Answered(_)
            | DirectoryUpdate::Confirmed(_)
            | DirectoryUpdate::Lost(_) => {}
        }
        layout
    }

    /// Applies an entry. The source's filter has logged those that can't be read.
    fn apply_entry(&mut self, entry: &Entry) -> Option<Layout> {
        if entry.name == LAYOUT_NAME {
            let layout = serde_json::from_slice::<Layout>(&entry.body).ok()?;
            self.layout = Some((entry.revision, layout.clone()));
            return Some(layout);
        }
        if let Ok(registration) = serde_json::from_slice::<Registration>(&entry.body) {
            self.registered.insert(entry.name.as_str().into(), registration);
        }
        None
    }

    /// Applies updates of the requests to drain instances.
    pub(crate) fn apply_removals(&mut self, update: DirectoryUpdate) {
        match update {
            DirectoryUpdate::Snapshot(_, entries) => {
                self.draining = entries.iter().map(|entry| entry.name.as_str().into()).collect();
            }
            DirectoryUpdate::Changes(_, changes) => {
                for change in changes {
                    match change {
                        Change::Put(entry) => self.draining.insert(entry.name.as_str().into()),
                        Change::Removed(name) => self.draining.shift_remove(name.as_str()),
                    };
                }
            }
            DirectoryUpdate::Answered(_)
            | DirectoryUpdate::Confirmed(_)
            | DirectoryUpdate::Lost(_) => {}
        }
    }
}
