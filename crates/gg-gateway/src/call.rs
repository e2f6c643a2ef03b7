//! A request whose answer is read whole before it is passed on.

use std::sync::Arc;

use bytes::Bytes;
use futures::{StreamExt, stream::FuturesUnordered};
use gg_ledger::Opened;
use gg_protocol::{Code, Failure};
use gg_route::{Deployment, UpstreamId};
use http::Response;
use http_body_util::Full;
use rand::Rng;
use tokio::time::{self, Instant};

use crate::{
    answer::strip_hop_headers,
    choice::{Candidate, ChoiceSettings, choose},
    fleet::Service,
    replica::{Place, Replica},
    retry::{Next, Outcome, Tries},
    send::{read_whole, send},
    state::{State, lock},
    walk::Job,
};

/// Gateways that are believed to share each replica's connections.
const GATEWAYS: u32 = 8;

/// Fewest requests of ours that a replica may have.
const LOAD_MIN: u32 = 3;

/// A second replica is asked after this many times the route's objective;
/// work of three times its mean is still done by then.
const HEDGE_TARGETS: u32 = 3;

/// Share of the time left that a request may wait for a place.
const WAIT_SHARE: f64 = 0.3;

/// When a refused client should come back, in ms, at least; up to twice as
/// much is added at random so that they don't come back together.
const RETRY_MS: u64 = 150;

/// Way to another data centre and back, in ms; calls are small.
const CALL_FAR_MS: f64 = 3.0;

/// Random part of a replica's cost, in ms, so that equal ones share.
const DRAW_MS: f64 = 2.0;

/// Calls a replica and reads its whole answer. A request that may be repeated
/// goes to a second replica when the first one stays silent; the first good
/// answer counts.
pub(crate) async fn run<D: Deployment>(
    state: &State<D>,
    job: &Arc<Job>,
) -> Result<Response<Full<Bytes>>, Failure> {
    let mut tries = job.tries();
    let mut tried = Vec::new();
    let mut attempts = FuturesUnordered::new();
    let patience = job.route.target * HEDGE_TARGETS;
    loop {
        if attempts.is_empty() {
            let place = place(state, job, &tried, &tries, &Opened::default()).await?;
            tried.push(place.replica.upstream.id.clone());
            tries.begin();
            attempts.push(attempt(state, job, place));
        }
        let silent = time::sleep(patience);
        let outcome = tokio::select! {
            Some(ended) = attempts.next() => match ended {
                Ok(response) => {
                    lock(&state.hedges).earn();
                    return Ok(response);
                }
                Err(outcome) => outcome,
            },
            () = silent, if tries.may_hedge() => {
                if let Some(place) = hedge(state, job, &tried) {
                    tried.push(place.replica.upstream.id.clone());
                    tries.begin();
                    attempts.push(attempt(state, job, place));
                }
                continue;
            }
        };
        match next(job, &mut tries, outcome) {
            Err(failure) if attempts.is_empty() => return Err(failure),
            _ => {}
        }
    }
}

/// A place for a second send, if the budget and the replicas allow it.
fn hedge<D: Deployment>(state: &State<D>, job: &Job, tried: &[UpstreamId]) -> Option<Place> {
    let service = state.fleet.service(&job.service.name)?;
    let open = untried(&service, tried);
    let replica = best(state, job, &open, &Opened::default())?;
    if !lock(&state.hedges).spend() {
        return None;
    }
    state.metrics.count("hedges", &[]);
    log::info!("event=hedged request={} replica={}", job.id(), replica.upstream.id.name);
    Some(replica.occupy())
}

/// One send, its answer read whole.
async fn attempt<D: Deployment>(
    state: &State<D>,
    job: &Job,
    place: Place,
) -> Result<Response<Full<Bytes>>, Outcome> {
    let replica = place.replica.clone();
    let began = Instant::now();
    let sent = send(state, job, &job.body, place).await?;
    let status = sent.response.status();
    let (mut headers, body, lease) = read_whole(job, sent).await?;
    replica.note_delay(began.elapsed().as_secs_f64() * 1e3);
    lease.keep(&headers);
    strip_hop_headers(&mut headers);
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Ok(response)
}

