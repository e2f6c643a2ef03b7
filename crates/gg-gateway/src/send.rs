//! One send of a request to one replica.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use gg_route::{Deployment, ReplyMarks};
use http::{HeaderMap, Request, Response, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::{self, Instant};

use crate::{
    admit::note_full,
    answer::strip_hop_headers,
    crash::Underway,
    pool::Connection,
    replica::{Place, Replica},
    retry::Outcome,
    state::State,
    walk::Job,
};

/// Kept connections that are tried before a new one is opened.
const KEPT_TRIES: u32 = 2;

/// Largest answer that is read whole, in bytes.
const ANSWER_MAX_BYTES: usize = 8 << 20;

/// Others go first for this long after a replica could not be reached or
/// broke off.
const FAILED_TIME: Duration = Duration::from_millis(1_000);

/// Others go first for this long after a replica was full.
const FULL_TIME: Duration = Duration::from_millis(60);

/// The head of an answer, its body still to be read.
pub(crate) struct Sent<D: Deployment> {
    pub(crate) response: Response<Incoming>,
    pub(crate) marks: ReplyMarks,
    pub(crate) lease: Lease<D>,
}

/// A connection in use and the place on its replica.
pub(crate) struct Lease<D: Deployment> {
    connection: Connection,
    underway: Underway<D>,
    pub(crate) place: Place,
}

impl<D: Deployment> Lease<D> {
    pub(crate) fn replica(&self) -> &Arc<Replica> {
        &self.place.replica
    }

    /// Gives the connection back once the answer was read whole.
    pub(crate) fn keep(self, headers: &HeaderMap) {
        self.underway.finish();
        self.place.replica.pool.keep(self.connection, headers);
    }
}

/// Sends a job with `body` to the replica of `place` and waits for the head
/// of its answer.
pub(crate) async fn send<D: Deployment>(
    state: &Arc<State<D>>,
    job: &Arc<Job>,
    body: &Bytes,
    place: Place,
) -> Result<Sent<D>, Outcome> {
    let sent = try_send(state, job, body, place).await;
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
    body: &Bytes,
    place: Place,
) -> Result<Sent<D>, Outcome> {
    let replica = place.replica.clone();
    let request = build(state, job, body, &replica);
    let mut underway = Underway::new(state, job, &replica);
    let answered = time::timeout_at(job.deadline, exchange(job, &replica, request)).await;
    let (connection, response) = match answered {
        Ok(Ok(answered)) => answered,
        Ok(Err(outcome)) => {
            replica.suspect(FAILED_TIME);
            if outcome == Outcome::Unsent {
                underway.settle();
            }
            return Err(outcome);
        }
        Err(_) => {
            log::warn!("event=no_answer request={} replica={}", job.id(), replica.upstream.id.name);
            note_full(state, job);
            return Err(Outcome::Unknown);
        }
    };
    let marks = state.dialect.marks(response.headers(), job.id());
    let lease = Lease { connection, underway, place };
    if marks.is_foreign {
        log::warn!(
            "event=foreign_answer request={} replica={}",
            job.id(),
            replica.upstream.id.name
        );
        return Err(Outcome::Unknown);
    }
    let sent = Sent { response, marks, lease };
    if marks.is_unexecuted || sent.response.status() == http::StatusCode::MISDIRECTED_REQUEST {
        return Err(refused(state, job, sent).await);
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
    replica.note_answered();
    Ok(sent)
}

/// A replica that says that it did not run the request.
async fn refused<D: Deployment>(state: &Arc<State<D>>, job: &Job, mut sent: Sent<D>) -> Outcome {
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
            note_full(state, job);
            replica.suspect(FULL_TIME);
        }
        _ => replica.suspect(FAILED_TIME),
    }
    sent.lease.underway.settle();
    // The refusal stands whatever its body holds; the connection is kept
    // only if that ends as it should.
    if let Ok((headers, _, lease)) = read_whole(job, sent).await {
        lease.keep(&headers);
    }
    Outcome::Unexecuted
}

/// Whether an answer is the replica's own and may be passed on as it is. A
/// status that promises "not run" is none without that mark.
fn is_trusted<D: Deployment>(sent: &Sent<D>) -> bool {
    let status = sent.response.status();
    let promises = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    let is_encoded = sent.response.headers().contains_key(header::CONTENT_ENCODING);
    let is_marked = sent.marks.is_signed || (!status.is_success() && sent.marks.is_ours);
    is_marked && !is_encoded && !promises && !status.is_informational()
}

/// Reads the rest of an answer.
pub(crate) async fn read_whole<D: Deployment>(
    job: &Job,
    sent: Sent<D>,
) -> Result<(HeaderMap, Bytes, Lease<D>), Outcome> {
    let (head, body) = sent.response.into_parts();
    match time::timeout_at(job.deadline, Limited::new(body, ANSWER_MAX_BYTES).collect()).await {
        Ok(Ok(whole)) => Ok((head.headers, whole.to_bytes(), sent.lease)),
        Ok(Err(err)) => {
            log::warn!(
                "event=answer_broke request={} replica={} error={err}",
                job.id(),
                sent.lease.replica().upstream.id.name
            );
            sent.lease.replica().suspect(FAILED_TIME);
            Err(Outcome::Unknown)
        }
        Err(_) => Err(Outcome::Unknown),
    }
}

fn build<D: Deployment>(
    state: &State<D>,
    job: &Job,
    body: &Bytes,
    replica: &Replica,
) -> Request<Full<Bytes>> {
    let left = job.deadline.saturating_duration_since(Instant::now());
    let mut request = Request::new(Full::new(body.clone()));
    *request.method_mut() = job.head.method.clone();
    *request.uri_mut() = origin_form(&job.head.uri);
    let mut headers = job.head.headers.clone();
    strip_hop_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    state.dialect.prepare(&mut headers, &replica.upstream.id, left);
    if !body.is_empty() || job.has_body {
        headers.insert(header::CONTENT_LENGTH, body.len().into());
    }
    *request.headers_mut() = headers;
    request
}

/// Path and query alone, as replicas expect them.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(Uri::default, Uri::from)
}

/// Sends on a kept connection, or on a new one if that turns out closed
/// before anything was sent.
async fn exchange(
    job: &Job,
    replica: &Replica,
    mut request: Request<Full<Bytes>>,
) -> Result<(Connection, Response<Incoming>), Outcome> {
    for _ in 0..KEPT_TRIES {
        let Some(mut connection) = replica.pool.kept() else { break };
        match connection.try_send_request(request).await {
            Ok(response) => return Ok((connection, response)),
            Err(mut err) => match err.take_message() {
                Some(unsent) => request = unsent,
                None => return Err(broke(job, replica, err.error())),
            },
        }
    }
    let mut connection = match replica.pool.connect().await {
        Ok(connection) => connection,
        Err(err) => {
            log::warn!(
                "event=connect_failed request={} replica={} error={err}",
                job.id(),
                replica.upstream.id.name
            );
            return Err(Outcome::Unsent);
        }
    };
    match connection.try_send_request(request).await {
        Ok(response) => Ok((connection, response)),
        Err(mut err) => match err.take_message() {
            Some(_) => Err(Outcome::Unsent),
            None => Err(broke(job, replica, err.error())),
        },
    }
}

fn broke(job: &Job, replica: &Replica, err: &hyper::Error) -> Outcome {
    log::warn!(
        "event=send_broke request={} replica={} error={err}",
        job.id(),
        replica.upstream.id.name
    );
    Outcome::Unknown
}
