//! Where an instance hears of the directory from: a few instances follow it,
//! and the others ask those. Calls to the directory then don't grow with the
//! instances. Plain types.

use std::{sync::Mutex, time::Instant};

use gg_platform::{Freshness, Kind};
use gg_protocol::Name;

use crate::node::lock;

/// Kinds that an instance hears of.
pub(crate) const KINDS: [Kind; 4] =
    [Kind::Ledgers, Kind::Removals, Kind::Configuration, Kind::Upstreams];

/// Instances that follow the directory: the tolerated losses leave a majority
/// of them. All gateways and instances agree on who they are.
pub fn watchers<'a>(instances: impl Iterator<Item = &'a Name>, tolerated: usize) -> Vec<&'a Name> {
    let mut sorted: Vec<&Name> = instances.collect();
    // In no order of names, which tell data centres.
    sorted.sort_by_key(|name| (crc32fast::hash(name.as_bytes()), (*name).clone()));
    sorted.truncate(2 * tolerated + 1);
    sorted
}

/// What is known of one kind.
#[derive(Debug)]
pub(crate) struct Source {
    pub(crate) kind: Kind,
    /// Answers of other instances.
    pub(crate) freshness: Mutex<Freshness>,
    revision: Mutex<u64>,
}

impl Source {
    pub(crate) fn new(kind: Kind) -> Self {
        Source { kind, freshness: Mutex::default(), revision: Mutex::default() }
    }

    /// Revision of what is known.
    pub(crate) fn revision(&self) -> u64 {
        *lock(&self.revision)
    }

    /// Takes in that something of `revision` is heard; `false` if what is
    /// known is newer.
    pub(crate) fn advance(&self, revision: u64) -> bool {
        let mut known = lock(&self.revision);
        let is_newer = revision >= *known;
        *known = revision.max(*known);
        is_newer
    }

    /// Takes in whether another instance is up to date.
    pub(crate) fn note(&self, is_current: bool) {
        lock(&self.freshness).note(is_current, Instant::now());
    }
}
