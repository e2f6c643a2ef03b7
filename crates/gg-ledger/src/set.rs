//! Member sets of the ledger's partitions, and how they change.

use std::net::SocketAddr;

use gg_protocol::Name;
use serde::{Deserialize, Serialize};

/// Name of the layout's entry in the directory.
pub const LAYOUT_NAME: &str = "layout";

/// Epoch of the sets of the first layout.
pub(crate) const FIRST_EPOCH: u64 = 1;

/// Disk of one instance. An instance that lost its disk becomes a new member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Instance name.
    pub instance: Name,
    /// Identity of the disk, generated at its first use.
    pub disk: u64,
    /// Address that the instance listens on.
    pub address: SocketAddr,
    /// Data centre.
    pub centre: Name,
}

/// Registration of an instance in the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The instance as a member.
    pub member: Member,
    /// Unix time of the registration in milliseconds. Of several equally
    /// suitable standbys, the one that registered first is used.
    pub since_ms: u64,
}

/// Member sets of all partitions. Programs are hashed to partitions, so the
/// number of partitions never changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Layout {
    /// Member sets by partition number.
    pub partitions: Vec<LedgerSet>,
}

impl Layout {
    /// Creates the first layout of `members`. If there are few, there is a
    /// single partition. Otherwise there are as many partitions as members,
    /// each placed on consecutive members, so that the load is even.
    pub fn initial(members: &[Member], tolerated: usize) -> Self {
        let size = (2 * tolerated + 1).min(members.len());
        let ordered = alternate_centres(members);
        let count = if members.len() <= size + 1 { 1 } else { members.len() };
        let set = |first: usize| LedgerSet {
            epoch: FIRST_EPOCH,
            tolerated,
            members: ordered.iter().cycle().skip(first).take(size).cloned().collect(),
            next: None,
        };
        Layout { partitions: (0..count).map(set).collect() }
    }

    /// Partition that a program belongs to.
    pub fn partition(&self, program: &str) -> u16 {
        let hash = fnv1a(program.as_bytes());
        ((hash ^ (hash >> 32)) % self.partitions.len().max(1) as u64) as u16
    }

    /// All members of all sets, without duplicates.
    pub fn members(&self) -> Vec<&Member> {
        let mut members: Vec<&Member> = Vec::new();
        for member in self.partitions.iter().flat_map(LedgerSet::all) {
            if !members.contains(&member) {
                members.push(member);
            }
        }
        members
    }

    /// Number of partitions that a disk holds or is about to hold.
    pub fn partition_count(&self, disk: u64) -> usize {
        let holds = |set: &&LedgerSet| set.all().iter().any(|member| member.disk == disk);
        self.partitions.iter().filter(holds).count()
    }

    /// Whether this layout has every partition of `other`, at the same or a
    /// newer epoch.
    pub fn covers(&self, other: &Layout) -> bool {
        other.partitions.len() <= self.partitions.len()
            && self
                .partitions
                .iter()
                .zip(&other.partitions)
                .all(|(own, set)| own.epoch >= set.epoch)
    }
}

/// FNV-1a hash: processes of all versions must compute the same value.
pub(crate) fn fnv1a(key: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
    key.iter().fold(0xcbf2_9ce4_8422_2325, step)
}

/// Orders members so that neighbours are in different data centres as far as
/// possible.
fn alternate_centres(members: &[Member]) -> Vec<Member> {
    let mut sorted = members.to_vec();
    sorted.sort_by(|a, b| (&a.centre, &a.instance).cmp(&(&b.centre, &b.instance)));
    let mut rows: Vec<(usize, Member)> = Vec::new();
    for member in sorted {
        let before = rows.iter().filter(|(_, known)| known.centre == member.centre).count();
        rows.push((before, member));
    }
    rows.sort_by_key(|(row, _)| *row);
    rows.into_iter().map(|(_, member)| member).collect()
}

/// Member set of one partition. While `next` is set, a write needs a quorum of
/// both `members` and `next`; readers still use `members`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerSet {
    /// Increases with each change.
    pub epoch: u64,
    /// Number of disks that may be lost at once.
    pub tolerated: usize,
    /// Current members.
    pub members: Vec<Member>,
    /// Members after the change in progress.
    pub next: Option<Vec<Member>>,
}

impl LedgerSet {
    /// Target number of members: after the loss of `tolerated` disks a majority
    /// remains, which together holds every acknowledged write.
    pub fn target_size(&self) -> usize {
        2 * self.tolerated + 1
    }

    /// Smallest number of members that bears the loss of `tolerated` disks. All
    /// of them have to hold every write.
    pub fn smallest_size(&self) -> usize {
        self.tolerated + 1
    }

    /// Number of members that must hold a write: one more than may be lost.
    pub fn write_quorum(&self, size: usize) -> usize {
        (self.tolerated + 1).min(size)
    }

    /// Number of members that must reply to a read so that at least one of them
    /// holds each write, even after the tolerated losses.
    pub fn read_quorum(&self, size: usize) -> usize {
        size + 1 - self.write_quorum(size)
    }

    /// All current and next members, without duplicates.
    pub fn all(&self) -> Vec<&Member> {
        let next = self.next.iter().flatten().filter(|member| !self.members.contains(member));
        self.members.iter().chain(next).collect()
    }

    /// Whether `holders` are a write quorum.
    pub fn has_write_quorum(&self, holders: &[u64]) -> bool {
        let held = |members: &[Member]| {
            let count = members.iter().filter(|member| holders.contains(&member.disk)).count();
            count >= self.write_quorum(members.len())
        };
        held(&self.members) && self.next.as_deref().is_none_or(held)
    }

    /// Whether `readers` are a read quorum, which sees every acknowledged
    /// write.
    pub fn has_read_quorum(&self, readers: &[u64]) -> bool {
        let members = self.members.iter();
        let count = members.filter(|member| readers.contains(&member.disk)).count();
        count >= self.read_quorum(self.members.len())
    }

    /// Whether a disk is among the current members.
    pub fn contains_disk(&self, disk: u64) -> bool {
        self.members.iter().any(|member| member.disk == disk)
    }

    /// Members of `next` that must copy the whole partition before they count:
    /// new members, and all members if the set shrinks, because a read quorum
    /// of the smaller set asks fewer members.
    pub fn learners(&self) -> Vec<&Member> {
        let Some(next) = &self.next else { return Vec::new() };
        let shrinks = next.len() < self.members.len();
        next.iter().filter(|member| shrinks || !self.contains_disk(member.disk)).collect()
    }

    /// Returns the set with a change to `next` started.
    pub fn begin(&self, next: Vec<Member>) -> Self {
        LedgerSet { epoch: self.epoch + 1, next: Some(next), ..self.clone() }
    }

    /// Returns the set with the change in progress completed.
    pub fn finish(&self) -> Self {
        let members = self.next.clone().unwrap_or_else(|| self.members.clone());
        LedgerSet { epoch: self.epoch + 1, members, next: None, ..self.clone() }
    }

    /// Returns the set with the change in progress abandoned.
    pub fn abandon(&self) -> Self {
        LedgerSet { epoch: self.epoch + 1, next: None, ..self.clone() }
    }
}
