//! A request whose answer is read whole before it is passed on.

use std::{sync::Arc, time::Duration};

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
    admit::{admit, note_delay},
    answer::strip_hop_headers,
    crash,
    place::{best, place, untried},
    proxy::Job,
    replica::Place,
    retry::{Next, Outcome, Tries},
    send::{Outgoing, read_whole, send},
    state::{State, lock},
};

/// A second replica is asked after this many times the route's objective;
/// work of three times its mean is still done by then.
const HEDGE_TARGETS: u32 = 3;

/// When a refused client should come back, in ms, at least; up to twice as
/// much is added at random so that they don't come back together.
const RETRY_MS: u64 = 150;

/// Calls a replica and reads its whole answer. A request that may be repeated
/// goes to a second replica when the first one stays silent; the first good
/// answer counts.
pub(crate) async fn run<D: Deployment>(
    state: &Arc<State<D>>,
    job: &Arc<Job>,
) -> Result<Response<Full<Bytes>>, Failure> {
    admit(state, job).await?;
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
            () = silent, if tries.may_repeat() => {
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
    crash::check(state, job).ok()?;
    let service = state.fleet.service(&job.service.name)?;
    let open = untried(&service, tried);
    let place = best(state, job, &open, &Opened::default())?;
    if !lock(&state.hedges).spend() {
        return None;
    }
    state.metrics.count("hedges", &[]);
    log::info!("event=hedged request={} replica={}", job.id(), place.replica.upstream.id.name);
    Some(place)
}

/// One send, its answer read whole.
async fn attempt<D: Deployment>(
    state: &Arc<State<D>>,
    job: &Arc<Job>,
    place: Place,
) -> Result<Response<Full<Bytes>>, Outcome> {
    let replica = place.replica.clone();
    let began = Instant::now();
    let sent = send(state, job, Outgoing { body: &job.body, after: None }, place).await?;
    let status = sent.response.status();
    let (mut headers, body, lease) = read_whole(state, job, sent).await?;
    replica.note_delay(began.elapsed().as_secs_f64() * 1e3);
    note_delay(state, job, began.elapsed(), Duration::ZERO);
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