/// Goes on with another replica, or tells why not.
pub(crate) fn next(job: &Job, tries: &mut Tries, outcome: Outcome) -> Result<(), Failure> {
    let is_late = Instant::now() >= job.deadline;
    match tries.note(outcome, is_late) {
        Next::Retry => Ok(()),
        Next::Refuse => Err(refusal("no replica took the request")),
        Next::GiveUp if is_late => {
            Err(Failure::unknown(Code::DeadlineExceeded, "no answer in the time that was left"))
        }
        Next::GiveUp => Err(Failure::unknown(Code::UpstreamFailed, "the replica broke off")),
    }
}

/// A request that has not run and never will.
pub(crate) fn refusal(message: &str) -> Failure {
    let retry_ms = rand::rng().random_range(RETRY_MS..3 * RETRY_MS);
    Failure::not_run(Code::HomeUnavailable, message).retry_in(retry_ms)
}

/// Takes a place on the best replica that was not tried yet; waits for one
/// if all are full.
pub(crate) async fn place<D: Deployment>(
    state: &State<D>,
    job: &Job,
    tried: &[UpstreamId],
    tries: &Tries,
    opened: &Opened,
) -> Result<Place, Failure> {
    let left = job.deadline.saturating_duration_since(Instant::now());
    let limit = Instant::now() + left.mul_f64(WAIT_SHARE);
    let give_up = |message| match tries.end() {
        Next::GiveUp => Failure::unknown(Code::UpstreamFailed, message),
        _ => refusal(message),
    };
    loop {
        let Some(service) = state.fleet.service(&job.service.name) else {
            return Err(give_up("no replica of the service is known"));
        };
        let freed = service.freed.clone();
        let notified = freed.notified();
        let open = untried(&service, tried);
        if open.is_empty() {
            return Err(give_up("no replica is left to try"));
        }
        if let Some(replica) = best(state, job, &open, opened) {
            return Ok(replica.occupy());
        }
        if time::timeout_at(limit, notified).await.is_err() {
            return Err(give_up("all replicas are full"));
        }
    }
}

/// Replicas of a service that take work and were not tried yet.
fn untried<'a>(service: &'a Service, tried: &[UpstreamId]) -> Vec<&'a Arc<Replica>> {
    let replicas = service.replicas.iter();
    replicas.filter(|replica| replica.is_open() && !tried.contains(&replica.upstream.id)).collect()
}

fn best<'a, D>(
    state: &State<D>,
    job: &Job,
    open: &[&'a Arc<Replica>],
    opened: &Opened,
) -> Option<&'a Arc<Replica>> {
    let is_model = job.service.event_tokens > 0;
    let load_max = (job.service.connections / GATEWAYS).max(LOAD_MIN);
    let fastest = open.iter().map(|replica| replica.delay_ms()).fold(f64::INFINITY, f64::min);
    let candidates: Vec<Candidate> = open
        .iter()
        .map(|replica| Candidate {
            load: replica.load(),
            load_max,
            is_far: replica.upstream.centre != state.centre,
            is_warm: match &job.envelope.shared_prefix {
                Some(prefix) if is_model => replica.is_warm(prefix),
                _ => true,
            },
            is_previous: !is_model || opened.upstream.as_ref() == Some(&replica.upstream.id.name),
            is_suspect: replica.is_suspect(),
            delay_ms: (replica.delay_ms() - fastest).max(0.0),
        })
        .collect();
    let settings = match is_model {
        true => ChoiceSettings::default(),
        false => ChoiceSettings { far_ms: CALL_FAR_MS, ..ChoiceSettings::default() },
    };
    let draw = || rand::rng().random_range(0.0..DRAW_MS);
    let index = choose(&candidates, opened.history.len(), &settings, draw)?;
    let (replica, chosen) = (open[index], &candidates[index]);
    log::info!(
        "event=placed request={} replica={} candidates={} load={} far={} warm={} previous={} \
         suspect={} delay_ms={:.0}",
        job.id(),
        replica.upstream.id.name,
        open.len(),
        chosen.load,
        chosen.is_far,
        chosen.is_warm,
        chosen.is_previous,
        chosen.is_suspect,
        chosen.delay_ms
    );
    Some(replica)
}
