//! Detects requests that crash the replicas that run them, and quarantines
//! them.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use gg_http::PeerAddress;
use gg_ledger::{CrashFact, RequestFingerprint};
use gg_protocol::{Code, Failure, Name};
use gg_route::Deployment;
use tokio::{runtime::Handle, time};

use crate::{
    proxy::{Job, hash, hash_parts},
    replica::{Reached, Replica},
    state::State,
};

/// Delay between a lost connection and the check whether the replica crashed. A
/// crashed replica has stopped listening by then; others accept a new
/// connection.
const CHECK_DELAY: Duration = Duration::from_millis(50);

/// Time within which a replica that restarts immediately is listed in the
/// directory as another incarnation.
const RESTART_LISTING_TIME: Duration = Duration::from_secs(2);

/// Time, in ms, after which the client of a quarantined request may retry.
const QUARANTINE_RETRY_MS: u64 = 60_000;

/// Digest of the method, host and path of a request, and of its account. The
/// requests of one account are not refused for those of another one.
fn head_digest(job: &Job) -> u64 {
    let path = job.head.uri.path_and_query().map_or("", |path| path.as_str());
    let head = format!("{} {} {path}", job.head.method, job.route.host).as_str().into();
    hash(job.owned(&head).as_bytes())
}

/// Fingerprint of a request and its caller.
fn fingerprint(job: &Job) -> RequestFingerprint {
    let peer = job.head.extensions.get::<PeerAddress>();
    let caller = peer.map_or(0, |peer| hash(peer.0.to_string().as_bytes()));
    let body = hash_parts(job.body.iter().map(AsRef::as_ref));
    RequestFingerprint { head: head_digest(job), body, caller }
}

/// Refuses a request whose fingerprint matches requests that crashed replicas.
pub(crate) fn check<D>(state: &State<D>, job: &Job) -> Result<(), Failure> {
    let has_head = {
        let crashes = state.ledger.crashes();
        !crashes.is_empty() && crashes.has_head(head_digest(job))
    };
    if !has_head {
        return Ok(());
    }
    let fingerprint = fingerprint(job);
    if !state.ledger.is_refused(fingerprint) {
        return Ok(());
    }
    log::info!("event=quarantine_refused request={} content={fingerprint}", job.id());
    state.metrics.count("quarantined", &[]);
    state.ledger.record_refusal(fingerprint);
    let message = "similar requests crashed the replicas that ran them";
    Err(Failure::unexecuted(Code::Quarantined, message).retry_in(QUARANTINE_RETRY_MS))
}

/// Guards a request that was sent to a replica. If it ends other than by a
/// complete response, for whatever reason, the guard checks whether the replica
/// crashed while it ran the request.
pub(crate) struct CrashGuard<D: Deployment> {
    state: Arc<State<D>>,
    job: Arc<Job>,
    replica: Arc<Replica>,
    started_at: Instant,
    /// When the connection of the request was opened.
    opened: Option<Instant>,
    is_resolved: bool,
}

impl<D: Deployment> CrashGuard<D> {
    pub(crate) fn new(state: &Arc<State<D>>, job: &Arc<Job>, replica: &Arc<Replica>) -> Self {
        let (state, job, replica) = (state.clone(), job.clone(), replica.clone());
        CrashGuard {
            state,
            job,
            replica,
            started_at: Instant::now(),
            opened: None,
            is_resolved: false,
        }
    }

    /// Records that the request is sent on a connection that was opened at
    /// `opened`.
    pub(crate) fn record_sent(&mut self, opened: Instant) {
        self.opened = Some(opened);
    }

    /// Skips the crash check, as the replica did not execute the request.
    pub(crate) fn dismiss(&mut self) {
        self.is_resolved = true;
    }

    /// Records a complete response. It shows that the request does not crash
    /// replicas, and that a replica that counts as crashed may be alive.
    pub(crate) fn finish(mut self) {
        if std::mem::replace(&mut self.is_resolved, true) {
            return;
        }
        let crashes = self.state.ledger.crashes();
        if crashes.is_empty() {
            return;
        }
        let is_counted =
            crashes.has_head(head_digest(&self.job)) && crashes.count(fingerprint(&self.job)) > 0;
        let has_crashed = crashes.has_crashed(&self.replica.incarnation(), self.started_at);
        drop(crashes);
        if is_counted {
            let fingerprint = fingerprint(&self.job);
            self.state.ledger.report_crash(CrashFact::Completed { fingerprint }, Duration::ZERO);
        }
        if has_crashed && !self.replica.set_confirming(true) {
            let (state, replica) = (self.state.clone(), self.replica.clone());
            tokio::spawn(confirm_alive(state, replica, self.started_at));
        }
    }
}

