//! Engine crashes and the fingerprints of the requests in flight at the time.

use std::{sync::Arc, time::Duration};

use gg_peer::PeerApiClient;
use gg_platform::{ObjectStore, PlatformError, When};
use gg_protocol::Name;
use tokio::{task::JoinSet, time};

use crate::{
    config::{crash_key, merge_crashes},
    lock::lock,
    shared::Shared,
};

/// Timeout of notifying the peers of a crash, before the call is retried or
/// fails.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before the platform is asked again to store crashes.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Longest wait for the state of an engine that may have crashed.
const STATE_TIMEOUT: Duration = Duration::from_millis(500);

/// Records the epoch of the engine that a call is sent to, unless it is known.
pub(crate) async fn record_epoch(shared: &Shared, upstream: &Name, address: &str) {
    if lock(&shared.epochs).contains_key(upstream) {
        return;
    }
    if let Ok(state) = shared.engine.state(address).await {
        lock(&shared.epochs).insert(upstream.clone(), state.epoch);
    }
}

/// Returns the identifier of the crash if the engine itself went down, or
/// `None` if only the connection was lost.
pub(crate) async fn identify(shared: &Shared, upstream: &Name, address: &str) -> Option<String> {
    let known = lock(&shared.epochs).remove(upstream);
    if let Ok(Ok(state)) = time::timeout(STATE_TIMEOUT, shared.engine.state(address)).await
        && known.as_ref().is_none_or(|known| *known == state.epoch)
    {
        return None;
    }
    // Another call that failed in the same crash has removed the epoch.
    let epoch = known.unwrap_or_else(|| format!("{:x}", rand::random::<u64>()));
    Some(format!("{upstream}/{epoch}"))
}

/// Records a crash of the request with `fingerprint`: locally, in the platform
/// and at all peers. Returns the number of its crashes so far.
pub(crate) async fn record(shared: &Arc<Shared>, fingerprint: &str, crash: String) -> usize {
    lock(&shared.quarantine).record(fingerprint, [crash]);
    if let Err(err) = store(shared, fingerprint).await {
        log::warn!("event=crash_not_stored content={fingerprint} error={err}");
        tokio::spawn(retry_store(shared.clone(), fingerprint.to_owned()));
    }
    let _ = time::timeout(NOTIFY_TIMEOUT, notify_peers(shared, fingerprint)).await;
    lock(&shared.quarantine).count(fingerprint)
}

/// Retries until the platform has stored the crashes.
async fn retry_store(shared: Arc<Shared>, fingerprint: String) {
    while store(&shared, &fingerprint).await.is_err() {
        time::sleep(STORE_RETRY_DELAY).await;
    }
    log::info!("event=crash_stored content={fingerprint}");
}

/// Merges the stored and the locally known crashes, and writes the result to
/// both places.
async fn store(shared: &Shared, fingerprint: &str) -> Result<(), PlatformError> {
    let key = crash_key(fingerprint);
    loop {
        let stored = shared.platform.get(&key).await?;
        let body = {
            let mut quarantine = lock(&shared.quarantine);
            if let Some(stored) = &stored {
                merge_crashes(&mut quarantine, &key, &stored.body);
            }
            quarantine.crashes(fingerprint).join("\n")
        };
        let condition = match stored {
            Some(stored) if stored.body == body.as_bytes() => return Ok(()),
            Some(stored) => When::Version(stored.version),
            None => When::Absent,
        };
        match shared.platform.put(&key, body.into(), condition).await {
            Ok(_) => return Ok(()),
            Err(PlatformError::Conflict(_)) => {}
            Err(err) => return Err(err),
        }
    }
}

async fn notify_peers(shared: &Arc<Shared>, fingerprint: &str) {
    let crashes = lock(&shared.quarantine).crashes(fingerprint);
    let mut notifications = JoinSet::new();
    for peer in shared.membership.live() {
        if peer.name == shared.settings.instance {
            continue;
        }
        let (shared, crashes) = (shared.clone(), crashes.clone());
        let fingerprint = fingerprint.to_owned();
        notifications.spawn(async move {
            if let Ok(client) = shared.peers.get(&peer.address).await {
                // An unreachable peer reads the crashes from the platform.
                let _ = client.crashed(fingerprint, crashes).await;
            }
        });
    }
    notifications.join_all().await;
}
