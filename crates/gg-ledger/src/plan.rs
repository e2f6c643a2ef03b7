//! What is to become of the layout, from what one instance knows. A plain
//! type, apart from the calls that carry it out.

use std::time::Duration;

use gg_protocol::Name;
use indexmap::{IndexMap, IndexSet};

use crate::{Layout, LedgerSet, Member, Registration};

/// How long a member is silent before another one takes its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// If an instance is idle that could take the place.
    pub idle: Duration,
    /// If only instances that hold other partitions could take it; it may be
    /// back before they have copied everything.
    pub busy: Duration,
}

/// What one instance knows of the others.
pub struct Plan<'a, S> {
    /// The layout.
    pub layout: &'a Layout,
    /// All instances by name.
    pub registered: &'a IndexMap<Name, Registration>,
    /// Instances that are to be emptied.
    pub leaving: &'a IndexSet<Name>,
    /// For how long a member or instance has been silent.
    pub silence: S,
    /// When silent members are replaced.
    pub patience: Patience,
}

impl<S: Fn(&Member) -> Duration> Plan<'_, S> {
    /// The changes that the instance with `disk` should begin, by partition.
    /// One change of one member at a time for each partition.
    pub fn changes(&self, disk: u64) -> Vec<(usize, LedgerSet)> {
        let partitions = self.layout.partitions.iter().enumerate();
        let idle = partitions.filter(|(_, set)| set.next.is_none());
        let changes = idle.filter_map(|(index, set)| {
            let next = self.next(set)?;
            is_driver(set, &next, disk).then(|| (index, set.begin(next)))
        });
        changes.collect()
    }

    /// The members that a set should change to, if any.
    fn next(&self, set: &LedgerSet) -> Option<Vec<Member>> {
        // Newcomers copy from enough members, and an instance that is cut off
        // must not judge the others.
        let is_near = |member: &&Member| (self.silence)(member) <= self.patience.idle;
        let near: Vec<u64> = set.members.iter().filter(is_near).map(|member| member.disk).collect();
        if !set.is_read(&near) {
            return None;
        }
        let members = &set.members;
        let spare = self.spare(set);
        let is_idle = spare.as_ref().is_some_and(|spare| self.layout.count_of(spare.disk) == 0);
        let patience = if is_idle { self.patience.idle } else { self.patience.busy };
        let replaced = members.iter().position(|member| self.is_to_go(member, patience));
        let mut next = members.clone();
        match (replaced, spare) {
            (Some(index), Some(spare)) => next[index] = spare,
            (Some(index), None) if self.leaving.contains(&members[index].instance) => {
                next.remove(index);
            }
            (None, Some(spare)) if members.len() < set.size_wanted() => next.push(spare),
            _ => return None,
        }
        (!next.is_empty()).then_some(next)
    }

    fn is_to_go(&self, member: &Member, patience: Duration) -> bool {
        let registered = self.registered.get(&member.instance);
        registered.is_some_and(|found| found.member.disk != member.disk)
            || self.leaving.contains(&member.instance)
            || (self.silence)(member) > patience
    }

    /// The instance that takes the next free place in a set: one that is back
    /// with an empty disk takes its own, else the one with least to do.
    fn spare(&self, set: &LedgerSet) -> Option<Member> {
        let spares = self
            .registered
            .values()
            .filter(|found| !set.has(found.member.disk))
            .filter(|found| !self.leaving.contains(&found.member.instance))
            .filter(|found| (self.silence)(&found.member) <= self.patience.idle);
        let best = spares.min_by_key(|found| {
            let own = set.members.iter().any(|m| m.instance == found.member.instance);
            (!own, self.layout.count_of(found.member.disk), found.since_ms, found.member.disk)
        })?;
        Some(best.member.clone())
    }
}

/// Whether the instance with `disk` is the one that writes a change: the
/// newcomer, or the first that stays.
fn is_driver(set: &LedgerSet, next: &[Member], disk: u64) -> bool {
    let newcomer = next.iter().find(|member| !set.has(member.disk));
    newcomer.or(next.first()).is_some_and(|member| member.disk == disk)
}
