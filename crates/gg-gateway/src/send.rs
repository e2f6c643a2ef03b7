//! Sends a request to one replica.

use std::{pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use gg_http::Blocks;
use gg_route::{Deployment, ResponseMarks};
use http::{HeaderMap, Request, Response, Uri, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quick_error::quick_error;
use tokio::time::{self, Instant};

use crate::{
    LimitChange, Reservation,
    admit::record_full,
    connect::SILENCE_TIME,
    copy_guard::CopyUse,
    crash::CrashGuard,
    credit,
    permit::log_limit_change,
    pieces::Pieces,
    pool::Connection,
    proxy::Job,
    replica::{Placement, Replica},
    response::strip_hop_headers,
    retry::Outcome,
    state::State,
};

/// Maximum number of idle connections that are tried before a new one is
/// opened.
const REUSE_ATTEMPTS_MAX: u32 = 2;

/// Wait for a connection from which on the send is logged as late.
const LATE_SEND_MIN: Duration = Duration::from_millis(250);

/// Largest response that is read completely, in bytes.
const RESPONSE_MAX_BYTES: usize = 8 << 20;

/// Largest body of a refusal after which the connection is reused, in bytes.
const REFUSAL_MAX_BYTES: usize = 16 << 10;

/// Longest wait for a refusal's body: a new connection costs about one round
/// trip.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(20);

/// Other replicas are preferred for this long after a replica was unreachable,
/// lost a connection, did not complete a response, or refused a request for
/// another reason than being full.
const FAILED_SUSPECT_TIME: Duration = Duration::from_millis(1_000);

/// Other replicas are preferred for this long after a replica was full.
const FULL_SUSPECT_TIME: Duration = Duration::from_millis(60);

quick_error! {
    /// Why a response body was not read completely.
    #[derive(Debug)]
    enum BodyError {
        /// The connection failed.
        Failed(err: hyper::Error) {
            from()
            display("{err}")
        }
        /// The body is longer than the limit.
        TooLong {
            display("the body is longer than the limit")
        }
        /// The responses of all requests exceed the memory budget.
        OverBudget {
            display("the memory budget for buffered responses is used up")
        }
    }
}

/// What to send for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outgoing<'a> {
    pub(crate) body: &'a Blocks,
    /// Id of the event after which a stream is to continue.
    pub(crate) after: Option<&'a str>,
}

/// The head of a response whose body was not read yet.
pub(crate) struct Sent<D: Deployment> {
    pub(crate) response: Response<Incoming>,
    pub(crate) marks: ResponseMarks,
    pub(crate) lease: Lease<D>,
}

/// A connection in use and the placement on its replica.
pub(crate) struct Lease<D: Deployment> {
    connection: Connection,
    crash_guard: CrashGuard<D>,
    pub(crate) place: Placement,
}

impl<D: Deployment> Lease<D> {
    pub(crate) fn replica(&self) -> &Arc<Replica> {
        &self.place.replica
    }

    /// Returns the connection to the pool after the response was read
    /// completely.
    pub(crate) fn release(self, headers: &HeaderMap) {
        self.crash_guard.finish();
        self.place.replica.pool.release(self.connection, headers);
    }
}

/// Sends a request to the replica of `place` and waits for the head of its
/// response.
pub(crate) async fn send<D: Deployment>(
    state: &Arc<State<D>>,
    job: &Arc<Job>,
    outgoing: Outgoing<'_>,
    place: Placement,
) -> Result<Sent<D>, Outcome> {
    let sending = try_send(state, job, outgoing, place);
    let may_have_run = |sent: &Result<Sent<D>, Outcome>| {
        !matches!(sent, Err(Outcome::Unsent | Outcome::Unexecuted))
    };
    let sent = credit::spend(state, job, sending, may_have_run).await;
    let sent = sent.unwrap_or(Err(Outcome::Unsent));
    let outcome = match &sent {
        Ok(_) => "answered",
        Err(Outcome::Unsent) => "unsent",
        Err(Outcome::Unexecuted) => "unexecuted",
        Err(Outcome::Unknown) => "unknown",
    };
    state.metrics.count("sends", &[("kind", job.route.kind.as_str()), ("outcome", outcome)]);
    sent
}

async fn try_send<D: Deployment>(
    state: &Arc<State<D>>,
    job: &Arc<Job>,
    outgoing: Outgoing<'_>,
    place: Placement,
) -> Result<Sent<D>, Outcome> {
    let replica = place.replica.clone();
    // The next placement of the request fails for the same reason.
    job.check_key(state).map_err(|_| Outcome::Unsent)?;
    let request = build_request(state, job, outgoing, &replica);
    let mut crash_guard = CrashGuard::new(state, job, &replica);
    let sent_at = Instant::now();
    let answered = {
        let exchange = exchange(state, job, &replica, request, &mut crash_guard);
        time::timeout_at(job.deadline, exchange).await
    };
    let (connection, response) = match answered {
        Ok(Ok(answered)) => answered,
        Ok(Err(outcome)) => {
            if is_usable(state, &replica) {
                replica.mark_suspect(FAILED_SUSPECT_TIME);
            }
            if outcome == Outcome::Unsent {
                crash_guard.dismiss();
            }
            return Err(outcome);
        }
        Err(_) => {
            log::warn!("event=no_answer request={} replica={}", job.id(), replica.upstream.id.name);
            // A gateway that is cut off says nothing about the replicas' load.
            if !state.connector.is_lost(&replica) {
                record_full(state, job);
            }
            return Err(Outcome::Unknown);
        }
    };
    let marks = state.deployment.marks(response.headers(), job.id());
    if marks.is_draining && !marks.is_mismatched && replica.is_open() {
        log::info!("event=replica_leaving replica={} told_by=answer", replica.upstream.id.name);
        replica.set_draining();
    }
    if !marks.is_mismatched {
        record_limit(state, job, &replica, &marks, sent_at);
    }
    let lease = Lease { connection, crash_guard, place };
    if marks.is_mismatched {
        log::warn!(
            "event=foreign_answer request={} replica={}",
            job.id(),
            replica.upstream.id.name
        );
        return Err(Outcome::Unknown);
    }
    let sent = Sent { response, marks, lease };
    if sent.marks.is_not_executed || sent.response.status() == http::StatusCode::MISDIRECTED_REQUEST
    {
        // On a connection in use again, it may be an earlier refusal that the
        // replica has sent once more.
        if sent.lease.connection.was_used && !sent.marks.matches_request {
            log::warn!(
                "event=unidentified_refusal request={} replica={}",
                job.id(),
                replica.upstream.id.name
            );
            return Err(Outcome::Unknown);
        }
        return Err(handle_refusal(state, job, sent).await);
    }
    if !is_trusted(&sent) {
        log::warn!(
            "event=untrusted_answer request={} replica={} status={}",
            job.id(),
            replica.upstream.id.name,
            sent.response.status().as_u16()
        );
        return Err(Outcome::Unknown);
    }
    replica.record_response();
    Ok(sent)
}

/// Records the rate limit that a response announces. Only a response whose
/// origin is certain can end one.
fn record_limit<D: Deployment>(
    state: &State<D>,
    job: &Job,
    replica: &Replica,
    marks: &ResponseMarks,
    sent_at: Instant,
) {
    if marks.rate_limit.is_none() && !marks.is_signed {
        return;
    }
    let Some(change) = replica.record_limit(marks.rate_limit, sent_at.into_std()) else { return };
    if matches!(change, LimitChange::Ended(_)) {
        // Gateways that still ask for permits learn it from the issuers.
        let report = replica.with_limit(|limit| limit.report(std::time::Instant::now()));
        state.ledger.report_limit(&replica.incarnation(), report);
    }
    log_limit_change(state, replica, change, &format!("answer request={}", job.id()));
}

/// Handles a response that says that the replica did not execute the request.
async fn handle_refusal<D: Deployment>(
    state: &Arc<State<D>>,
    job: &Job,
    mut sent: Sent<D>,
) -> Outcome {
    let replica = sent.lease.replica().clone();
    let status = sent.response.status();
    log::info!(
        "event=refused_by_replica request={} replica={} status={}",
        job.id(),
        replica.upstream.id.name,
        status.as_u16()
    );
    match status {
        http::StatusCode::SERVICE_UNAVAILABLE | http::StatusCode::TOO_MANY_REQUESTS => {
            record_full(state, job);
            replica.mark_suspect(FULL_SUSPECT_TIME);
        }
        _ => replica.mark_suspect(FAILED_SUSPECT_TIME),
    }
    sent.lease.crash_guard.dismiss();
    // The refusal is valid whatever its body contains; the connection is reused
    // only if the body ends soon.
    let (head, body) = sent.response.into_parts();
    let mut reservation = state.buffer_budget.reservation();
    let reading = collect(body, &mut reservation, REFUSAL_MAX_BYTES);
    if let Ok(Ok(_)) = time::timeout(REFUSAL_BODY_TIMEOUT, reading).await {
        sent.lease.release(&head.headers);
    }
    Outcome::Unexecuted
}

/// Whether a response was created by the replica and may be forwarded as it is.
/// A status that promises "not executed" is not trusted without that mark.
fn is_trusted<D: Deployment>(sent: &Sent<D>) -> bool {
    let status = sent.response.status();
    let promises_unexecuted = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    let is_encoded = sent.response.headers().contains_key(header::CONTENT_ENCODING);
    let is_marked = sent.marks.is_signed || (!status.is_success() && sent.marks.matches_request);
    is_marked && !is_encoded && !promises_unexecuted && !status.is_informational()
}

/// Reads the rest of a response.
pub(crate) async fn read_whole<D: Deployment>(
    state: &State<D>,
    job: &Job,
    sent: Sent<D>,
) -> Result<(HeaderMap, Bytes, Lease<D>), Outcome> {
    let (head, body) = sent.response.into_parts();
    let mut reservation = state.buffer_budget.reservation();
    let reading = collect(body, &mut reservation, RESPONSE_MAX_BYTES);
    let (err, is_fault) = match time::timeout_at(job.deadline, reading).await {
        Ok(Ok(whole)) => return Ok((head.headers, whole, sent.lease)),
        Ok(Err(err)) => (err.to_string(), !matches!(err, BodyError::OverBudget)),
        Err(_) => ("the response did not end before the deadline".to_owned(), true),
    };
    log::warn!(
        "event=answer_broke request={} replica={} bytes={} error={err}",
        job.id(),
        sent.lease.replica().upstream.id.name,
        reservation.reserved()
    );
    if is_fault {
        sent.lease.replica().mark_suspect(FAILED_SUSPECT_TIME);
    }
    Err(Outcome::Unknown)
}

/// Reads a body of at most `max` bytes, counted in `reservation`.
async fn collect(
    mut body: Incoming,
    reservation: &mut Reservation,
    max: usize,
) -> Result<Bytes, BodyError> {
    let mut pieces = Pieces::default();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if reservation.reserved() + data.len() > max {
            return Err(BodyError::TooLong);
        }
        if !reservation.grow(data.len()) {
            return Err(BodyError::OverBudget);
        }
        pieces.push(&data);
    }
    Ok(pieces.join())
}

