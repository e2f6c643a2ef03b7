//! Distribution of directory updates: a few instances follow the directory, and
//! the others poll them, so that the load on the directory doesn't grow with the
//! number of instances. Performs no I/O.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use gg_platform::{Confirmed, Freshness, Kind};
use gg_protocol::Name;

use crate::{EntryFilter, node::lock};

/// Kinds that an instance receives updates of.
pub(crate) const KINDS: [Kind; 4] =
    [Kind::Ledgers, Kind::Removals, Kind::Configuration, Kind::Upstreams];

/// Instances that follow the directory. After the tolerated losses a majority
/// of them remains. The result doesn't depend on the order of the names, so all
/// instances that know the same names agree on it.
pub fn watchers<'a>(instances: impl Iterator<Item = &'a Name>, tolerated: usize) -> Vec<&'a Name> {
    let mut sorted: Vec<&Name> = instances.collect();
    // Names encode the data centre, so in their order all could be in the same
    // one. Hashes spread them.
    sorted.sort_by_key(|name| (crc32fast::hash(name.as_bytes()), (*name).clone()));
    sorted.truncate(2 * tolerated + 1);
    sorted
}

/// State of the updates of one kind.
#[derive(Debug)]
pub(crate) struct Source {
    pub(crate) kind: Kind,
    /// Whether other instances supply current updates.
    pub(crate) freshness: Mutex<Freshness>,
    pub(crate) filter: Mutex<EntryFilter>,
    revision: Mutex<u64>,
}

impl Source {
    /// The updates of other instances are fresh while their copy is younger than
    /// `max_age`.
    pub(crate) fn new(kind: Kind, max_age: Duration) -> Self {
        let filter = Mutex::new(EntryFilter::new(kind));
        let freshness = Mutex::new(Freshness::new(max_age));
        Source { kind, freshness, filter, revision: Mutex::default() }
    }

    /// Latest known revision.
    pub(crate) fn revision(&self) -> u64 {
        *lock(&self.revision)
    }

    /// Records the receipt of `revision`. Returns `false` if a newer one is
    /// known.
    pub(crate) fn advance(&self, revision: u64) -> bool {
        let mut known = lock(&self.revision);
        let is_newer = revision >= *known;
        *known = revision.max(*known);
        is_newer
    }

    /// Accepts updates of any revision again, because the known entries are
    /// incomplete.
    pub(crate) fn reset(&self) {
        *lock(&self.revision) = 0;
    }

    /// Records whether another instance is up to date, and its confirmation.
    pub(crate) fn record_freshness(&self, is_current: bool, confirmed: Option<Confirmed>) {
        lock(&self.freshness).record(is_current, confirmed, Instant::now());
    }
}
