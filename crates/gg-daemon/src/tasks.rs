//! Tasks that run as long as the daemon does.

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
    config::{self, CRASH_PREFIX, PREFIX},
    home::HomeCell,
    lock::lock,
    shared::Shared,
};

/// Pause after a watch that failed.
const WATCH_PAUSE: Duration = Duration::from_millis(500);

/// Longest wait for an answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// A round later than this many intervals means that the process was paused.
const PAUSED_ROUNDS: u32 = 3;

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

/// Probes a few random peers each round.
async fn probe_peers(shared: Arc<Shared>, homes: HomeCell) {
    let interval = shared.settings.timing.probe;
    let mut last = time::Instant::now();
    loop {
        time::sleep(interval).await;
        if last.elapsed() > interval * PAUSED_ROUNDS {
            log::warn!("event=paused ms={}", last.elapsed().as_millis());
            shared.membership.forget_failures();
            if let Some(home) = homes.get() {
                // Finds out at once whether the journal was sealed meanwhile.
                let _ = home.journal.verify().await;
            }
        }
        last = time::Instant::now();
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
    let asked = async {
        let client = shared.peers.get(address).await.ok()?;
        client.probe(probe).await.ok()
    };
    match time::timeout(PROBE_TIMEOUT, asked).await {
        Ok(Some(reply)) => {
            log::debug!("event=probe_answered peer={name} journal={}", reply.journal);
            let known = shared.config.get().revision;
            shared.membership.note_answer(name, &reply.journal, reply.config, &reply.suspects);
            if reply.config > known {
                fetch_config(shared, address, known).await;
            }
        }
        _ => {
            log::debug!("event=probe_failed peer={name}");
            shared.membership.note_failure(name);
        }
    }
}

/// Takes newer configuration from a peer, for when the platform is out or a
/// watch event was lost.
async fn fetch_config(shared: &Shared, address: &str, known: u64) {
    let Ok(client) = shared.peers.get(address).await else { return };
    if let Ok(news) = client.config(known).await {
        shared.config.apply(news.documents);
    }
}

/// Reads the platform's list of instances.
async fn read_instances(shared: Arc<Shared>) {
    let mut known = None;
    loop {
        if let Ok(Some((version, list))) = shared.platform.instances(known).await {
            known = Some(version);
            shared.membership.update_list(list);
        }
        let leaving = shared.membership.leaving_upstreams();
        for (name, _) in shared.config.get().upstreams() {
            shared.dispatcher.set_leaving(&name, leaving.contains(&name));
        }
        time::sleep(shared.settings.timing.list).await;
    }
}

/// Lists the whole configuration from time to time, against lost events.
async fn list_config(shared: Arc<Shared>) {
    loop {
        if let Err(err) = load_config(&shared).await {
            log::warn!("event=config_list_failed error={err:?}");
        }
        time::sleep(shared.settings.timing.config_list).await;
    }
}

/// Reads every document that is newer than what is in force, and puts them in
/// force together: a daemon that has just started is ready with all of them or
/// with none. Returns the revision of the listing.
pub(crate) async fn load_config(shared: &Shared) -> Result<u64, gg_platform::PlatformError> {
    let listing = shared.platform.list(PREFIX).await?;
    let current = shared.config.get();
    let newer = listing.items.iter().filter(|item| {
        let key = item.key.strip_prefix(PREFIX).unwrap_or("");
        current.documents().get(key).is_none_or(|known| known.version < item.version)
    });
    let mut news = Vec::new();
    for item in newer {
        news.extend(read_document(shared, &item.key).await?);
    }
    shared.config.apply(news);
    Ok(listing.revision)
}

/// A document as the platform has it; none if it is gone or can't be read.
async fn read_document(
    shared: &Shared,
    key: &str,
) -> Result<Option<(Name, Versioned)>, gg_platform::PlatformError> {
    let Some(found) = shared.platform.get(key).await? else { return Ok(None) };
    let Some(name) = key.strip_prefix(PREFIX) else { return Ok(None) };
    match serde_json::from_slice::<Doc>(&found.body) {
        Ok(doc) => Ok(Some((name.into(), Versioned { version: found.version, doc }))),
        Err(err) => {
            log::error!("event=config_unreadable key={key} error={:?}", err.to_string());
            Ok(None)
        }
    }
}

/// Watches configuration and crash counts.
async fn watch_config(shared: Arc<Shared>) {
    let mut revision = 0;
    loop {
        if revision == 0 {
            match load_all(&shared).await {
                Ok(loaded) => revision = loaded,
                Err(_) => {
                    time::sleep(WATCH_PAUSE).await;
                    continue;
                }
            }
        }
        let changes = match shared.platform.watch("c", revision).await {
            Ok(changes) => changes,
            Err(_) => {
                time::sleep(WATCH_PAUSE).await;
                continue;
            }
        };
        for event in changes.events.iter().filter(|event| !event.deleted) {
            if read_changed(&shared, &event.key).await.is_err() {
                // Lists everything again rather than skip a change.
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
        read_changed(shared, &item.key).await?;
    }
    let revision = load_config(shared).await?;
    Ok(revision.min(crashes.revision).max(1))
}

async fn read_changed(shared: &Shared, key: &str) -> Result<(), gg_platform::PlatformError> {
    if key.starts_with(PREFIX) {
        let news = read_document(shared, key).await?;
        shared.config.apply(news.into_iter().collect());
        return Ok(());
    }
    if key.starts_with(CRASH_PREFIX)
        && let Some(found) = shared.platform.get(key).await?
    {
        config::read_crash(&mut lock(&shared.quarantine), key, &found.body);
    }
    Ok(())
}

/// Puts slots and floors in force at the dispatcher.
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
            adopt::finish_begun(&home).await;
        }
    }
}
