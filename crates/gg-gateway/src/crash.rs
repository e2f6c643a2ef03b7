//! Contains requests that crash the replicas that run them.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use gg_http::Peer;
use gg_ledger::{Content, CrashFact};
use gg_protocol::{Code, Failure, Name};
use gg_route::Deployment;
use tokio::{runtime::Handle, time};

use crate::{
    proxy::{Job, hash},
    replica::Replica,
    state::State,
};

/// Time after a connection broke in which a crashed replica has stopped
/// listening; others take a new connection.
const CHECK_DELAY: Duration = Duration::from_millis(50);

/// Time in which a replica that is back at once is listed as another start.
const RESTART_TIME: Duration = Duration::from_secs(2);

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
    if !state.ledger.is_refused(content) {
        return Ok(());
    }
    log::info!("event=quarantine_refused request={} content={content}", job.id());
    state.metrics.count("quarantined", &[]);
    state.ledger.note_refused(content);
    let message = "requests like this one crashed the replicas that ran them";
    Err(Failure::not_run(Code::Quarantined, message).retry_in(RETRY_MS))
}

/// A request that a replica has. If it ends other than by a whole answer, for
/// whatever reason, it is examined whether the replica crashed beneath it.
pub(crate) struct Underway<D: Deployment> {
    state: Arc<State<D>>,
    job: Arc<Job>,
    replica: Arc<Replica>,
    began: Instant,
    /// When the replica took the connection that the request is on.
    opened: Option<Instant>,
    is_settled: bool,
}

impl<D: Deployment> Underway<D> {
    pub(crate) fn new(state: &Arc<State<D>>, job: &Arc<Job>, replica: &Arc<Replica>) -> Self {
        let (state, job, replica) = (state.clone(), job.clone(), replica.clone());
        Underway { state, job, replica, began: Instant::now(), opened: None, is_settled: false }
    }

    /// The request goes out on a connection that was opened then.
    pub(crate) fn note_sent(&mut self, opened: Instant) {
        self.opened = Some(opened);
    }

    /// The replica has not run the request.
    pub(crate) fn settle(&mut self) {
        self.is_settled = true;
    }

    /// The replica's answer is whole. One that ran the request shows that it
    /// crashes no replica.
    pub(crate) fn finish(mut self) {
        if std::mem::replace(&mut self.is_settled, true) {
            return;
        }
        let crashes = self.state.ledger.crashes();
        if crashes.is_empty() {
            return;
        }
        let is_counted = crashes.has_head(head(&self.job)) && crashes.count(content(&self.job)) > 0;
        let has_crashed = crashes.has_crashed(&start_of(&self.replica), self.began);
        drop(crashes);
        if is_counted {
            let content = content(&self.job);
            self.state.ledger.note_crash(CrashFact::Sound { content }, Duration::ZERO);
        }
        if has_crashed && !self.replica.set_confirming(true) {
            let (state, replica) = (self.state.clone(), self.replica.clone());
            tokio::spawn(confirm_alive(state, replica, self.began));
        }
    }
}

impl<D: Deployment> Drop for Underway<D> {
    fn drop(&mut self) {
        // Without a runtime the process is about to end.
        let Ok(runtime) = Handle::try_current() else { return };
        if !self.is_settled {
            let (state, job) = (self.state.clone(), self.job.clone());
            let times = Times { sent: self.began, opened: self.opened };
            runtime.spawn(examine(state, job, self.replica.clone(), times));
        }
    }
}

/// When a request was sent, and when its connection was opened.
struct Times {
    sent: Instant,
    opened: Option<Instant>,
}

/// Finds out whether a replica crashed beneath a request, and has all gateways
/// know.
async fn examine<D: Deployment>(
    state: Arc<State<D>>,
    job: Arc<Job>,
    replica: Arc<Replica>,
    times: Times,
) {
    let began = Instant::now();
    time::sleep(CHECK_DELAY).await;
    let id = &replica.upstream.id;
    let (request, content) = (job.id().clone(), content(&job));
    drop(job);
    let (has_crashed, is_unlisted) = {
        let crashes = state.ledger.crashes();
        let has_crashed = |at| crashes.has_crashed(&start_of(&replica), at);
        // It took a connection since then, so this is a start that is not
        // listed yet; nor does each start tell when it was.
        let is_unlisted = times.opened.is_some_and(has_crashed) || id.born_ms == 0;
        (has_crashed(times.sent), is_unlisted)
    };
    if has_crashed && !is_unlisted {
        log::info!(
            "event=crash_dismissed request={request} replica={} reason=crashed_before",
            id.name
        );
        return;
    }
    let (is_reachable, tried_ms) = replica.reach(began).await;
    let start = match is_unlisted {
        true => format!("{}/{}/{}.{tried_ms}", id.name, id.born_ms, state.ledger.client())
            .as_str()
            .into(),
        false => start_of(&replica),
    };
    if !is_reachable {
        report(&state, &request, content, start, "unreachable");
        return;
    }
    if !state.fleet.is_replaced(&replica) {
        time::sleep(RESTART_TIME).await;
    }
    match state.fleet.is_replaced(&replica) {
        true => report(&state, &request, content, start, "restarted"),
        false => {
            log::info!("event=crash_dismissed request={request} replica={} reason=answers", id.name)
        }
    }
}

/// A start that counts as crashed has answered a request that `began` after
/// that. Unless another start answered in its name, it has not crashed.
async fn confirm_alive<D: Deployment>(state: Arc<State<D>>, replica: Arc<Replica>, began: Instant) {
    time::sleep(RESTART_TIME).await;
    if !state.fleet.is_replaced(&replica) {
        let fact = CrashFact::Alive { start: start_of(&replica) };
        state.ledger.note_crash(fact, began.elapsed());
    }
    replica.set_confirming(false);
}

/// Name of a replica's start.
fn start_of(replica: &Replica) -> Name {
    let id = &replica.upstream.id;
    format!("{}/{}", id.name, id.born_ms).as_str().into()
}

fn report<D>(state: &State<D>, request: &str, content: Content, start: Name, evidence: &str) {
    log::warn!(
        "event=crash_suspected request={request} start={start} content={content} \
         evidence={evidence}"
    );
    state.metrics.count("crashes_suspected", &[("evidence", evidence)]);
    state.ledger.note_crash(CrashFact::Crashed { content, start }, Duration::ZERO);
}
