//! One send of a request to one replica.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use gg_route::{Deployment, ReplyMarks};
use http::{HeaderMap, Request, Response, Uri, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use quick_error::quick_error;
use tokio::time::{self, Instant};

use crate::{
    Room,
    admit::note_full,
    answer::strip_hop_headers,
    crash::Underway,
    pool::Connection,
    proxy::Job,
    replica::{Place, Replica},
    retry::Outcome,
    state::State,
};

/// Kept connections that are tried before a new one is opened.
const KEPT_TRIES: u32 = 2;

/// Largest answer that is read whole, in bytes.
const ANSWER_MAX_BYTES: usize = 8 << 20;

/// Largest body of a refusal whose connection is kept, in bytes.
const REFUSAL_MAX_BYTES: usize = 16 << 10;

/// Longest wait for a refusal's body: another connection costs about as much
/// as a way and back.
const REFUSAL_TIME: Duration = Duration::from_millis(20);

/// Others go first for this long after a replica could not be reached or
/// broke off.
const FAILED_TIME: Duration = Duration::from_millis(1_000);

/// Others go first for this long after a replica was full.
const FULL_TIME: Duration = Duration::from_millis(60);

quick_error! {
    /// Why an answer's body was not read whole.
    #[derive(Debug)]
    enum BodyError {
        /// The connection failed.
        Broke(err: hyper::Error) {
            from()
            display("{err}")
        }
        /// More than an answer may have.
        TooLong {
            display("too long")
        }
        /// The answers of all requests take too much memory.
        NoRoom {
            display("no memory is left for answers")
        }
    }
}

/// What is sent of a job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outgoing<'a> {
    pub(crate) body: &'a Bytes,
    /// Event after which a stream is to go on.
    pub(crate) after: Option<&'a str>,
}

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

/// Sends a job to the replica of `place` and waits for the head
/// of its answer.
pub(crate) async fn send<D: Deployment>(
    state: &Arc<State<D>>,
    job: &Arc<Job>,
    outgoing: Outgoing<'_>,
    place: Place,
) -> Result<Sent<D>, Outcome> {
    let sent = try_send(state, job, outgoing, place).await;
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
    place: Place,
) -> Result<Sent<D>, Outcome> {
    let replica = place.replica.clone();
    let request = build(state, job, outgoing, &replica);
    let mut underway = Underway::new(state, job, &replica);
    let answered = {
        let exchange = exchange(job, &replica, request, &mut underway);
        time::timeout_at(job.deadline, exchange).await
    };
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
    if marks.is_leaving && !marks.is_foreign && replica.is_open() {
        log::info!("event=replica_leaving replica={} told_by=answer", replica.upstream.id.name);
        replica.set_leaving();
    }
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
    // only if that ends soon.
    let (head, body) = sent.response.into_parts();
    let mut room = state.held.room();
    let reading = collect(body, &mut room, REFUSAL_MAX_BYTES);
    if let Ok(Ok(_)) = time::timeout(REFUSAL_TIME, reading).await {
        sent.lease.keep(&head.headers);
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
    state: &State<D>,
    job: &Job,
    sent: Sent<D>,
) -> Result<(HeaderMap, Bytes, Lease<D>), Outcome> {
    let (head, body) = sent.response.into_parts();
    let mut room = state.held.room();
    let reading = collect(body, &mut room, ANSWER_MAX_BYTES);
    let err = match time::timeout_at(job.deadline, reading).await {
        Ok(Ok(whole)) => return Ok((head.headers, whole, sent.lease)),
        Ok(Err(err)) => err.to_string(),
        Err(_) => "no end in time".to_owned(),
    };
    log::warn!(
        "event=answer_broke request={} replica={} bytes={} error={err}",
        job.id(),
        sent.lease.replica().upstream.id.name,
        room.taken()
    );
    sent.lease.replica().suspect(FAILED_TIME);
    Err(Outcome::Unknown)
}

/// Reads a body of at most `max` bytes into `room`.
async fn collect(mut body: Incoming, room: &mut Room, max: usize) -> Result<Bytes, BodyError> {
    // Pieces are joined at the end: a buffer that grows takes up to three times
    // its content.
    let mut pieces = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if room.taken() + data.len() > max {
            return Err(BodyError::TooLong);
        }
        if !room.take(data.len()) {
            return Err(BodyError::NoRoom);
        }
        pieces.push(data);
    }
    match pieces.len() {
        1 => Ok(pieces.swap_remove(0)),
        _ => Ok(pieces.concat().into()),
    }
}

fn build<D: Deployment>(
    state: &State<D>,
    job: &Job,
    outgoing: Outgoing<'_>,
    replica: &Replica,
) -> Request<Full<Bytes>> {
    let body = outgoing.body;
    let left = job.deadline.saturating_duration_since(Instant::now());
    let mut request = Request::new(Full::new(body.clone()));
    *request.method_mut() = job.head.method.clone();
    *request.uri_mut() = origin_form(&job.head.uri);
    let mut headers = job.head.headers.clone();
    strip_hop_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    state.dialect.prepare(&mut headers, &replica.upstream.id, left);
    if let Some(last) = outgoing.after {
        state.dialect.resume(&mut headers, last);
    }
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
async fn exchange<D: Deployment>(
    job: &Job,
    replica: &Replica,
    mut request: Request<Full<Bytes>>,
    underway: &mut Underway<D>,
) -> Result<(Connection, Response<Incoming>), Outcome> {
    for _ in 0..KEPT_TRIES {
        let Some(mut connection) = replica.pool.kept() else { break };
        underway.note_sent(connection.opened);
        match connection.send(request).await {
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
    underway.note_sent(connection.opened);
    match connection.send(request).await {
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
