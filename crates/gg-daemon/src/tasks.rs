//! Background tasks that run for the lifetime of the daemon.

use std::{sync::Arc, time::Duration};

use gg_peer::PeerApiClient;
use gg_platform::ObjectStore;
use gg_protocol::{
    Name, Upstream,
    config::{Doc, Versioned},
    peer::Probe,
};
use indexmap::IndexMap;
use tokio::time;

use crate::{
    adopt,
    config::{self, CONFIG_PREFIX, CRASH_PREFIX},
    home::HomeCell,
    lock::lock,
    shared::Shared,
};

/// Delay before a failed watch is retried.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Longest wait for the reply to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// A probe round that follows the last one after more than this many intervals
/// indicates that the process was paused.
const PAUSE_INTERVALS: u32 = 3;

/// Starts all tasks.
pub(crate) fn spawn_all(shared: &Arc<Shared>, homes: &HomeCell) {
    spawn(shared, |shared| probe_peers(shared, homes.clone()));
    spawn(shared, read_instances);
    spawn(shared, list_config);
    spawn(shared, watch_config);
    spawn(shared, |shared| adopt_dead(shared, homes.clone()));
    spawn(shared, apply_config);
}

fn spawn<F>(shared: &Arc<Shared>, task: impl FnOnce(Arc<Shared>) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let stop = shared.stop.clone();
    let task = task(shared.clone());
    tokio::spawn(async move { stop.run_until_cancelled(task).await });
}

/// Probes a few random peers in each round.
async fn probe_peers(shared: Arc<Shared>, homes: HomeCell) {
    let interval = shared.settings.timing.probe;
    let mut last_round = time::Instant::now();
    loop {
        time::sleep(interval).await;
        if last_round.elapsed() > interval * PAUSE_INTERVALS {
            log::warn!("event=paused ms={}", last_round.elapsed().as_millis());
            shared.membership.forget_failures();
            if let Some(home) = homes.get() {
                // Checks immediately whether the journal was sealed during the
                // pause.
                let _ = home.journal.verify().await;
            }
        }
        last_round = time::Instant::now();
        for peer in shared.membership.probe_targets(shared.settings.timing.probe_peers) {
            let shared = shared.clone();
            tokio::spawn(async move { probe(&shared, &peer.name, &peer.address).await });
        }
    }
}

async fn probe(shared: &Shared, name: &Name, address: &str) {
    let probe = Probe {
        from: shared.journal_id(),
        config: shared.config.get().revision,
        suspects: shared.membership.suspects(),
    };
    let response = async {
        let client = shared.peers.get(address).await.ok()?;
        client.probe(probe).await.ok()
    };
    match time::timeout(PROBE_TIMEOUT, response).await {
        Ok(Some(reply)) => {
            log::debug!("event=probe_answered peer={name} journal={}", reply.journal);
            let known = shared.config.get().revision;
            shared.membership.record_response(name, &reply.journal, reply.config, &reply.suspects);
            if reply.config > known {
                fetch_config(shared, address, known).await;
            }
        }
        _ => {
            log::debug!("event=probe_failed peer={name}");
            shared.membership.record_failure(name);
        }
    }
}

/// Fetches newer configuration from a peer, in case the platform is unreachable
/// or a watch event was lost.
async fn fetch_config(shared: &Shared, address: &str, known: u64) {
    let Ok(client) = shared.peers.get(address).await else { return };
    if let Ok(updates) = client.config(known).await {
        shared.config.apply(updates.documents);
    }
}

/// Reads the platform's list of instances.
async fn read_instances(shared: Arc<Shared>) {
    let mut known = None;
    loop {
        if let Ok(Some((version, list))) = shared.platform.instances(known).await {
            known = Some(version);
            shared.membership.set_listed(list);
        }
        let draining = shared.membership.draining_upstreams();
        for (name, _) in shared.config.get().upstreams() {
            shared.dispatcher.set_draining(&name, draining.contains(&name));
        }
        time::sleep(shared.settings.timing.list).await;
    }
}

/// Periodically lists the whole configuration, in case watch events were lost.
async fn list_config(shared: Arc<Shared>) {
    loop {
        if let Err(err) = load_config(&shared).await {
            log::warn!("event=config_list_failed error={err:?}");
        }
        time::sleep(shared.settings.timing.config_list).await;
    }
}

