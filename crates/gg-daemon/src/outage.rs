//! Records that the platform can't take yet: two daemons in other data
//! centres keep copies until it can.

use gg_dispatch::ranking;
use gg_peer::PeerApiClient;
use gg_program::Record;
use gg_protocol::{JournalId, Name};

use crate::shared::Shared;

/// Daemons that keep a copy.
const COPIES: usize = 2;

/// Puts copies of `records` on two other daemons; returns whether they are
/// safe there.
pub(crate) async fn copy(shared: &Shared, journal: &JournalId, records: &[Record]) -> bool {
    let texts: Result<Vec<String>, _> = records.iter().map(serde_json::to_string).collect();
    let Ok(texts) = texts else { return false };
    let mut kept = 0;
    for holder in holders(shared, journal) {
        if kept == COPIES {
            break;
        }
        if hold(shared, &holder, journal, texts.clone()).await {
            kept += 1;
        }
    }
    kept == COPIES
}

/// Daemons that may keep copies for a journal, those in other data centres
/// first.
fn holders(shared: &Shared, journal: &JournalId) -> Vec<Name> {
    let members = shared.members();
    let key = journal.to_string();
    let ranked = ranking(&key, None, &members).into_iter();
    let mut others: Vec<_> =
        ranked.filter(|member| member.name != shared.settings.instance).collect();
    others.sort_by_key(|member| member.centre == shared.settings.centre);
    others.into_iter().map(|member| member.name.clone()).collect()
}

async fn hold(shared: &Shared, holder: &Name, journal: &JournalId, texts: Vec<String>) -> bool {
    let Some(peer) = shared.membership.peer(holder) else { return false };
    let Ok(client) = shared.peers.get(&peer.address).await else { return false };
    let kept = tokio::time::timeout(HOLD_TIMEOUT, client.hold(journal.clone(), texts)).await;
    matches!(kept, Ok(Ok(true)))
}

/// Longest wait for a daemon to keep a copy.
const HOLD_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);

/// Tells all daemons to drop their copies for a journal.
pub(crate) async fn drop_copies(shared: &Shared, journal: &JournalId) {
    for peer in shared.membership.live() {
        if let Ok(client) = shared.peers.get(&peer.address).await {
            let _ = client.held(journal.clone(), true).await;
        }
    }
}

/// Collects the copies that live daemons keep for a journal.
pub(crate) async fn collect(shared: &Shared, journal: &JournalId) -> Vec<Record> {
    let mut texts = shared.copies.get(journal);
    for peer in shared.membership.live() {
        if peer.name == shared.settings.instance {
            continue;
        }
        let Ok(client) = shared.peers.get(&peer.address).await else { continue };
        let held = tokio::time::timeout(HOLD_TIMEOUT, client.held(journal.clone(), false)).await;
        if let Ok(Ok(held)) = held {
            texts.extend(held);
        }
    }
    texts.iter().filter_map(|text| serde_json::from_str(text).ok()).collect()
}
