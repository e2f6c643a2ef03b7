//! Snapshot of a partition's member set and the links to its members.

use std::sync::Arc;

use crate::{
    Layout, LedgerSet,
    link::{Link, Scope},
    links::Links,
};

#[derive(Clone, Debug)]
pub(crate) struct PartitionView {
    pub(crate) scope: Scope,
    pub(crate) set: LedgerSet,
    /// Links to current and next members. Preferred ones come first.
    pub(crate) links: Vec<Arc<Link>>,
    /// Number of preferred links, which are called before the others.
    pub(crate) preferred: usize,
}

impl PartitionView {
    /// Creates the view of a partition. One member in each data centre is
    /// preferred, and more if these are no quorum; all are during a change of
    /// the set. The other members are called only if the preferred ones don't
    /// reply in time.
    pub(crate) fn new(layout: &Layout, all_links: &Links, partition: u16) -> Self {
        let set = layout.partitions.get(usize::from(partition)).cloned().unwrap_or_default();
        let mut links: Vec<Arc<Link>> = Vec::new();
        let mut others: Vec<Arc<Link>> = Vec::new();
        let all = set.all();
        for link in all.iter().filter_map(|member| all_links.get(member.disk)) {
            let is_covered =
                links.iter().any(|preferred| preferred.member.centre == link.member.centre);
            match link.is_usable() && !is_covered {
                true => links.push(link.clone()),
                false => others.push(link.clone()),
            }
        }
        others.sort_by_key(|link| !link.is_usable());
        let size = set.members.len();
        let enough = set.write_quorum(size).max(set.read_quorum(size));
        let preferred = if set.next.is_some() { all.len() } else { links.len().max(enough) };
        links.append(&mut others);
        let preferred = preferred.min(links.len());
        PartitionView { scope: Scope { partition, epoch: set.epoch }, set, links, preferred }
    }

    /// Whether a quorum of members responds, so that turns can be opened and
    /// closed.
    pub(crate) fn is_usable(&self) -> bool {
        let usable = self.links.iter().filter(|link| link.is_usable());
        let usable: Vec<u64> = usable.map(|link| link.member.disk).collect();
        self.has_quorum(&usable)
    }

    /// Whether these disks are both a read and a write quorum.
    pub(crate) fn has_quorum(&self, disks: &[u64]) -> bool {
        self.set.has_read_quorum(disks) && self.set.has_write_quorum(disks)
    }

    /// Whether the members other than these are both a read and a write quorum.
    pub(crate) fn has_quorum_without(&self, disks: &[u64]) -> bool {
        let others = self.links.iter().map(|link| link.member.disk);
        self.has_quorum(&others.filter(|disk| !disks.contains(disk)).collect::<Vec<_>>())
    }

    /// Links to the current members that respond in time, or to all that are
    /// connected if these are no read quorum.
    pub(crate) fn readable(&self) -> impl Iterator<Item = &Arc<Link>> {
        let current = || self.links.iter().filter(|link| self.set.contains_disk(link.member.disk));
        let usable = current().filter(|link| link.is_usable()).map(|link| link.member.disk);
        let is_quorum = self.set.has_read_quorum(&usable.collect::<Vec<_>>());
        current().filter(move |link| if is_quorum { link.is_usable() } else { link.is_up() })
    }

    /// The preferred current member to read chains from, if one is connected.
    /// Members that respond in time come first, and of these the ones in data
    /// centre `centre`.
    pub(crate) fn nearest(&self, centre: &str) -> Option<u64> {
        let preferred = self.links[..self.preferred]
            .iter()
            .filter(|link| self.set.contains_disk(link.member.disk));
        let best = preferred.filter(|link| link.is_up()).min_by_key(|link| {
            (!link.is_usable(), *link.member.centre != *centre, link.member.disk)
        })?;
        Some(best.member.disk)
    }
}
