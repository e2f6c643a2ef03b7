//! Copies of records during a platform outage: two other daemons, in different
//! data centres if possible, hold them until the platform can store the records.

use std::{collections::HashSet, time::Duration};

use gg_dispatch::{Member, ranking};
use gg_membership::PeerInfo;
use gg_peer::PeerApiClient;
use gg_program::Record;
use gg_protocol::{JournalId, Name};
use tokio::time;

use crate::shared::Shared;

/// Number of daemons that hold a copy of each record.
const COPY_COUNT: usize = 2;

/// Longest wait for a daemon to store, return or drop copies.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Copies `records` to two other daemons; returns whether both stored them.
pub(crate) async fn copy(
    shared: &Shared,
    journal: &JournalId,
    number: u64,
    records: &[Record],
) -> bool {
    let texts: Result<Vec<String>, _> = records.iter().map(serde_json::to_string).collect();
    let Ok(texts) = texts else { return false };
    let mut stored = 0;
    for holder in copy_holders(shared, journal) {
        if stored == COPY_COUNT {
            break;
        }
        if hold(shared, &holder, journal, number, texts.clone()).await {
            stored += 1;
        }
    }
    stored == COPY_COUNT
}

/// Daemons that may hold copies for a journal, in order of preference. With
/// two or more other data centres, each holds at most one copy, so that the
/// copies survive the loss of any one of them.
fn copy_holders(shared: &Shared, journal: &JournalId) -> Vec<Name> {
    let members = shared.members();
    let local = &shared.settings;
    let ranked = ranking(&journal.to_string(), None, &members).into_iter();
    let mut other_peers: Vec<&Member> =
        ranked.filter(|member| member.name != local.instance).collect();
    if spans_centres(shared) {
        let mut centres = HashSet::from([&local.centre]);
        other_peers.retain(|member| centres.insert(&member.centre));
    }
    other_peers.into_iter().map(|member| member.name.clone()).collect()
}

/// Whether there are at least as many other data centres as copies.
fn spans_centres(shared: &Shared) -> bool {
    let peers = other_peers(shared);
    let mut centres: HashSet<&Name> = peers.iter().map(|peer| &peer.centre).collect();
    centres.remove(&shared.settings.centre);
    centres.len() >= COPY_COUNT
}

async fn hold(
    shared: &Shared,
    holder: &Name,
    journal: &JournalId,
    number: u64,
    texts: Vec<String>,
) -> bool {
    let Some(peer) = shared.membership.peer(holder) else { return false };
    let stored = async {
        let client = shared.peers.get(&peer.address).await.ok()?;
        client.hold(journal.clone(), number, texts).await.ok()
    };
    matches!(time::timeout(PEER_TIMEOUT, stored).await, Ok(Some(true)))
}

/// Asks all daemons to drop their copies for a journal up to a number.
pub(crate) async fn drop_copies(shared: &Shared, journal: &JournalId, up_to: u64) {
    shared.copies.remove(journal, up_to);
    for peer in other_peers(shared) {
        let dropped = async {
            let client = shared.peers.get(&peer.address).await.ok()?;
            client.unhold(journal.clone(), up_to).await.ok()
        };
        let _ = time::timeout(PEER_TIMEOUT, dropped).await;
    }
}

/// Collects the copies that are held for the journal of a dead daemon. Returns
/// `None` if so many daemons don't respond that both holders of a copy may be
/// among them.
pub(crate) async fn collect(shared: &Shared, journal: &JournalId) -> Option<Vec<Record>> {
    let mut texts = shared.copies.collect(journal);
    let mut unreachable = Vec::new();
    for peer in other_peers(shared) {
        if peer.name == journal.instance {
            continue;
        }
        let held = async {
            let client = shared.peers.get(&peer.address).await.ok()?;
            client.held(journal.clone()).await.ok()
        };
        match time::timeout(PEER_TIMEOUT, held).await {
            Ok(Some(held)) => texts.extend(held),
            // A daemon that the platform no longer lists doesn't return.
            _ if !shared.membership.is_listed(&peer.name) => {}
            _ => unreachable.push(peer),
        }
    }
    if !copies_covered(shared, &unreachable) {
        return None;
    }
    texts.sort();
    texts.dedup();
    Some(texts.iter().filter_map(|(_, text)| serde_json::from_str(text).ok()).collect())
}

/// Whether the daemons that responded hold at least one copy of each record:
/// there are fewer unreachable daemons than copies, or they are all in one data
/// centre while the copies are spread over several.
fn copies_covered(shared: &Shared, unreachable: &[PeerInfo]) -> bool {
    let centres: HashSet<&Name> = unreachable.iter().map(|peer| &peer.centre).collect();
    unreachable.len() < COPY_COUNT || (spans_centres(shared) && centres.len() < COPY_COUNT)
}

fn other_peers(shared: &Shared) -> Vec<PeerInfo> {
    let mut peers = shared.membership.peers();
    peers.retain(|peer| peer.name != shared.settings.instance);
    peers
}