fn build_request<D: Deployment>(
    state: &State<D>,
    job: &Job,
    outgoing: Outgoing<'_>,
    replica: &Replica,
) -> Request<Blocks> {
    let body = outgoing.body;
    let remaining = job.deadline.saturating_duration_since(Instant::now());
    let mut request = Request::new(body.clone());
    *request.method_mut() = job.head.method.clone();
    *request.uri_mut() = origin_form(&job.head.uri);
    let mut headers = job.head.headers.clone();
    strip_hop_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let account = job.account.as_ref().map(|account| &account.name);
    state.deployment.prepare(&mut headers, &replica.upstream.id, account, remaining);
    if let Some(last) = outgoing.after {
        state.deployment.resume(&mut headers, last);
    }
    if !body.is_empty() || job.has_body {
        headers.insert(header::CONTENT_LENGTH, body.len().into());
    }
    *request.headers_mut() = headers;
    request
}

/// Path and query only, as replicas expect them.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(Uri::default, Uri::from)
}

/// Sends on an idle connection, or on a new one if the idle ones turn out to be
/// closed before anything was sent.
async fn exchange<D: Deployment>(
    state: &Arc<State<D>>,
    job: &Job,
    replica: &Arc<Replica>,
    mut request: Request<Blocks>,
    crash_guard: &mut CrashGuard<D>,
) -> Result<(Connection, Response<Incoming>), Outcome> {
    for _ in 0..REUSE_ATTEMPTS_MAX {
        check_usable(state, job, replica)?;
        let Some(connection) = replica.pool.take_idle() else { break };
        match send_on(state, job, replica, connection, "idle", request, crash_guard).await {
            Err(SendError::Unsent(unsent)) => request = *unsent,
            Err(SendError::Lost) => return Err(Outcome::Unknown),
            Ok(answered) => return Ok(answered),
        }
    }
    let started_at = Instant::now();
    let connection = match state.connector.connect(&state.fleet, replica).await {
        Ok(connection) => connection,
        Err(err) => {
            log::warn!(
                "event=connect_failed request={} replica={} ms={} error={}",
                job.id(),
                replica.upstream.id.name,
                started_at.elapsed().as_millis(),
                err.reason
            );
            return Err(Outcome::Unsent);
        }
    };
    check_usable(state, job, replica)?;
    let waited = started_at.elapsed();
    if waited >= LATE_SEND_MIN {
        log::info!(
            "event=sent_late request={} replica={} ms={}",
            job.id(),
            replica.upstream.id.name,
            waited.as_millis()
        );
    }
    match send_on(state, job, replica, connection, "new", request, crash_guard).await {
        Err(SendError::Unsent(_)) => Err(Outcome::Unsent),
        Err(SendError::Lost) => Err(Outcome::Unknown),
        Ok(answered) => Ok(answered),
    }
}