/// Reads every document that is newer than the one in force and applies them
/// together, so that a daemon that has just started is ready with all of them or
/// with none. Returns the revision of the listing.
pub(crate) async fn load_config(shared: &Shared) -> Result<u64, gg_platform::PlatformError> {
    let listing = shared.platform.list(CONFIG_PREFIX).await?;
    let current = shared.config.get();
    let newer = listing.items.iter().filter(|item| {
        let key = item.key.strip_prefix(CONFIG_PREFIX).unwrap_or("");
        current.documents().get(key).is_none_or(|known| known.version < item.version)
    });
    let mut updates = Vec::new();
    for item in newer {
        updates.extend(read_document(shared, &item.key).await?);
    }
    shared.config.apply(updates);
    Ok(listing.revision)
}

/// Reads a document from the platform; `None` if it was deleted or can't be
/// parsed.
async fn read_document(
    shared: &Shared,
    key: &str,
) -> Result<Option<(Name, Versioned)>, gg_platform::PlatformError> {
    let Some(found) = shared.platform.get(key).await? else { return Ok(None) };
    let Some(name) = key.strip_prefix(CONFIG_PREFIX) else { return Ok(None) };
    match serde_json::from_slice::<Doc>(&found.body) {
        Ok(doc) => Ok(Some((name.into(), Versioned { version: found.version, doc }))),
        Err(err) => {
            log::error!("event=config_unreadable key={key} error={:?}", err.to_string());
            Ok(None)
        }
    }
}

/// Watches configuration and crash objects.
async fn watch_config(shared: Arc<Shared>) {
    let mut revision = 0;
    loop {
        if revision == 0 {
            match load_all(&shared).await {
                Ok(loaded) => revision = loaded,
                Err(_) => {
                    time::sleep(WATCH_RETRY_DELAY).await;
                    continue;
                }
            }
        }
        // The prefix covers the keys of both configuration and crash objects.
        let changes = match shared.platform.watch("c", revision).await {
            Ok(changes) => changes,
            Err(_) => {
                time::sleep(WATCH_RETRY_DELAY).await;
                continue;
            }
        };
        for event in changes.events.iter().filter(|event| !event.deleted) {
            if read_object(&shared, &event.key).await.is_err() {
                // Lists everything again, so that no change is skipped.
                revision = 0;
            }
        }
        if revision != 0 {
            revision = changes.revision;
        }
    }
}

async fn load_all(shared: &Shared) -> Result<u64, gg_platform::PlatformError> {
    let crashes = shared.platform.list(CRASH_PREFIX).await?;
    for item in &crashes.items {
        read_object(shared, &item.key).await?;
    }
    let revision = load_config(shared).await?;
    Ok(revision.min(crashes.revision).max(1))
}

async fn read_object(shared: &Shared, key: &str) -> Result<(), gg_platform::PlatformError> {
    if key.starts_with(CONFIG_PREFIX) {
        let updates = read_document(shared, key).await?;
        shared.config.apply(updates.into_iter().collect());
        return Ok(());
    }
    if key.starts_with(CRASH_PREFIX)
        && let Some(found) = shared.platform.get(key).await?
    {
        config::merge_crashes(&mut lock(&shared.quarantine), key, &found.body);
    }
    Ok(())
}

/// Applies configured slots and floors to the dispatcher.
async fn apply_config(shared: Arc<Shared>) {
    let mut changes = shared.config.changes();
    loop {
        let config = shared.config.get();
        let slots = |(name, upstream): (Name, &Upstream)| (name, upstream.slots.max(1));
        let slots: IndexMap<Name, u32> = config.upstreams().map(slots).collect();
        shared.dispatcher.configure(slots, config.floors());
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Adopts the journals of dead daemons.
async fn adopt_dead(shared: Arc<Shared>, homes: HomeCell) {
    loop {
        time::sleep(shared.settings.timing.probe / 2).await;
        if let Some(home) = homes.get() {
            adopt::adopt_dead(&shared, &home).await;
            adopt::finish_adoptions(&home).await;
        }
    }
}
