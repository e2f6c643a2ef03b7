//! A request whose answer is a stream of events: a turn of a program.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures::Stream;
use gg_ledger::{LedgerError, OpenRequest, Opened};
use gg_protocol::{Code, Failure};
use gg_route::Deployment;
use http::{Response, StatusCode};
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;
use tokio::time::Instant;

use crate::{
    admit::{admit, note_opened},
    answer::strip_hop_headers,
    call::{next, refusal},
    place::place,
    proxy::{Answer, Job},
    relay::{Relay, RelayError, Settle, relay},
    resume::Resume,
    send::{Outgoing, read_whole, send},
    state::State,
};

/// Runs a turn and streams its events.
pub(crate) async fn run<D: Deployment>(
    state: &Arc<State<D>>,
    job: &Arc<Job>,
) -> Result<Answer<impl Stream<Item = Result<Frame<Bytes>, RelayError>> + Send + use<D>>, Failure> {
    admit(state, job).await?;
    let opened = open(state, job).await?;
    note_opened(state, job);
    // Settles what was set aside however the turn ends.
    let settle = Settle::new(state.clone(), job.clone());
    let body = prompt(&opened, &job.body);
    let mut tries = job.tries();
    let mut tried = Vec::new();
    loop {
        let place = place(state, job, &tried, &tries, &opened).await?;
        tried.push(place.replica.upstream.id.clone());
        let began = Instant::now();
        tries.begin();
        let sent = match send(state, job, Outgoing { body: &body, after: None }, place).await {
            Ok(sent) => sent,
            Err(outcome) => {
                next(job, &mut tries, outcome)?;
                continue;
            }
        };
        let status = sent.response.status();
        if status != StatusCode::OK {
            match read_whole(state, job, sent).await {
                Ok((mut headers, body, lease)) => {
                    lease.keep(&headers);
                    strip_hop_headers(&mut headers);
                    let mut response = Response::new(Either::Left(Full::new(body)));
                    *response.status_mut() = status;
                    *response.headers_mut() = headers;
                    return Ok(response);
                }
                Err(outcome) => {
                    next(job, &mut tries, outcome)?;
                    continue;
                }
            }
        }
        let mut headers = sent.response.headers().clone();
        strip_hop_headers(&mut headers);
        let foreign = opened.is_foreign.then(|| opened.history.clone());
        let resume = job.route.is_resumable.then(|| Resume { prompt: body, opened, tries, tried });
        let stream = relay(Relay::new(settle, sent, began, foreign, resume));
        let mut response = Response::new(Either::Right(StreamBody::new(stream)));
        *response.headers_mut() = headers;
        return Ok(response);
    }
}

/// Sets the turn's tokens aside and reads the chain that it continues.
async fn open<D: Deployment>(state: &State<D>, job: &Job) -> Result<Opened, Failure> {
    let (route, turn) = (&job.route, &job.envelope.turn);
    let request = OpenRequest {
        key: job.turn_key(),
        previous: turn.previous.clone().filter(|_| route.keeps_turns),
        budget: budget(job),
        line: job.envelope.session.clone().filter(|_| !route.keeps_turns),
        keep_ms: (!route.keeps_turns).then(|| route.retention.as_millis()),
    };
    let began = Instant::now();
    let opened = state.ledger.open(&request, job.deadline).await;
    let result = if opened.is_ok() { "ok" } else { "failed" };
    state.metrics.time("ledger_open", began.elapsed().as_micros() as u64, &[("result", result)]);
    match opened {
        Ok(opened) => Ok(opened),
        Err(LedgerError::NoSuchTurn) => {
            let previous = turn.previous.as_deref().unwrap_or("-");
            let message = format!("turn {previous}, to continue from, does not exist");
            Err(Failure::not_run(Code::NotFound, message))
        }
        Err(err @ LedgerError::BudgetSpent(_)) => {
            Err(Failure::not_run(Code::BudgetExhausted, err.to_string()))
        }
        Err(err) => Err(refusal(&err.to_string())),
    }
}

/// Budget and the most that this turn spends, on turns with one.
fn budget(job: &Job) -> Option<(u64, u32)> {
    let most = u32::try_from(job.envelope.output_max).unwrap_or(u32::MAX);
    Some((job.envelope.turn.budget?, most))
}

/// The chain and the new input.
fn prompt(opened: &Opened, input: &Bytes) -> Bytes {
    if opened.history.is_empty() {
        return input.clone();
    }
    let mut prompt = BytesMut::with_capacity(opened.history.len() + input.len());
    prompt.extend_from_slice(&opened.history);
    prompt.extend_from_slice(input);
    prompt.freeze()
}