/// Whether the replica may be sent requests, as far as a recent copy of the directory
/// tells.
fn is_usable<D>(state: &State<D>, replica: &Replica) -> bool {
    replica.is_open() && state.replicas_guard.check() != CopyUse::Unconfirmed
}

/// Checks again that the replica may be sent a request, which may have waited for a
/// permit or a connection since it was placed.
fn check_usable<D>(state: &State<D>, job: &Job, replica: &Replica) -> Result<(), Outcome> {
    if is_usable(state, replica) {
        return Ok(());
    }
    log::info!(
        "event=not_sent request={} replica={} open={}",
        job.id(),
        replica.upstream.id.name,
        replica.is_open()
    );
    Err(Outcome::Unsent)
}

/// Why a connection carried no response.
enum SendError {
    /// Nothing of the request was sent.
    Unsent(Box<Request<Blocks>>),
    /// The connection was lost after that.
    Lost,
}

/// Sends on a connection, which is `kind`: new, or idle in the pool before.
async fn send_on<D: Deployment>(
    state: &Arc<State<D>>,
    job: &Job,
    replica: &Arc<Replica>,
    mut connection: Connection,
    kind: &str,
    request: Request<Blocks>,
    crash_guard: &mut CrashGuard<D>,
) -> Result<(Connection, Response<Incoming>), SendError> {
    crash_guard.record_sent(connection.opened);
    if let Some(tunnel) = &connection.tunnel {
        log::info!(
            "event=tunnelled request={} replica={} peer={} tunnel={}/{}",
            job.id(),
            replica.upstream.id.name,
            tunnel.peer,
            state.ledger.client(),
            tunnel.number
        );
    }
    let sent_at = Instant::now();
    let is_direct = !connection.is_tunnel();
    let sent = {
        let mut sending = pin!(connection.send(request));
        match time::timeout(SILENCE_TIME, &mut sending).await {
            Ok(sent) => sent,
            Err(_) => {
                if is_direct && !state.connector.hears_replicas() {
                    tokio::spawn(check_path(state.clone(), replica.clone(), sent_at));
                }
                sending.await
            }
        }
    };
    let mut err = match sent {
        Ok(response) => {
            if is_direct {
                state.connector.record_response();
            }
            return Ok((connection, response));
        }
        Err(err) => err,
    };
    if let Some(unsent) = err.take_message() {
        return Err(SendError::Unsent(Box::new(unsent)));
    }
    log::warn!(
        "event=send_broke request={} replica={} connection={kind} ms={} error={}",
        job.id(),
        replica.upstream.id.name,
        sent_at.elapsed().as_millis(),
        err.error()
    );
    Err(SendError::Lost)
}

/// Checks whether this gateway still reaches a replica that has not responded
/// since `since`.
async fn check_path<D: Deployment>(state: Arc<State<D>>, replica: Arc<Replica>, since: Instant) {
    let connect = state.connector.connect(&state.fleet, &replica);
    replica.check_reachable(since.into_std(), connect).await;
}
