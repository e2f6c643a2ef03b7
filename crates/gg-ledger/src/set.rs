//! The sets of ledger instances that count, one for each partition of the
//! programs, and how they change.

use std::net::SocketAddr;

use gg_protocol::Name;
use serde::{Deserialize, Serialize};

/// Name of the layout's entry in the directory.
pub const LAYOUT_NAME: &str = "layout";

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

/// All partitions. Programs are hashed to them, so their number never
/// changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Layout {
    /// Sets by partition.
    pub partitions: Vec<LedgerSet>,
}

impl Layout {
    /// The first layout of `members`. With few of them there is one
    /// partition; else as many as members, each on the next few in turn, so
    /// that all carry alike.
    pub fn found(members: &[Member], tolerated: usize) -> Self {
        let size = (2 * tolerated + 1).min(members.len());
        let ordered = alternate_centres(members);
        let count = if members.len() <= size + 1 { 1 } else { members.len() };
        let set = |first: usize| LedgerSet {
            epoch: 1,
            tolerated,
            members: ordered.iter().cycle().skip(first).take(size).cloned().collect(),
            next: None,
        };
        Layout { partitions: (0..count).map(set).collect() }
    }

    /// Partition of a program.
    pub fn partition(&self, program: &str) -> u16 {
        // FNV-1a: gateways of any version must agree.
        let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
        let hash = program.bytes().fold(0xcbf2_9ce4_8422_2325, step);
        ((hash ^ (hash >> 32)) % self.partitions.len().max(1) as u64) as u16
    }

    /// Every member of any set, each once.
    pub fn members(&self) -> Vec<&Member> {
        let mut members: Vec<&Member> = Vec::new();
        for member in self.partitions.iter().flat_map(LedgerSet::all) {
            if !members.contains(&member) {
                members.push(member);
            }
        }
        members
    }

    /// Partitions that a disk holds or is to hold.
    pub fn count_of(&self, disk: u64) -> usize {
        let holds = |set: &&LedgerSet| set.all().iter().any(|member| member.disk == disk);
        self.partitions.iter().filter(holds).count()
    }

    /// Whether `other` is newer in no partition.
    pub fn covers(&self, other: &Layout) -> bool {
        other.partitions.len() <= self.partitions.len()
            && self
                .partitions
                .iter()
                .zip(&other.partitions)
                .all(|(own, set)| own.epoch >= set.epoch)
    }
}

/// Members in an order in which neighbours stand in different data centres.
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

/// The members of one partition. While `next` is set, a write counts only
/// when it is held by enough of both; readers still ask `members`.
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

    /// Whether `readers` have seen every write that counts.
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
