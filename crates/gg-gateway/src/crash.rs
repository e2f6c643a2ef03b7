//! Contains requests that crash the replicas that run them.

use std::{sync::Arc, time::Duration};

use gg_http::Peer;
use gg_ledger::{Content, CrashFact};
use gg_protocol::{Code, Failure};
use gg_route::Deployment;
use tokio::time;

use crate::{
    replica::Replica,
    state::State,
    walk::{Job, hash},
};

/// Time after a connection broke in which a crashed replica has stopped
/// listening; others take a new connection.
const CHECK_DELAY: Duration = Duration::from_millis(50);

/// When the client of a refused request may ask again, in ms.
const RETRY_MS: u64 = 60_000;

/// Digest of what a request is told by beside its body.
fn head(job: &Job) -> u64 {
    let path = job.head.uri.path_and_query().map_or("", |path| path.as_str());
    hash(format!("{} {} {path}", job.head.method, job.route.host).as_bytes())
}

/// What a request asks, and who does.
fn content(job: &Job) -> Content {
    let peer = job.head.extensions.get::<Peer>();
    let caller = peer.map_or(0, |peer| hash(peer.0.to_string().as_bytes()));
    Content { head: head(job), body: hash(&job.body), caller }
}

/// Refuses requests like those that crashed replicas.
pub(crate) fn check<D>(state: &State<D>, job: &Job) -> Result<(), Failure> {
    let has_head = {
        let crashes = state.ledger.crashes();
        !crashes.is_empty() && crashes.has_head(head(job))
    };
    if !has_head {
        return Ok(());
    }
    let content = content(job);
    if !state.ledger.crashes().is_refused(content) {
        return Ok(());
    }
    log::info!("event=quarantine_refused request={} content={content}", job.id());
    state.metrics.count("quarantined", &[]);
    state.ledger.note_refused(content);
    let message = "requests like this one crashed the replicas that ran them";
    Err(Failure::not_run(Code::Quarantined, message).retry_in(RETRY_MS))
}

/// A replica broke off while it had a request: if it has crashed, all gateways
/// are to know.
pub(crate) fn suspect<D: Deployment>(state: &Arc<State<D>>, job: &Job, replica: &Arc<Replica>) {
    let content = content(job);
    let (state, replica, request) = (state.clone(), replica.clone(), job.id().clone());
    tokio::spawn(async move {
        time::sleep(CHECK_DELAY).await;
        let id = &replica.upstream.id;
        if replica.pool.connect().await.is_ok() {
            log::info!(
                "event=crash_dismissed request={request} replica={} content={content} \
                 reason=listens",
                id.name
            );
            return;
        }
        log::warn!(
            "event=crash_suspected request={request} replica={} born={} content={content}",
            id.name,
            id.born_ms
        );
        state.metrics.count("crashes_suspected", &[]);
        let start = format!("{}/{}", id.name, id.born_ms).as_str().into();
        state.ledger.note_crash(CrashFact::Crashed { content, start });
    });
}
