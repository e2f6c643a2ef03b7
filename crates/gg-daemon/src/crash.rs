//! Crashes of engines and the contents that were under way.

use std::{sync::Arc, time::Duration};

use gg_peer::PeerApiClient;
use gg_platform::{ObjectStore, PlatformError, When};
use gg_protocol::Name;
use tokio::{task::JoinSet, time};

use crate::{config::crash_key, lock::lock, shared::Shared};

/// Longest time that the peers get to hear of a crash before the caller
/// gets its answer.
const NEWS_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for a sign of life of an engine that may have crashed.
const SIGN_TIMEOUT: Duration = Duration::from_millis(500);

/// Remembers which start of the engine a call goes to.
pub(crate) async fn note_epoch(shared: &Shared, upstream: &Name, address: &str) {
    if lock(&shared.epochs).contains_key(upstream) {
        return;
    }
    if let Ok(state) = shared.engine.state(address).await {
        lock(&shared.epochs).insert(upstream.clone(), state.epoch);
    }
}

/// Whether the engine went down, rather than just the connection.
pub(crate) async fn has_crashed(shared: &Shared, upstream: &Name, address: &str) -> bool {
    let known = lock(&shared.epochs).remove(upstream);
    match time::timeout(SIGN_TIMEOUT, shared.engine.state(address)).await {
        Ok(Ok(state)) => known.is_some_and(|known| known != state.epoch),
        _ => true,
    }
}

/// Counts a crash for `content`: here, in the platform and at all peers.
/// Returns the new count.
pub(crate) async fn note(shared: &Arc<Shared>, content: &str) -> u32 {
    let mut count = lock(&shared.quarantine).count(content) + 1;
    lock(&shared.quarantine).raise(content, count);
    if let Ok(stored) = store(shared, content).await {
        count = count.max(stored);
        lock(&shared.quarantine).raise(content, count);
    }
    let _ = time::timeout(NEWS_TIMEOUT, tell_peers(shared, content, count)).await;
    count
}

/// Raises the stored count by one and returns it.
async fn store(shared: &Shared, content: &str) -> Result<u32, PlatformError> {
    let key = crash_key(content);
    loop {
        let found = shared.platform.get(&key).await?;
        let when = found.as_ref().map_or(When::Absent, |found| When::Version(found.version));
        let known = found.and_then(|found| std::str::from_utf8(&found.body).ok()?.parse().ok());
        let count: u32 = known.unwrap_or(0) + 1;
        match shared.platform.put(&key, count.to_string().into(), when).await {
            Ok(_) => return Ok(count),
            Err(PlatformError::Conflict(_)) => {}
            Err(err) => return Err(err),
        }
    }
}

async fn tell_peers(shared: &Arc<Shared>, content: &str, count: u32) {
    let mut told = JoinSet::new();
    for peer in shared.membership.live() {
        if peer.name == shared.settings.instance {
            continue;
        }
        let shared = shared.clone();
        let content = content.to_owned();
        told.spawn(async move {
            if let Ok(client) = shared.peers.get(&peer.address).await {
                let _ = client.crashed(content, count).await;
            }
        });
    }
    told.join_all().await;
}
