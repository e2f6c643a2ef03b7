//! Requests whose response is a stream of events: turns of a program.

use std::sync::Arc;

use bytes::Bytes;
use futures::Stream;
use gg_http::Blocks;
use gg_ledger::{LedgerError, OpenRequest, OpenedTurn, TEXT_MAX_BYTES};
use gg_protocol::{Code, Failure};
use gg_route::Deployment;
use http::{Response, StatusCode};
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;
use tokio::time::Instant;

use crate::{
    admit::{admit, record_opened},
    call::{decide_retry, refusal},
    place::place,
    proxy::{ClientResponse, Job},
    relay::{Relay, RelayError, Settlement, relay},
    response::strip_hop_headers,
    resume::Resume,
    send::{Outgoing, read_whole, send},
    state::State,
};

/// Delay in ms after which a client may try again if the ledger is full. Its
/// instances drop expired turns every few seconds.
const FULL_RETRY_MS: u64 = 1_000;

/// Why a turn is refused whose text could not be stored.
const TOO_LONG: &str = "the prompt with the turns that it continues is longer than can be stored";

/// Runs a turn and streams its events.
pub(crate) async fn run<D: Deployment>(
    state: &Arc<State<D>>,
    job: &Arc<Job>,
) -> Result<
    ClientResponse<impl Stream<Item = Result<Frame<Bytes>, RelayError>> + Send + use<D>>,
    Failure,
> {
    admit(state, job).await?;
    let opened = open_turn(state, job).await?;
    record_opened(state, job);
    // Settles the reserved tokens however the turn ends.
    let settlement = Settlement::new(state.clone(), job.clone());
    let body = full_prompt(&opened, &job.body);
    if job.route.stores_turns && body.len() > TEXT_MAX_BYTES {
        return Err(Failure::unexecuted(Code::TooLarge, TOO_LONG));
    }
    let history_bytes = opened.history.len();
    let needed = history_bytes + record_memory(job, &opened);
    let reserved = job.memory.grow_within_max(needed).await;
    let reserved = reserved.map_err(|_| refusal("no memory is left for the prompt"))?;
    let mut attempts = job.attempts();
    let mut tried = Vec::new();
    loop {
        let place = place(state, job, &tried, &attempts, &opened).await?;
        tried.push(place.replica.upstream.id.clone());
        let started_at = Instant::now();
        attempts.begin_send();
        let sent = match send(state, job, Outgoing { body: &body, after: None }, place).await {
            Ok(sent) => sent,
            Err(outcome) => {
                decide_retry(job, &mut attempts, outcome)?;
                continue;
            }
        };
        let status = sent.response.status();
        if status != StatusCode::OK {
            match read_whole(state, job, sent).await {
                Ok((mut headers, body, lease)) => {
                    lease.release(&headers);
                    strip_hop_headers(&mut headers);
                    let mut response = Response::new(Either::Left(Full::new(body)));
                    *response.status_mut() = status;
                    *response.headers_mut() = headers;
                    return Ok(response);
                }
                Err(outcome) => {
                    decide_retry(job, &mut attempts, outcome)?;
                    continue;
                }
            }
        }
        let mut headers = sent.response.headers().clone();
        strip_hop_headers(&mut headers);
        let whole_history = opened.needs_history.then(|| opened.history.clone());
        let resume =
            job.route.is_resumable.then(|| Resume { prompt: body, opened, attempts, tried });
        if resume.is_none() && whole_history.is_none() {
            job.memory.shrink(history_bytes.min(reserved));
        }
        let stream = relay(Relay::new(settlement, sent, started_at, whole_history, resume));
        let mut response = Response::new(Either::Right(StreamBody::new(stream)));
        *response.headers_mut() = headers;
        return Ok(response);
    }
}

/// Reserves the turn's tokens and reads the history that it continues.
async fn open_turn<D: Deployment>(state: &State<D>, job: &Job) -> Result<OpenedTurn, Failure> {
    let (route, turn) = (&job.route, &job.envelope.turn);
    let request = OpenRequest {
        key: job.turn_key(),
        previous: job.previous().filter(|_| route.stores_turns),
        budget: budget(job),
        branch: job.envelope.session.clone().filter(|_| !route.stores_turns),
        keep_ms: (!route.stores_turns).then(|| route.retention.as_millis()),
    };
    let started_at = Instant::now();
    let opened = state.ledger.open(&request, job.deadline).await;
    let result = if opened.is_ok() { "ok" } else { "failed" };
    state.metrics.time(
        "ledger_open",
        started_at.elapsed().as_micros() as u64,
        &[("result", result)],
    );
    match opened {
        Ok(opened) => Ok(opened),
        Err(LedgerError::NoSuchTurn) => {
            let previous = turn.previous.as_deref().unwrap_or("-");
            let message = format!("previous turn {previous} does not exist");
            Err(Failure::unexecuted(Code::NotFound, message))
        }
        Err(LedgerError::TooLong) => Err(Failure::unexecuted(Code::TooLarge, TOO_LONG)),
        Err(err @ LedgerError::BudgetSpent(_)) => {
            Err(Failure::unexecuted(Code::BudgetExhausted, err.to_string()))
        }
        Err(err @ LedgerError::Full) => {
            Err(Failure::unexecuted(Code::HomeUnavailable, err.to_string()).retry_in(FULL_RETRY_MS))
        }
        Err(err) => Err(refusal(&err.to_string())),
    }
}

/// The program's token budget and the most tokens that this turn may spend;
/// `None` without a budget.
fn budget(job: &Job) -> Option<(u64, u32)> {
    let max_output = u32::try_from(job.envelope.max_output).unwrap_or(u32::MAX);
    Some((job.envelope.turn.budget?, max_output))
}

/// Copies of the text of a turn that is stored: its record, and the calls to the ledger
/// instances that it is stored at first.
const RECORD_COPIES: usize = 3;

/// Memory, in bytes, of the copies of a turn's text; 0 if it isn't stored.
fn record_memory(job: &Job, opened: &OpenedTurn) -> usize {
    if !job.route.stores_turns {
        return 0;
    }
    let history = if opened.needs_history { opened.history.len() } else { 0 };
    RECORD_COPIES * (history + job.body.len())
}

/// The history followed by the new input.
fn full_prompt(opened: &OpenedTurn, input: &Blocks) -> Blocks {
    [opened.history.clone()].into_iter().chain(input.iter().cloned()).collect()
}
