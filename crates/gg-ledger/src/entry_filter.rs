//! Replaces or drops the entries of directory updates that can't be read.

use std::collections::{HashMap, HashSet};

use gg_platform::{Change, DirectoryUpdate, Entry, Kind};
use gg_route::{Codec, DecodeError};

use crate::{LAYOUT_NAME, Layout, Registration};

/// Largest epoch and number of tolerated losses of a layout. Larger numbers are
/// not exact in JSON, and calculations with them may overflow.
const LAYOUT_NUMBER_MAX: u64 = 1 << 53;

/// Maximum number of characters of a name, or of an error, in a log line. Both
/// may quote the entry.
const LOGGED_CHARS: usize = 200;

/// Checks the entries of one kind. A configuration or layout that can't be read
/// leaves the last readable one in place. Any other entry that can't be read
/// counts as removed.
#[derive(Debug)]
pub struct EntryFilter {
    kind: Kind,
    /// Last readable content of the entries that stay in place.
    kept: HashMap<String, Entry>,
    /// Entries that are known to be unreadable, and logged.
    unreadable: HashSet<String>,
}

impl EntryFilter {
    /// Creates a filter for the entries of `kind`.
    pub fn new(kind: Kind) -> Self {
        EntryFilter { kind, kept: HashMap::new(), unreadable: HashSet::new() }
    }

    /// Returns the update with readable entries only.
    pub fn apply<C: Codec>(&mut self, codec: &C, update: DirectoryUpdate) -> DirectoryUpdate {
        match update {
            DirectoryUpdate::Snapshot(revision, entries) => {
                let names: HashSet<&str> =
                    entries.iter().map(|entry| entry.name.as_str()).collect();
                self.kept.retain(|name, _| names.contains(name.as_str()));
                self.unreadable.retain(|name| names.contains(name.as_str()));
                let read = |entry: Entry| match self.is_readable(codec, &entry) {
                    true => Some(entry),
                    false => self.kept.get(&entry.name).cloned(),
                };
                DirectoryUpdate::Snapshot(revision, entries.into_iter().filter_map(read).collect())
            }
            DirectoryUpdate::Changes(revision, changes) => {
                let read = |change| self.read_change(codec, change);
                DirectoryUpdate::Changes(revision, changes.into_iter().filter_map(read).collect())
            }
            other @ (DirectoryUpdate::Answered(_)
            | DirectoryUpdate::Confirmed(_)
            | DirectoryUpdate::Lost(_)) => other,
        }
    }

    /// Whether no entry that stays in place has been readable here, though there
    /// are some. Other processes may know their last readable content.
    pub fn is_incomplete(&self) -> bool {
        self.kept.is_empty() && self.unreadable.iter().any(|name| self.keeps_last(name))
    }

    fn read_change<C: Codec>(&mut self, codec: &C, change: Change) -> Option<Change> {
        match change {
            Change::Put(entry) if self.is_readable(codec, &entry) => Some(Change::Put(entry)),
            Change::Put(entry) if self.keeps_last(&entry.name) => None,
            Change::Put(entry) => Some(Change::Removed(entry.name)),
            Change::Removed(name) => {
                self.kept.remove(&name);
                self.unreadable.remove(&name);
                Some(Change::Removed(name))
            }
        }
    }

    /// Checks an entry, and logs it if it can no longer be read.
    fn is_readable<C: Codec>(&mut self, codec: &C, entry: &Entry) -> bool {
        match self.check(codec, entry) {
            Ok(()) => {
                if self.unreadable.remove(&entry.name) {
                    let kind = self.kind.as_str();
                    log::info!("event=entry_readable kind={kind} name={}", excerpt(&entry.name));
                }
                if self.keeps_last(&entry.name) {
                    self.kept.insert(entry.name.clone(), entry.clone());
                }
                true
            }
            Err(err) => {
                if self.unreadable.insert(entry.name.clone()) {
                    log::warn!(
                        "event={} name={} revision={} error={}",
                        self.event(&entry.name),
                        excerpt(&entry.name),
                        entry.revision,
                        excerpt(&err.to_string())
                    );
                }
                false
            }
        }
    }

    fn event(&self, name: &str) -> &'static str {
        match self.kind {
            Kind::Configuration => "configuration_unreadable",
            Kind::Upstreams => "replica_unreadable",
            Kind::Ledgers if name == LAYOUT_NAME => "layout_unreadable",
            Kind::Ledgers => "registration_unreadable",
            Kind::Removals => "removal_unreadable",
        }
    }

    fn keeps_last(&self, name: &str) -> bool {
        match self.kind {
            Kind::Configuration => true,
            Kind::Ledgers => name == LAYOUT_NAME,
            Kind::Upstreams | Kind::Removals => false,
        }
    }

    fn check<C: Codec>(&self, codec: &C, entry: &Entry) -> Result<(), DecodeError> {
        match self.kind {
            Kind::Configuration => codec.configuration(entry).map(|_| ()),
            Kind::Upstreams => codec.upstream(entry).map(|_| ()),
            Kind::Ledgers if entry.name == LAYOUT_NAME => self.check_layout(entry),
            Kind::Ledgers => check_registration(entry),
            // Only their names matter.
            Kind::Removals => Ok(()),
        }
    }

    fn check_layout(&self, entry: &Entry) -> Result<(), DecodeError> {
        let layout: Layout = parse(entry)?;
        let last = self.kept.get(LAYOUT_NAME).and_then(|last| parse::<Layout>(last).ok());
        let is_sized = match last {
            Some(last) => layout.partitions.len() == last.partitions.len(),
            None => !layout.partitions.is_empty(),
        };
        let is_valid = layout.partitions.iter().all(|set| {
            !set.members.is_empty()
                && set.epoch < LAYOUT_NUMBER_MAX
                && (set.tolerated as u64) < LAYOUT_NUMBER_MAX
        });
        match is_sized && is_valid {
            true => Ok(()),
            false => Err(DecodeError::Malformed("invalid partitions".into())),
        }
    }
}

/// The beginning of a text on one line.
fn excerpt(text: &str) -> String {
    text.escape_debug().take(LOGGED_CHARS).collect()
}

fn check_registration(entry: &Entry) -> Result<(), DecodeError> {
    match parse::<Registration>(entry)?.member.address.port() {
        0 => Err(DecodeError::Malformed("an address without a port".into())),
        _ => Ok(()),
    }
}

fn parse<T: serde::de::DeserializeOwned>(entry: &Entry) -> Result<T, DecodeError> {
    serde_json::from_slice(&entry.body).map_err(|err| DecodeError::Malformed(err.to_string()))
}
