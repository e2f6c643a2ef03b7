//! Crashes of engines and the contents that were under way.

use std::{sync::Arc, time::Duration};

use gg_peer::PeerApiClient;
use gg_platform::{ObjectStore, PlatformError, When};
use gg_protocol::Name;
use tokio::{task::JoinSet, time};

use crate::{
    config::{crash_key, read_crash},
    lock::lock,
    shared::Shared,
};

/// Longest time that the peers get to hear of a crash before the caller
/// gets its answer.
const NEWS_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause before crashes that the platform did not take are stored again.
const STORE_PAUSE: Duration = Duration::from_secs(1);

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

/// The name of the crash, if the engine went down rather than just the
/// connection.
pub(crate) async fn find(shared: &Shared, upstream: &Name, address: &str) -> Option<String> {
    let known = lock(&shared.epochs).remove(upstream);
    if let Ok(Ok(state)) = time::timeout(SIGN_TIMEOUT, shared.engine.state(address)).await
        && known.as_ref().is_none_or(|known| *known == state.epoch)
    {
        return None;
    }
    // Another call that was lost with it has taken the epoch.
    let start = known.unwrap_or_else(|| format!("{:x}", rand::random::<u64>()));
    Some(format!("{upstream}/{start}"))
}

/// Notes a crash that `content` was in: here, in the platform and at all
/// peers. Returns how many there are now.
pub(crate) async fn note(shared: &Arc<Shared>, content: &str, crash: String) -> usize {
    lock(&shared.quarantine).note(content, [crash]);
    if let Err(err) = store(shared, content).await {
        log::warn!("event=crash_not_stored content={content} error={err}");
        tokio::spawn(keep_storing(shared.clone(), content.to_owned()));
    }
    let _ = time::timeout(NEWS_TIMEOUT, tell_peers(shared, content)).await;
    lock(&shared.quarantine).count(content)
}

/// Stores crashes once the platform takes them.
async fn keep_storing(shared: Arc<Shared>, content: String) {
    while store(&shared, &content).await.is_err() {
        time::sleep(STORE_PAUSE).await;
    }
    log::info!("event=crash_stored content={content}");
}

/// Puts what is stored and what is known here together, in both places.
async fn store(shared: &Shared, content: &str) -> Result<(), PlatformError> {
    let key = crash_key(content);
    loop {
        let found = shared.platform.get(&key).await?;
        let body = {
            let mut quarantine = lock(&shared.quarantine);
            if let Some(found) = &found {
                read_crash(&mut quarantine, &key, &found.body);
            }
            quarantine.crashes(content).join("\n")
        };
        let when = match found {
            Some(found) if found.body == body.as_bytes() => return Ok(()),
            Some(found) => When::Version(found.version),
            None => When::Absent,
        };
        match shared.platform.put(&key, body.into(), when).await {
            Ok(_) => return Ok(()),
            Err(PlatformError::Conflict(_)) => {}
            Err(err) => return Err(err),
        }
    }
}

async fn tell_peers(shared: &Arc<Shared>, content: &str) {
    let crashes = lock(&shared.quarantine).crashes(content);
    let mut told = JoinSet::new();
    for peer in shared.membership.live() {
        if peer.name == shared.settings.instance {
            continue;
        }
        let (shared, crashes) = (shared.clone(), crashes.clone());
        let content = content.to_owned();
        told.spawn(async move {
            if let Ok(client) = shared.peers.get(&peer.address).await {
                // A peer that is away reads it from the platform.
                let _ = client.crashed(content, crashes).await;
            }
        });
    }
    told.join_all().await;
}
