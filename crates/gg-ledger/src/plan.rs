//! Decides which changes of the layout are due, based on what one instance
//! knows. Performs no I/O.

use std::time::Duration;

use gg_protocol::Name;
use indexmap::{IndexMap, IndexSet};

use crate::{Layout, LedgerSet, Member, Registration};

/// How long a member may be silent before it is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplacementTimeouts {
    /// Applies if an idle instance is available as a replacement.
    pub idle: Duration,
    /// Applies if only instances that hold other partitions are available. The
    /// silent member may return before they have copied everything.
    pub busy: Duration,
}

/// State of the deployment as known to one instance.
pub struct LayoutPlan<'a, S> {
    /// Current layout.
    pub layout: &'a Layout,
    /// Registered instances by name.
    pub registered: &'a IndexMap<Name, Registration>,
    /// Instances that are being drained.
    pub draining: &'a IndexSet<Name>,
    /// Returns how long a member or instance has been silent.
    pub silence: S,
    /// When silent members are replaced.
    pub replacement: ReplacementTimeouts,
}

impl<S: Fn(&Member) -> Duration> LayoutPlan<'_, S> {
    /// Returns the changes that the instance with `disk` should start, by
    /// partition. Each partition changes one member at a time.
    pub fn changes(&self, disk: u64) -> Vec<(usize, LedgerSet)> {
        let partitions = self.layout.partitions.iter().enumerate();
        let idle = partitions.filter(|(_, set)| set.next.is_none());
        let changes = idle.filter_map(|(index, set)| {
            let next = self.next(set)?;
            is_initiator(set, &next, disk).then(|| (index, set.begin(next)))
        });
        changes.collect()
    }

    /// Members that a set should change to, if a change is due.
    fn next(&self, set: &LedgerSet) -> Option<Vec<Member>> {
        // A new member copies from a read quorum. An instance that can't reach
        // one may itself be cut off from the network and must not judge the
        // others.
        let is_reachable = |member: &&Member| (self.silence)(member) <= self.replacement.idle;
        let reachable: Vec<u64> =
            set.members.iter().filter(is_reachable).map(|member| member.disk).collect();
        if !set.has_read_quorum(&reachable) {
            return None;
        }
        let members = &set.members;
        let standby = self.standby(set);
        let is_idle =
            standby.as_ref().is_some_and(|standby| self.layout.partition_count(standby.disk) == 0);
        let timeout = if is_idle { self.replacement.idle } else { self.replacement.busy };
        let replaced = members.iter().position(|member| self.needs_replacement(member, timeout));
        let mut next = members.clone();
        match (replaced, standby) {
            (Some(index), Some(standby)) => next[index] = standby,
            (Some(index), None) if self.draining.contains(&members[index].instance) => {
                next.remove(index);
            }
            (None, Some(standby)) if members.len() < set.target_size() => next.push(standby),
            _ => return None,
        }
        (!next.is_empty()).then_some(next)
    }

    fn needs_replacement(&self, member: &Member, timeout: Duration) -> bool {
        let registered = self.registered.get(&member.instance);
        registered.is_some_and(|registration| registration.member.disk != member.disk)
            || self.draining.contains(&member.instance)
            || (self.silence)(member) > timeout
    }

    /// The instance to add to a set next: preferably one that is a member with
    /// its former disk and returned with an empty one, otherwise the one that
    /// holds the fewest partitions.
    fn standby(&self, set: &LedgerSet) -> Option<Member> {
        let standbys = self
            .registered
            .values()
            .filter(|registration| !set.contains_disk(registration.member.disk))
            .filter(|registration| !self.draining.contains(&registration.member.instance))
            .filter(|registration| (self.silence)(&registration.member) <= self.replacement.idle);
        let best = standbys.min_by_key(|registration| {
            let own = set.members.iter().any(|m| m.instance == registration.member.instance);
            (
                !own,
                self.layout.partition_count(registration.member.disk),
                registration.since_ms,
                registration.member.disk,
            )
        })?;
        Some(best.member.clone())
    }
}

/// Whether the instance with `disk` writes the change: the new member, or the
/// first remaining one if there is none.
fn is_initiator(set: &LedgerSet, next: &[Member], disk: u64) -> bool {
    let new_member = next.iter().find(|member| !set.contains_disk(member.disk));
    new_member.or(next.first()).is_some_and(|member| member.disk == disk)
}