impl<D: Deployment> Drop for CrashGuard<D> {
    fn drop(&mut self) {
        // There is no runtime while the process shuts down.
        let Ok(runtime) = Handle::try_current() else { return };
        if !self.is_resolved {
            let (state, job) = (self.state.clone(), self.job.clone());
            let times = SendTimes { sent: self.started_at, opened: self.opened };
            runtime.spawn(check_for_crash(state, job, self.replica.clone(), times));
        }
    }
}

/// When a request was sent, and when its connection was opened.
struct SendTimes {
    sent: Instant,
    opened: Option<Instant>,
}

/// Checks whether a replica crashed while it ran a request, and reports the
/// crash to all gateways.
async fn check_for_crash<D: Deployment>(
    state: Arc<State<D>>,
    job: Arc<Job>,
    replica: Arc<Replica>,
    times: SendTimes,
) {
    let started_at = Instant::now();
    time::sleep(CHECK_DELAY).await;
    let id = &replica.upstream.id;
    let (request, fingerprint) = (job.id().clone(), fingerprint(&job));
    drop(job);
    let (has_crashed, is_unlisted) = {
        let crashes = state.ledger.crashes();
        let has_crashed = |at| crashes.has_crashed(&replica.incarnation(), at);
        // The replica accepted a connection after that crash, so this is an
        // incarnation that is not listed yet. Also, not every incarnation
        // reports its start time.
        let is_unlisted = times.opened.is_some_and(has_crashed) || id.started_ms == 0;
        (has_crashed(times.sent), is_unlisted)
    };
    if has_crashed && !is_unlisted {
        log::info!(
            "event=crash_dismissed request={request} replica={} reason=replica_crashed_before_send",
            id.name
        );
        return;
    }
    let connect = state.connector.connect(&state.fleet, &replica);
    let (reached, checked_ms) = replica.check_reachable(started_at, connect).await;
    let start = match is_unlisted {
        true => format!("{}/{}/{}.{checked_ms}", id.name, id.started_ms, state.ledger.client())
            .as_str()
            .into(),
        false => replica.incarnation(),
    };
    match reached {
        Reached::Yes => {}
        Reached::No => {
            report_crash(&state, &request, fingerprint, start, "unreachable");
            return;
        }
        Reached::Unknown => {
            log::info!(
                "event=crash_dismissed request={request} replica={} reason=gateway_may_be_cut_off",
                id.name
            );
            return;
        }
    }
    if !state.fleet.is_replaced(&replica) {
        time::sleep(RESTART_LISTING_TIME).await;
    }
    match state.fleet.is_replaced(&replica) {
        true => report_crash(&state, &request, fingerprint, start, "restarted"),
        false => {
            log::info!(
                "event=crash_dismissed request={request} replica={} reason=replica_alive",
                id.name
            )
        }
    }
}

/// An incarnation that counts as crashed responded to a request sent at
/// `started_at`, after the crash was reported. Reports it as alive unless
/// another incarnation took its name or address meanwhile.
async fn confirm_alive<D: Deployment>(
    state: Arc<State<D>>,
    replica: Arc<Replica>,
    started_at: Instant,
) {
    time::sleep(RESTART_LISTING_TIME).await;
    if !state.fleet.is_replaced(&replica) {
        let fact = CrashFact::Replied { start: replica.incarnation() };
        state.ledger.report_crash(fact, started_at.elapsed());
    }
    replica.set_confirming(false);
}

fn report_crash<D>(
    state: &State<D>,
    request: &str,
    fingerprint: RequestFingerprint,
    start: Name,
    evidence: &str,
) {
    log::warn!(
        "event=crash_suspected request={request} start={start} content={fingerprint} \
         evidence={evidence}"
    );
    state.metrics.count("crashes_suspected", &[("evidence", evidence)]);
    state.ledger.report_crash(CrashFact::Crashed { fingerprint, start }, Duration::ZERO);
}
