//! Contains requests that crash the replicas that run them.

use std::{collections::HashSet, sync::Arc, time::Duration};

use gg_protocol::{Code, Failure};
use gg_route::Deployment;
use tokio::time;

use crate::{
    replica::Replica,
    state::{State, lock},
    walk::{Job, hash},
};

/// Time after a connection broke in which a crashed replica has stopped
/// listening; others take a new connection.
const CHECK_DELAY: Duration = Duration::from_millis(50);

/// When the client of a quarantined request may ask again, in ms.
const RETRY_MS: u64 = 60_000;

/// Digest of what a request asks; requests that are alike crash replicas
/// alike. None for those without a body, which are all alike on a path.
fn content(job: &Job) -> Option<u64> {
    if job.body.is_empty() {
        return None;
    }
    let path = job.head.uri.path_and_query().map_or("", |path| path.as_str());
    let start = hash(format!("{} {path}\n", job.head.method).as_bytes());
    Some(start.rotate_left(1) ^ hash(&job.body))
}

/// Refuses requests like those that crashed replicas.
pub(crate) fn check<D>(state: &State<D>, job: &Job) -> Result<(), Failure> {
    // Digests cost time; mostly there is nothing to compare with.
    if lock(&state.quarantine).is_empty() {
        return Ok(());
    }
    let Some(content) = content(job) else { return Ok(()) };
    if !lock(&state.quarantine).contains(&content) {
        return Ok(());
    }
    log::info!("event=quarantine_refused request={} content={content:016x}", job.id());
    state.metrics.count("quarantined", &[]);
    let message = "requests like this one crashed the replicas that ran them";
    Err(Failure::not_run(Code::Quarantined, message).retry_in(RETRY_MS))
}

/// Takes in the contents that ledger instances name.
pub(crate) fn take_quarantined<D>(state: &State<D>, contents: HashSet<u64>) {
    let mut quarantine = lock(&state.quarantine);
    for content in contents.difference(&quarantine) {
        log::warn!("event=quarantine_began content={content:016x}");
    }
    for content in quarantine.difference(&contents) {
        log::warn!("event=quarantine_ended content={content:016x}");
    }
    *quarantine = contents;
}

/// A replica broke off while it had a request: if it has crashed, the ledger
/// instances are told, which tell all gateways.
pub(crate) fn suspect<D: Deployment>(state: &Arc<State<D>>, job: &Job, replica: &Arc<Replica>) {
    let Some(content) = content(job) else {
        log::info!(
            "event=crash_not_examined request={} replica={} reason=no_body",
            job.id(),
            replica.upstream.id.name
        );
        return;
    };
    let (state, replica, request) = (state.clone(), replica.clone(), job.id().clone());
    tokio::spawn(async move {
        time::sleep(CHECK_DELAY).await;
        let id = &replica.upstream.id;
        if replica.pool.connect().await.is_ok() {
            log::info!(
                "event=crash_dismissed request={request} replica={} content={content:016x} \
                 reason=listens",
                id.name
            );
            return;
        }
        log::warn!(
            "event=crash_suspected request={request} replica={} born={} content={content:016x}",
            id.name,
            id.born_ms
        );
        state.metrics.count("crashes_suspected", &[]);
        let start = format!("{}/{}", id.name, id.born_ms);
        state.ledger.report_crash(content, start.as_str().into());
    });
}
