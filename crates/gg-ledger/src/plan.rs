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

/// Why a member has to leave its set, the most urgent reason first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Need {
    /// Its instance has another disk, so its data is gone.
    DiskLost,
    /// It has been silent for too long.
    Silent,
    /// It is being drained, and still holds its data.
    Draining,
}

impl<S: Fn(&Member) -> Duration> LayoutPlan<'_, S> {
    /// The same state with another judgement of silence.
    pub fn with_silence<T>(&self, silence: T) -> LayoutPlan<'_, T> {
        let LayoutPlan { layout, registered, draining, replacement, .. } = *self;
        LayoutPlan { layout, registered, draining, silence, replacement }
    }

    /// Returns the changes that the instance with `disk` should start, by
    /// partition. Each partition changes one member at a time, except that all
    /// lost disks that can't be replaced leave together.
    pub fn changes(&self, disk: u64) -> Vec<(usize, LedgerSet)> {
        let partitions = self.layout.partitions.iter().enumerate();
        let idle = partitions.filter(|(_, set)| set.next.is_none());
        let changes = idle.filter_map(|(index, set)| {
            let next = self.next(set)?;
            is_initiator(set, &next, disk).then(|| (index, set.begin(next)))
        });
        changes.collect()
    }

    /// Members that a set should change to, if a change is due. What is needed
    /// most comes first, wherever it stands in the set.
    pub(crate) fn next(&self, set: &LedgerSet) -> Option<Vec<Member>> {
        // A new member copies from a read quorum. An instance that can't reach
        // one may itself be cut off from the network and must not judge the
        // others.
        if !set.has_read_quorum(&self.live_disks(&set.members)) {
            return None;
        }
        let standby = self.standby(set);
        let is_idle =
            standby.as_ref().is_some_and(|standby| self.layout.partition_count(standby.disk) == 0);
        let timeout = if is_idle { self.replacement.idle } else { self.replacement.busy };
        let needs = set.members.iter().filter_map(|m| Some((self.need(m, timeout)?, m)));
        let most_urgent = needs.min_by_key(|(need, _)| *need);
        let size = set.members.len();
        match (most_urgent, standby) {
            // A copy more is needed before one that is still there may go.
            (Some((Need::Draining, _)), Some(standby)) if size < set.smallest_size() => {
                Some(with(set, standby))
            }
            (Some((_, member)), Some(standby)) => Some(replace(set, member, standby)),
            (Some((Need::DiskLost, _)), None) => {
                self.without(set, |member| self.is_lost(member)).or_else(|| self.with_returned(set))
            }
            (Some((Need::Draining, member)), None) => self.without(set, |other| other == member),
            (None, Some(standby)) if size < set.target_size() => Some(with(set, standby)),
            _ => None,
        }
    }

    fn need(&self, member: &Member, timeout: Duration) -> Option<Need> {
        if self.is_lost(member) {
            Some(Need::DiskLost)
        } else if (self.silence)(member) > timeout {
            Some(Need::Silent)
        } else {
            self.draining.contains(&member.instance).then_some(Need::Draining)
        }
    }

    /// Whether the directory names another disk of the member's instance. Each
    /// instance registers its disk when it starts.
    pub(crate) fn is_lost(&self, member: &Member) -> bool {
        let registered = self.registered.get(&member.instance);
        registered.is_some_and(|registration| registration.member.disk != member.disk)
    }

    /// Whether a member has its disk and responds.
    pub(crate) fn is_live(&self, member: &Member) -> bool {
        !self.is_lost(member) && (self.silence)(member) <= self.replacement.idle
    }

    /// Disks of the live ones of these members.
    pub(crate) fn live_disks<'m>(&self, members: impl IntoIterator<Item = &'m Member>) -> Vec<u64> {
        let live = members.into_iter().filter(|member| self.is_live(member));
        live.map(|member| member.disk).collect()
    }

    /// The set without the members that leave, if the rest can copy everything
    /// from each other and bears the tolerated losses.
    fn without(&self, set: &LedgerSet, leaves: impl Fn(&Member) -> bool) -> Option<Vec<Member>> {
        let rest: Vec<Member> =
            set.members.iter().filter(|member| !leaves(member)).cloned().collect();
        let is_enough = rest.len() >= set.smallest_size();
        (is_enough && rest.iter().all(|member| self.is_live(member))).then_some(rest)
    }

    /// The set with an instance that is being drained in place of its own lost
    /// disk. It is the last resort: an instance outside of the set may have been
    /// taken away for good in the meantime.
    fn with_returned(&self, set: &LedgerSet) -> Option<Vec<Member>> {
        let returned = |member: &Member| {
            let now = &self.registered.get(&member.instance)?.member;
            (self.is_lost(member) && self.is_live(now)).then(|| now.clone())
        };
        let (member, now) =
            set.members.iter().find_map(|member| Some((member, returned(member)?)))?;
        Some(replace(set, member, now))
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
            .filter(|registration| self.is_live(&registration.member));
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

fn with(set: &LedgerSet, standby: Member) -> Vec<Member> {
    set.members.iter().cloned().chain([standby]).collect()
}

fn replace(set: &LedgerSet, member: &Member, standby: Member) -> Vec<Member> {
    let replaced = |other: &Member| if other == member { standby.clone() } else { other.clone() };
    set.members.iter().map(replaced).collect()
}

/// Whether the instance with `disk` writes the change: the new member, or the
/// first remaining one if there is none.
fn is_initiator(set: &LedgerSet, next: &[Member], disk: u64) -> bool {
    let new_member = next.iter().find(|member| !set.contains_disk(member.disk));
    new_member.or(next.first()).is_some_and(|member| member.disk == disk)
}
