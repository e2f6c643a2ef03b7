//! Which ledger instances issue permits and credit. All clients and instances
//! with the same layout agree on them (rendezvous hashing).

use crate::{Layout, hash::mix, set::fnv1a};

impl Layout {
    /// Disks of all sets, in order and without duplicates.
    pub(crate) fn disks(&self) -> Vec<u64> {
        let mut disks: Vec<u64> = self.partitions.iter().flat_map(set_disks).collect();
        disks.sort_unstable();
        disks.dedup();
        disks
    }
}

/// Disks of the instances that issue what belongs to `key`, best first.
pub(crate) fn issuers<const N: usize>(disks: &[u64], key: &str) -> [Option<u64>; N] {
    let key = fnv1a(key.as_bytes());
    let mut best: [Option<(u64, u64)>; N] = [None; N];
    for disk in disks {
        let candidate = Some((mix(key ^ disk), *disk));
        let rank = best.iter().position(|known| candidate >= *known);
        if let Some(rank) = rank.filter(|rank| best[*rank] != candidate) {
            best[rank..].rotate_right(1);
            best[rank] = candidate;
        }
    }
    best.map(|issuer| issuer.map(|(_, disk)| disk))
}

fn set_disks(set: &crate::LedgerSet) -> impl Iterator<Item = u64> {
    set.members.iter().chain(set.next.iter().flatten()).map(|member| member.disk)
}
