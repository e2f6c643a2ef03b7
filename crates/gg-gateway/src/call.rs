//! Requests whose response is read completely before it is forwarded.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{StreamExt, stream::FuturesUnordered};
use gg_ledger::OpenedTurn;
use gg_protocol::{Code, Failure};
use gg_route::{Deployment, UpstreamId};
use http::Response;
use http_body_util::Full;
use rand::Rng;
use tokio::time::{self, Instant};

use crate::{
    admit::{admit, record_delay},
    copy_guard::CopyUse,
    crash, credit, pacing,
    permit::Permit,
    place::{place, select, untried},
    proxy::Job,
    replica::Placement,
    response::strip_hop_headers,
    retry::{Attempts, Outcome, RetryDecision},
    send::{Outgoing, read_whole, send},
    state::{State, lock},
};

/// A hedged request is sent to a second replica after this many times the
/// route's latency objective. Work that takes three times its mean still
/// finishes before that.
const HEDGE_AFTER_OBJECTIVES: u32 = 3;

/// Minimum time, in ms, after which a refused client should retry. Up to twice
/// as much is added at random so that clients don't retry all at once.
const RETRY_MIN_MS: u64 = 150;

/// Calls a replica and reads its whole response. A repeatable request is also
/// sent to a second replica when the first one does not respond in time; the
/// first good response is used.
pub(crate) async fn run<D: Deployment>(
    state: &Arc<State<D>>,
    job: &Arc<Job>,
) -> Result<Response<Full<Bytes>>, Failure> {
    admit(state, job).await?;
    let mut attempts = job.attempts();
    let mut tried = Vec::new();
    let mut in_flight = FuturesUnordered::new();
    let hedge_delay = job.route.target * HEDGE_AFTER_OBJECTIVES;
    loop {
        if in_flight.is_empty() {
            let place = place(state, job, &tried, &attempts, &OpenedTurn::default()).await?;
            tried.push(place.replica.upstream.id.clone());
            attempts.begin_send();
            in_flight.push(send_once(state, job, place));
        }
        let hedge_timer = time::sleep(hedge_delay);
        let outcome = tokio::select! {
            Some(ended) = in_flight.next() => match ended {
                Ok(response) => {
                    lock(&state.hedges).earn();
                    return Ok(response);
                }
                Err(outcome) => outcome,
            },
            () = hedge_timer, if attempts.may_repeat() => {
                if credit::may_hedge(state, job).await
                    && let Some(place) = hedge(state, job, &tried)
                {
                    tried.push(place.replica.upstream.id.clone());
                    attempts.begin_send();
                    in_flight.push(send_once(state, job, place));
                }
                continue;
            }
        };
        match decide_retry(job, &mut attempts, outcome) {
            Err(failure) if in_flight.is_empty() => return Err(failure),
            _ => {}
        }
    }
}

/// Places a hedged request, if the hedge budget and the replicas allow it.
fn hedge<D: Deployment>(state: &State<D>, job: &Job, tried: &[UpstreamId]) -> Option<Placement> {
    crash::check(state, job).ok()?;
    if state.replicas_guard.check() == CopyUse::Unconfirmed {
        return None;
    }
    let service = state.fleet.service(&job.service.name)?;
    // A replica that announces a limit gets no second copy of a request.
    let mut available = untried(&service, tried);
    available.retain(|replica| replica.rate_limit().is_none());
    let available = pacing::split(&available).established;
    let selected = select(state, job, &available, &OpenedTurn::default())?;
    let permit = Permit::unlimited(&selected.replica)?;
    if !lock(&state.hedges).spend() {
        return None;
    }
    let in_flight = service.load.enter(job.rank());
    let place = selected.occupy(permit, in_flight, job, Instant::now(), tried.len() + 1);
    state.metrics.count("hedges", &[]);
    log::info!("event=hedged request={} replica={}", job.id(), place.replica.upstream.id.name);
    Some(place)
}

/// Sends the request once and reads the whole response.
async fn send_once<D: Deployment>(
    state: &Arc<State<D>>,
    job: &Arc<Job>,
    place: Placement,
) -> Result<Response<Full<Bytes>>, Outcome> {
    let replica = place.replica.clone();
    let started_at = Instant::now();
    let sent = send(state, job, Outgoing { body: &job.body, after: None }, place).await?;
    let status = sent.response.status();
    let (mut headers, body, lease) = read_whole(state, job, sent).await?;
    replica.record_delay(started_at.elapsed().as_secs_f64() * 1e3);
    let service = state.fleet.service(&job.service.name);
    pacing::record_answer(service.as_ref(), &replica, started_at.elapsed(), Duration::ZERO);
    record_delay(state, job, started_at.elapsed(), Duration::ZERO);
    lease.release(&headers);
    strip_hop_headers(&mut headers);
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Ok(response)
}

/// Decides whether to retry on another replica; otherwise returns the failure
/// for the client.
pub(crate) fn decide_retry(
    job: &Job,
    attempts: &mut Attempts,
    outcome: Outcome,
) -> Result<(), Failure> {
    let is_late = Instant::now() >= job.deadline;
    match attempts.record(outcome, is_late) {
        RetryDecision::Retry => Ok(()),
        RetryDecision::Refuse => Err(refusal("no replica accepted the request")),
        RetryDecision::Abandon if is_late => {
            Err(Failure::unknown(Code::DeadlineExceeded, "no response before the deadline"))
        }
        RetryDecision::Abandon => Err(Failure::unknown(
            Code::UpstreamFailed,
            "the replica disconnected before its response was complete",
        )),
    }
}

/// A failure for a request that was not executed as no permit is due before
/// `wait`. The clients' retries are spread over as long again.
pub(crate) fn limited(wait: Duration) -> Failure {
    let wait_ms = (wait.as_millis() as u64).max(RETRY_MIN_MS);
    let retry_ms = rand::rng().random_range(wait_ms..2 * wait_ms);
    let message = "the replicas announce that they take no more requests now";
    Failure::unexecuted(Code::Overloaded, message).retry_in(retry_ms)
}

/// A failure for a request that was not executed; the client may retry.
pub(crate) fn refusal(message: &str) -> Failure {
    let retry_ms = rand::rng().random_range(RETRY_MIN_MS..3 * RETRY_MIN_MS);
    Failure::unexecuted(Code::HomeUnavailable, message).retry_in(retry_ms)
}
