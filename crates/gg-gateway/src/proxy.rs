//! Handles a request from start to end: reads its head, finds its route, reads
//! its body, calls a replica or streams from one, and logs the result.

use std::sync::Arc;

use bytes::Bytes;
use futures::Stream;
use gg_http::{Blocks, ClientConnection, HeldBody, HttpError, Reservation};
use gg_ledger::TurnKey;
use gg_protocol::{Code, Failure, Name};
use gg_route::{
    Account, Deployment, Envelope, EnvelopeError, PromptPart, Route, RouteKind, RouteTable, Service,
};
use http::{Request, Response, StatusCode, header, request::Parts};
use http_body_util::{Either, Full, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use tokio::time::Instant;

use crate::{
    call::{self, refusal},
    crash,
    credit::HeldCredit,
    owned_name,
    relay::RelayError,
    response,
    retry::Attempts,
    state::State,
    stream,
};

/// Retry time for requests that arrive before a configuration is known.
const UNCONFIGURED_RETRY_MS: u64 = 300;

/// Response with either a complete body or a stream of events.
pub(crate) type ClientResponse<S> = Response<Either<Full<Bytes>, StreamBody<S>>>;

/// A request that is ready to be sent.
pub(crate) struct Job {
    pub(crate) head: Parts,
    pub(crate) body: Blocks,
    /// Memory of the body and, for turns, of the prompt and of the record's copies.
    pub(crate) memory: Reservation,
    /// Whether the client announced a body; it may turn out to be empty.
    pub(crate) has_body: bool,
    pub(crate) envelope: Envelope,
    pub(crate) route: Arc<Route>,
    /// Version of the configuration that the route is from.
    pub(crate) version: u64,
    pub(crate) service: Service,
    /// Account whose key the client presented; `None` on public routes without
    /// a valid key, and if the configuration has no accounts.
    pub(crate) account: Option<Arc<Account>>,
    /// Whether the configuration that the request was read with has accounts.
    pub(crate) has_accounts: bool,
    /// Credit of the account to send the request.
    pub(crate) credit: HeldCredit,
    pub(crate) started_at: Instant,
    /// The client's deadline or the route's timeout, whichever comes first.
    pub(crate) deadline: Instant,
}

impl Job {
    pub(crate) fn id(&self) -> &Name {
        &self.envelope.request
    }

    /// Rank of the request.
    pub(crate) fn rank(&self) -> u8 {
        self.route.rank_for(self.account.as_deref())
    }

    /// Key of the request's turn in the ledger.
    pub(crate) fn turn_key(&self) -> TurnKey {
        TurnKey { turn: self.owned(self.id()), program: self.program() }
    }

    /// The program of the request, as it is known under its account.
    pub(crate) fn program(&self) -> Option<Name> {
        self.envelope.turn.program.as_ref().map(|program| self.owned(program))
    }

    /// The turn that the request continues, as it is known under its account.
    pub(crate) fn previous(&self) -> Option<Name> {
        self.envelope.turn.previous.as_ref().map(|previous| self.owned(previous))
    }

    /// The name of an id under the request's account.
    pub(crate) fn owned(&self, id: &Name) -> Name {
        owned_name(self.account.as_deref(), id)
    }

    /// Fails if the request may no longer be sent: its key was withdrawn or can't
    /// be checked any more, or accounts were introduced while it waited.
    pub(crate) fn check_key<D>(&self, state: &State<D>) -> Result<(), Failure> {
        let Some(account) = &self.account else {
            return state.check_keyless(self.has_accounts);
        };
        let checked =
            state.identify_again(self.route.is_public, account, self.envelope.credential.as_ref());
        if let Err(failure) = &checked {
            log::info!("event=key_refused request={}{} reason={failure}", self.id(), self.caller());
        }
        checked
    }

    /// The account and the key's fingerprint for log lines; empty without an
    /// account.
    fn caller(&self) -> String {
        match (&self.account, &self.envelope.credential) {
            (Some(account), Some(key)) => format!(" account={} key={}", account.name, key.digest()),
            _ => String::new(),
        }
    }

    /// Prompt parts from which the uncached tokens are estimated. On routes
    /// that record turns, the client knows only the first part.
    pub(crate) fn prompt(&self) -> &[PromptPart] {
        let parts = &self.envelope.parts;
        if self.route.stores_turns { &parts[..parts.len().min(1)] } else { parts }
    }

    pub(crate) fn attempts(&self) -> Attempts {
        Attempts::new(self.route.is_repeatable(), self.route.attempts)
    }
}

/// Logs when the client closes its connection before the response.
struct DisconnectLog {
    id: Name,
    started_at: Instant,
    is_answered: bool,
}

impl Drop for DisconnectLog {
    fn drop(&mut self) {
        if !self.is_answered {
            let ms = self.started_at.elapsed().as_millis();
            log::info!("event=client_left request={} ms={ms}", self.id);
        }
    }
}

/// Handles one request.
pub(crate) async fn handle<D: Deployment>(
    state: Arc<State<D>>,
    request: Request<Incoming>,
) -> ClientResponse<impl Stream<Item = Result<Frame<Bytes>, RelayError>> + Send> {
    let (head, body) = request.into_parts();
    let started_at = Instant::now();
    let envelope = state.deployment.envelope(&head.headers);
    let id = envelope.as_ref().map_or_else(|_| "-".into(), |envelope| envelope.request.clone());
    let mut disconnect_log = DisconnectLog { id: id.clone(), started_at, is_answered: false };
    let mut response = match read_request(&state, envelope, head, body, started_at).await {
        Err(failure) => {
            log::info!("event=not_admitted request={id} reason={failure}");
            state.metrics.count("not_admitted", &[("reason", failure.code.as_str())]);
            response::failure(&failure).map(Either::Left)
        }
        Ok(job) => {
            let job = Arc::new(job);
            let answering = async {
                match (crash::check(&state, &job), job.route.kind) {
                    (Err(failure), _) => Err(failure),
                    (Ok(()), RouteKind::Stream) => stream::run(&state, &job).await,
                    (Ok(()), _) => {
                        call::run(&state, &job).await.map(|response| response.map(Either::Left))
                    }
                }
            };
            let answered = state.last_call.run_until_cancelled(answering).await;
            log_result(&state, &job, answered.unwrap_or_else(|| Err(stopped())))
        }
    };
    disconnect_log.is_answered = true;
    if state.is_stopping() || !state.ledger.is_ready() || is_refusal(response.status()) {
        // The client's next connection should go to a gateway that is ready,
        // and a refused client opens a new one anyway.
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// The final answer to a request that was in flight until the process exits.
fn stopped() -> Failure {
    Failure::unknown(Code::DeadlineExceeded, "the gateway stopped before the replica responded")
}

/// Whether clients retry after this status.
fn is_refusal(status: StatusCode) -> bool {
    matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE)
}

/// Logs the result of a request, or the start of its stream.
fn log_result<D, S>(
    state: &State<D>,
    job: &Job,
    answered: Result<ClientResponse<S>, Failure>,
) -> ClientResponse<S> {
    let ms = job.started_at.elapsed().as_millis();
    let (id, kind, route) = (job.id(), job.route.kind.as_str(), &job.route.name);
    let (rank, version, caller) = (job.rank(), job.version, job.caller());
    let result = match &answered {
        Ok(response) => response.status().as_str().to_owned(),
        Err(failure) => failure.code.as_str().to_owned(),
    };
    let rank_text = rank.to_string();
    let tags = [("kind", kind), ("rank", &rank_text), ("result", &result)];
    state.metrics.count("requests", &tags);
    state.metrics.time("head", job.started_at.elapsed().as_micros() as u64, &tags[..2]);
    match answered {
        Ok(response) => {
            let status = response.status().as_u16();
            log::info!(
                "event=answered request={id} kind={kind} rank={rank} route={route} \
                 version={version} status={status} ms={ms}{caller}"
            );
            response
        }
        Err(failure) => {
            log::warn!(
                "event=failed request={id} kind={kind} rank={rank} route={route} \
                 version={version} ms={ms}{caller} reason={failure}"
            );
            response::failure(&failure).map(Either::Left)
        }
    }
}

/// Reads a request and finds its route.
async fn read_request<D: Deployment>(
    state: &State<D>,
    envelope: Result<Envelope, EnvelopeError>,
    mut head: Parts,
    body: Incoming,
    started_at: Instant,
) -> Result<Job, Failure> {
    if state.table().is_some() && !state.configuration_guard.until_usable().await {
        return Err(unconfigured("the configuration may be out of date"));
    }
    // Determined before the table is taken, which is then at least as recent.
    let trusts_keys = state.trusts_keys();
    let Some(table) = state.table() else {
        return Err(unconfigured("no configuration is known yet"));
    };
    let envelope =
        envelope.map_err(|err| Failure::unexecuted(Code::BadRequest, err.to_string()))?;
    let route = find_route(&table, &head)?;
    let account =
        state.identify(&table, trusts_keys, route.is_public, envelope.credential.as_ref())?;
    let has_accounts = table.has_accounts();
    if has_accounts {
        state.deployment.remove_credential(&mut head.headers);
    }
    let service = select_service(&table, &route, &envelope)?;
    let limit = envelope.deadline.unwrap_or(route.timeout).min(route.timeout);
    let deadline = started_at + limit;
    let has_body = !body.is_end_stream();
    let connection = head.extensions.remove::<ClientConnection>().unwrap_or_default();
    let body = connection.read(body, table.limits.body_bytes, deadline).await;
    let HeldBody { content: body, memory } = body.map_err(|err| body_failure(&err))?;
    let credit = HeldCredit::default();
    Ok(Job {
        head,
        body,
        memory,
        has_body,
        envelope,
        route,
        version: table.version,
        service,
        account,
        has_accounts,
        credit,
        started_at,
        deadline,
    })
}

/// The refusal of a request that no configuration decides on yet.
fn unconfigured(message: &str) -> Failure {
    Failure::unexecuted(Code::PlatformUnavailable, message).retry_in(UNCONFIGURED_RETRY_MS)
}

fn find_route(table: &RouteTable, head: &Parts) -> Result<Arc<Route>, Failure> {
    let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or(head.uri.host()).unwrap_or("");
    let host = host.rsplit_once(':').map_or(host, |(name, _port)| name).to_ascii_lowercase();
    let route = table.find(&host, head.uri.path()).cloned();
    route.ok_or_else(|| {
        let message = format!("no route for this host and path in version {}", table.version);
        Failure::unexecuted(Code::NotFound, message)
    })
}

/// Selects the service for the request; all turns of one conversation branch
/// use the same service.
fn select_service(
    table: &RouteTable,
    route: &Route,
    envelope: &Envelope,
) -> Result<Service, Failure> {
    let key = envelope.session.as_ref().unwrap_or(&envelope.request);
    let name = route.backend(hash(key.as_bytes()));
    let service = name.and_then(|name| table.service(name));
    service
        .cloned()
        .ok_or_else(|| Failure::unexecuted(Code::HomeUnavailable, "the route's service is unknown"))
}

/// FNV-1a hash with its upper half folded into the lower one. All gateways
/// compute the same value for the same key, so they choose alike.
pub(crate) fn hash(key: &[u8]) -> u64 {
    hash_parts([key])
}

/// The hash of a key that consists of several parts.
pub(crate) fn hash_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
    let hash = parts.into_iter().flatten().fold(0xcbf2_9ce4_8422_2325, step);
    hash ^ (hash >> 32)
}

/// The failure of a request whose body was not read. It was not sent to a replica.
fn body_failure(err: &HttpError) -> Failure {
    match err {
        HttpError::TooLarge => {
            Failure::unexecuted(Code::TooLarge, "the body is larger than the limit")
        }
        HttpError::NoMemory => refusal("no memory is left for the body"),
        HttpError::Timeout => {
            Failure::unexecuted(Code::BodyTimeout, "the body did not arrive in time")
        }
        err => Failure::unexecuted(Code::BadRequest, err.to_string()),
    }
}
