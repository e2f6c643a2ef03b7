//! The set of ledger instances that count, and how it changes.

use std::net::SocketAddr;

use gg_protocol::Name;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Name of the set's entry in the directory.
pub const SET_NAME: &str = "set";

/// One instance's disk. An instance that lost its disk is another member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Instance.
    pub instance: Name,
    /// Identity of the disk, drawn when it was first used.
    pub disk: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre.
    pub centre: Name,
}

/// What an instance writes about itself into the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Itself.
    pub member: Member,
    /// Unix milliseconds of the registration, to tell newer ones.
    pub since_ms: u64,
}

/// The members that count. While `next` is set, a write counts only when it
/// is held by enough of both; readers still ask `members`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerSet {
    /// Grows with each change.
    pub epoch: u64,
    /// Disks that may be lost at once.
    pub tolerated: usize,
    /// Present members.
    pub members: Vec<Member>,
    /// Members after the change under way.
    pub next: Option<Vec<Member>>,
}

impl LedgerSet {
    /// Size that the set should have: losing `tolerated` disks leaves a
    /// majority that holds everything.
    pub fn size_wanted(&self) -> usize {
        2 * self.tolerated + 1
    }

    /// Members that have to hold a write: one more than may be lost.
    pub fn write_quorum(&self, size: usize) -> usize {
        (self.tolerated + 1).min(size)
    }

    /// Members that a reader asks so that one of them holds each write, even
    /// after the tolerated losses.
    pub fn read_quorum(&self, size: usize) -> usize {
        size + 1 - self.write_quorum(size)
    }

    /// All members, present and next, each once.
    pub fn all(&self) -> Vec<&Member> {
        let next = self.next.iter().flatten().filter(|member| !self.members.contains(member));
        self.members.iter().chain(next).collect()
    }

    /// Whether `holders` are enough for a write to count.
    pub fn is_written(&self, holders: &[u64]) -> bool {
        let held = |members: &[Member]| {
            let count = members.iter().filter(|member| holders.contains(&member.disk)).count();
            count >= self.write_quorum(members.len())
        };
        held(&self.members) && self.next.as_deref().is_none_or(held)
    }

    /// Whether `readers`, all of them complete, have seen every write.
    pub fn is_read(&self, readers: &[u64]) -> bool {
        let members = self.members.iter();
        let count = members.filter(|member| readers.contains(&member.disk)).count();
        count >= self.read_quorum(self.members.len())
    }

    /// Whether a disk is among the present members.
    pub fn has(&self, disk: u64) -> bool {
        self.members.iter().any(|member| member.disk == disk)
    }

    /// Members of `next` that have to copy everything before they count:
    /// newcomers, and all if the set shrinks, as its readers ask fewer.
    pub fn learners(&self) -> Vec<&Member> {
        let Some(next) = &self.next else { return Vec::new() };
        let shrinks = next.len() < self.members.len();
        next.iter().filter(|member| shrinks || !self.has(member.disk)).collect()
    }

    /// The set that begins a change to `next`.
    pub fn begin(&self, next: Vec<Member>) -> Self {
        LedgerSet { epoch: self.epoch + 1, next: Some(next), ..self.clone() }
    }

    /// The set after the change under way.
    pub fn finish(&self) -> Self {
        let members = self.next.clone().unwrap_or_else(|| self.members.clone());
        LedgerSet { epoch: self.epoch + 1, members, next: None, ..self.clone() }
    }

    /// The set after giving the change up.
    pub fn abandon(&self) -> Self {
        LedgerSet { epoch: self.epoch + 1, next: None, ..self.clone() }
    }
}

/// What is to become of a set, from what one instance knows.
pub(crate) struct Plan<'a, L, G> {
    /// The present set, with no change under way.
    pub(crate) set: &'a LedgerSet,
    /// All instances by name.
    pub(crate) registered: &'a IndexMap<Name, Registration>,
    /// Whether an instance is to be emptied.
    pub(crate) is_leaving: &'a G,
    /// Whether a member or spare instance has not answered for long.
    pub(crate) is_lost: &'a L,
}

impl<L, G> Plan<'_, L, G>
where
    L: Fn(&Member) -> bool,
    G: Fn(&Name) -> bool,
{
    /// The members that the set should change to, if any.
    pub(crate) fn next(&self) -> Option<Vec<Member>> {
        let wanted = self.set.size_wanted();
        let members = &self.set.members;
        let spare = self.spares().next();
        // One change at a time: each keeps all but one member.
        let replaced = members.iter().position(|member| self.is_to_go(member));
        let mut next = members.clone();
        match (replaced, spare) {
            (Some(index), Some(spare)) => next[index] = spare,
            (Some(index), None) if (self.is_leaving)(&members[index].instance) => {
                next.remove(index);
            }
            (None, Some(spare)) if members.len() < wanted => next.push(spare),
            _ => return None,
        }
        (!next.is_empty()).then_some(next)
    }

    /// Whether this instance is the one that writes the change: the newcomer,
    /// or the first that stays.
    pub(crate) fn is_driver(&self, next: &[Member], disk: u64) -> bool {
        let newcomer = next.iter().find(|member| !self.set.has(member.disk));
        newcomer.or(next.first()).is_some_and(|member| member.disk == disk)
    }

    fn is_to_go(&self, member: &Member) -> bool {
        let wiped = self.registered.get(&member.instance);
        wiped.is_some_and(|found| found.member.disk != member.disk)
            || (self.is_leaving)(&member.instance)
            || (self.is_lost)(member)
    }

    /// Instances that could take a place. One that is back with an empty
    /// disk comes first, as it takes its own place.
    fn spares(&self) -> impl Iterator<Item = Member> {
        let mut spares: Vec<_> = self
            .registered
            .values()
            .filter(|found| !self.set.has(found.member.disk))
            .filter(|found| !(self.is_leaving)(&found.member.instance))
            .filter(|found| !(self.is_lost)(&found.member))
            .collect();
        spares.sort_by_key(|found| {
            let own = self.set.members.iter().any(|m| m.instance == found.member.instance);
            (!own, found.since_ms)
        });
        spares.into_iter().map(|found| found.member.clone())
    }
}
