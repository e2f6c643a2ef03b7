//! Records that the platform can't take yet: two daemons in other data
//! centres keep copies until it can.

use std::{collections::HashSet, time::Duration};

use gg_dispatch::{Member, ranking};
use gg_membership::PeerInfo;
use gg_peer::PeerApiClient;
use gg_program::Record;
use gg_protocol::{JournalId, Name};
use tokio::time;

use crate::shared::Shared;

/// Daemons that keep a copy.
const COPIES: usize = 2;

/// Longest wait for a daemon to keep, hand out or drop copies.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Puts copies of `records` on two other daemons; returns whether they are
/// safe there.
pub(crate) async fn copy(
    shared: &Shared,
    journal: &JournalId,
    number: u64,
    records: &[Record],
) -> bool {
    let texts: Result<Vec<String>, _> = records.iter().map(serde_json::to_string).collect();
    let Ok(texts) = texts else { return false };
    let mut kept = 0;
    for holder in holders(shared, journal) {
        if kept == COPIES {
            break;
        }
        if hold(shared, &holder, journal, number, texts.clone()).await {
            kept += 1;
        }
    }
    kept == COPIES
}

/// Daemons that may keep copies for a journal, in order of preference. With
/// two other data centres or more, each takes one copy at most, so that the
/// copies outlast any one of them.
fn holders(shared: &Shared, journal: &JournalId) -> Vec<Name> {
    let members = shared.members();
    let local = &shared.settings;
    let ranked = ranking(&journal.to_string(), None, &members).into_iter();
    let mut others: Vec<&Member> = ranked.filter(|member| member.name != local.instance).collect();
    if has_far_centres(shared) {
        let mut centres = HashSet::from([&local.centre]);
        others.retain(|member| centres.insert(&member.centre));
    }
    others.into_iter().map(|member| member.name.clone()).collect()
}

/// Whether there are as many other data centres as copies.
fn has_far_centres(shared: &Shared) -> bool {
    let peers = others(shared);
    let mut centres: HashSet<&Name> = peers.iter().map(|peer| &peer.centre).collect();
    centres.remove(&shared.settings.centre);
    centres.len() >= COPIES
}

async fn hold(
    shared: &Shared,
    holder: &Name,
    journal: &JournalId,
    number: u64,
    texts: Vec<String>,
) -> bool {
    let Some(peer) = shared.membership.peer(holder) else { return false };
    let kept = async {
        let client = shared.peers.get(&peer.address).await.ok()?;
        client.hold(journal.clone(), number, texts).await.ok()
    };
    matches!(time::timeout(TIMEOUT, kept).await, Ok(Some(true)))
}

/// Tells all daemons to drop their copies for a journal up to a number.
pub(crate) async fn drop_copies(shared: &Shared, journal: &JournalId, upto: u64) {
    shared.copies.remove(journal, upto);
    for peer in others(shared) {
        let dropped = async {
            let client = shared.peers.get(&peer.address).await.ok()?;
            client.unhold(journal.clone(), upto).await.ok()
        };
        let _ = time::timeout(TIMEOUT, dropped).await;
    }
}

/// Collects the copies that other daemons keep for the journal of a dead
/// one. Returns `None` if so many can't be asked that both holders of a copy
/// may be among them.
pub(crate) async fn collect(shared: &Shared, journal: &JournalId) -> Option<Vec<Record>> {
    let mut texts = shared.copies.collect(journal);
    let mut silent = Vec::new();
    for peer in others(shared) {
        if peer.name == journal.instance {
            continue;
        }
        let held = async {
            let client = shared.peers.get(&peer.address).await.ok()?;
            client.held(journal.clone()).await.ok()
        };
        match time::timeout(TIMEOUT, held).await {
            Ok(Some(held)) => texts.extend(held),
            // One that the platform has taken away never comes back.
            _ if !shared.membership.is_listed(&peer.name) => {}
            _ => silent.push(peer),
        }
    }
    if !covers(shared, &silent) {
        return None;
    }
    texts.sort();
    texts.dedup();
    Some(texts.iter().filter_map(|(_, text)| serde_json::from_str(text).ok()).collect())
}

/// Whether the daemons that answered hold at least one copy of each record:
/// the silent ones are fewer than the copies, or stand in one data centre
/// while copies are spread over several.
fn covers(shared: &Shared, silent: &[PeerInfo]) -> bool {
    let centres: HashSet<&Name> = silent.iter().map(|peer| &peer.centre).collect();
    silent.len() < COPIES || (has_far_centres(shared) && centres.len() < COPIES)
}

fn others(shared: &Shared) -> Vec<PeerInfo> {
    let mut peers = shared.membership.peers();
    peers.retain(|peer| peer.name != shared.settings.instance);
    peers
}
