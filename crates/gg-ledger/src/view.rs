//! A partition's set and the links to its members at one moment.

use std::sync::Arc;

use crate::{
    Layout, LedgerSet,
    link::{Link, Scope},
    links::Links,
};

#[derive(Clone, Debug)]
pub(crate) struct View {
    pub(crate) scope: Scope,
    pub(crate) set: LedgerSet,
    /// Links to present and next members, those that are asked first before
    /// the others.
    pub(crate) links: Vec<Arc<Link>>,
    /// How many of the links are asked first.
    pub(crate) first: usize,
}

impl View {
    /// The set of a partition. One member in each data centre is asked first,
    /// and more if these are too few; the others only if those stay silent.
    pub(crate) fn new(layout: &Layout, all_links: &Links, partition: u16) -> Self {
        let set = layout.partitions.get(usize::from(partition)).cloned().unwrap_or_default();
        let mut links: Vec<Arc<Link>> = Vec::new();
        let mut others: Vec<Arc<Link>> = Vec::new();
        let all = set.all();
        for link in all.iter().filter_map(|member| all_links.get(member.disk)) {
            let is_covered = links.iter().any(|first| first.member.centre == link.member.centre);
            match link.is_usable() && !is_covered {
                true => links.push(link.clone()),
                false => others.push(link.clone()),
            }
        }
        others.sort_by_key(|link| !link.is_usable());
        let size = set.members.len();
        let enough = set.write_quorum(size).max(set.read_quorum(size));
        let first = if set.next.is_some() { all.len() } else { links.len().max(enough) };
        links.append(&mut others);
        let first = first.min(links.len());
        View { scope: Scope { partition, epoch: set.epoch }, set, links, first }
    }

    /// Whether enough members answer to open and close turns.
    pub(crate) fn is_usable(&self) -> bool {
        let usable = self.links.iter().filter(|link| link.is_usable());
        let usable: Vec<u64> = usable.map(|link| link.member.disk).collect();
        self.is_enough(&usable)
    }

    /// Whether a turn that is opened by these has seen and is seen by all.
    pub(crate) fn is_enough(&self, disks: &[u64]) -> bool {
        self.set.is_read(disks) && self.set.is_written(disks)
    }

    /// The member that chains are read from: in the same data centre if one
    /// answers there, else any that is asked first.
    pub(crate) fn nearest(&self, centre: &str) -> Option<u64> {
        let first = self.links[..self.first].iter().filter(|link| self.set.has(link.member.disk));
        let best = first.filter(|link| link.is_up()).min_by_key(|link| {
            (!link.is_usable(), *link.member.centre != *centre, link.member.disk)
        })?;
        Some(best.member.disk)
    }
}
