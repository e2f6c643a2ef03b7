//! Relays a replica's events as they arrive. The client's stream ends only
//! after the turn is stored on enough disks.

use std::{mem, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures::{Stream, stream};
use gg_ledger::{LastRun, TurnRecord};
use gg_protocol::Name;
use gg_route::Deployment;
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use quick_error::quick_error;
use tokio::time::{self, Instant};

use crate::{
    EventCount, EventSplitter, Repeated, Reservation,
    admit::{record_delay, record_event_interval},
    pacing,
    pieces::Pieces,
    proxy::Job,
    resume::Resume,
    send::{Lease, Sent},
    state::State,
};

/// Largest event of a stream, in bytes; typical events have some hundred.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// Largest response of a recorded turn, in bytes: enough for twice the 280,000
/// tokens that a whole program may have.
const TURN_MAX_BYTES: usize = 2 << 20;

/// Other replicas are preferred for this long after a replica interrupted a
/// stream.
const FAILED_SUSPECT_TIME: Duration = Duration::from_millis(1_000);

/// Time without an event after which a resumable stream continues at another
/// replica. Clients disconnect after two seconds or more, and the other replica
/// has to process the prompt first; healthy streams pause for some hundred ms.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

quick_error! {
    /// Why a client's stream is cut off. The connection then closes without the
    /// end of the response, so that it can't be mistaken for a complete one.
    #[derive(Debug)]
    pub enum RelayError {
        /// The connection to the replica failed.
        Connection(err: hyper::Error) {
            display("the replica disconnected: {err}")
        }
        /// The replica's response ended in the middle of an event.
        Truncated {
            display("the response ended in the middle of an event")
        }
        /// The replica sent no event for too long.
        Stalled {
            display("the replica sent no event in time")
        }
        /// The replica repeated an event instead of continuing after the last
        /// one.
        Repeated(err: Repeated) {
            from()
            display("{err}")
        }
        /// The stream is longer than the turn allows. The turn is not recorded.
        TooLong {
            display("the stream is longer than the turn allows")
        }
        /// The stream is one of the largest while the memory budget for buffered
        /// responses is used up. The turn is not recorded.
        OverBudget {
            display("the memory budget for buffered responses is used up")
        }
        /// The deadline passed.
        DeadlineExceeded {
            display("the deadline passed")
        }
        /// The turn could not be recorded in the ledger.
        NotRecorded(err: gg_ledger::LedgerError) {
            display("the turn could not be recorded in the ledger: {err}")
        }
    }
}

/// Settles the spent tokens of a turn when it ends, however it ends.
pub(crate) struct Settlement<D: Deployment> {
    state: Arc<State<D>>,
    job: Arc<Job>,
    /// Events relayed to the client.
    events: EventCount,
    /// Replica that runs the turn, once its response has begun.
    upstream: Option<Name>,
    is_settled: bool,
}

impl<D: Deployment> Settlement<D> {
    pub(crate) fn new(state: Arc<State<D>>, job: Arc<Job>) -> Self {
        Settlement { state, job, events: EventCount::default(), upstream: None, is_settled: false }
    }

    /// Reports the spent tokens of the turn to the ledger, once.
    fn settle(&mut self) {
        if !mem::replace(&mut self.is_settled, true) {
            let run = self.last_run();
            self.state.ledger.settle(&self.job.turn_key(), self.tokens(), run);
        }
    }

    /// Replica that has the prompt of the turn's conversation branch in its
    /// cache, on routes where no record of the turn names it.
    fn last_run(&mut self) -> Option<LastRun> {
        let branch = self.job.envelope.session.clone().filter(|_| !self.job.route.stores_turns)?;
        Some(LastRun { branch, upstream: self.upstream.take()? })
    }

    /// Tokens relayed to the client.
    fn tokens(&self) -> u32 {
        self.events.complete().saturating_mul(self.job.service.event_tokens)
    }

    /// Maximum number of events of the turn, if known: as many as its reserved
    /// tokens allow, and one for the end.
    fn events_max(&self) -> Option<u64> {
        let (max_output, event_tokens) =
            (self.job.envelope.max_output, self.job.service.event_tokens);
        (max_output > 0 && event_tokens > 0)
            .then(|| max_output.div_ceil(u64::from(event_tokens)) + 1)
    }
}

impl<D: Deployment> Drop for Settlement<D> {
    fn drop(&mut self) {
        self.settle();
    }
}

/// A stream while it is relayed.
pub(crate) struct Relay<D: Deployment> {
    settlement: Settlement<D>,
    /// `None` while the stream moves to another replica; dropping it closes the
    /// connection to the former one.
    events: Option<Incoming>,
    lease: Option<Lease<D>>,
    headers: HeaderMap,
    upstream: Name,
    /// Set if the stream may continue at another replica.
    resume: Option<Resume>,
    /// Splits a resumable stream, of which only complete events are relayed.
    splitter: EventSplitter,
    /// All relayed pieces, on routes that record turns.
    relayed: Pieces,
    reservation: Reservation,
    started_at: Instant,
    /// History recorded with another program, which is recorded again with this
    /// turn.
    whole_history: Option<Bytes>,
    /// When the first event arrived.
    first_event: Option<Instant>,
    has_ended: bool,
}

impl<D: Deployment> Relay<D> {
    pub(crate) fn new(
        settlement: Settlement<D>,
        sent: Sent<D>,
        started_at: Instant,
        whole_history: Option<Bytes>,
        resume: Option<Resume>,
    ) -> Self {
        let (head, events) = sent.response.into_parts();
        Relay {
            reservation: settlement.state.buffer_budget.reservation(),
            settlement,
            events: Some(events),
            upstream: sent.lease.replica().upstream.id.name.clone(),
            lease: Some(sent.lease),
            headers: head.headers,
            resume,
            splitter: EventSplitter::default(),
            relayed: Pieces::default(),
            started_at,
            whole_history,
            first_event: None,
            has_ended: false,
        }
    }

    /// Returns the next piece; `None` once the turn is recorded.
    async fn next(&mut self) -> Result<Option<Bytes>, RelayError> {
        loop {
            match self.read().await {
                Ok(None) => break,
                Ok(Some(data)) => {
                    self.record_piece(&data)?;
                    return Ok(Some(data));
                }
                Err(err) => self.fail_over(err).await?,
            }
        }
        if let Some(lease) = self.lease.take() {
            lease.release(&self.headers);
        }
        if let Some(first_event) = self.first_event {
            let settlement = &self.settlement;
            record_event_interval(
                &settlement.state,
                &settlement.job,
                settlement.events.complete(),
                first_event.elapsed(),
            );
        }
        self.record_turn().await?;
        Ok(None)
    }

    /// Reads the next bytes to relay; `None` at the end of the stream.
    async fn read(&mut self) -> Result<Option<Bytes>, RelayError> {
        let deadline = self.settlement.job.deadline;
        let is_split = self.resume.is_some();
        let may_fail_over = self.resume.as_ref().is_some_and(|resume| resume.attempts.may_repeat());
        // Bytes that complete no event don't count as progress.
        let stall_limit = Instant::now() + STALL_TIMEOUT;
        let limit = if may_fail_over { deadline.min(stall_limit) } else { deadline };
        loop {
            let Some(events) = &mut self.events else { return Err(RelayError::Truncated) };
            let Ok(frame) = time::timeout_at(limit, events.frame()).await else {
                return Err(if limit < deadline {
                    RelayError::Stalled
                } else {
                    RelayError::DeadlineExceeded
                });
            };
            match frame {
                None if self.is_truncated() => return Err(RelayError::Truncated),
                None => return Ok(None),
                Some(Err(err)) => return Err(RelayError::Connection(err)),
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    if !is_split {
                        return Ok(Some(data));
                    }
                    let complete = self.splitter.push(&data)?;
                    if !complete.is_empty() {
                        return Ok(Some(complete));
                    }
                    if self.splitter.partial_bytes() > EVENT_MAX_BYTES {
                        return Err(RelayError::TooLong);
                    }
                }
            }
        }
    }

    /// Whether there is a partial event.
    fn is_truncated(&self) -> bool {
        self.splitter.has_partial() || self.settlement.events.partial_bytes() > 0
    }

    /// Continues at another replica after the last relayed event, if that is
    /// allowed; otherwise returns why the stream ends.
    async fn fail_over(&mut self, err: RelayError) -> Result<(), RelayError> {
        use RelayError::{Connection, Repeated, Stalled, Truncated};
        let is_broken = matches!(err, Connection(_) | Truncated | Stalled | Repeated(_));
        let Some(resume) = self.resume.as_mut().filter(|_| is_broken) else { return Err(err) };
        let (state, job) = (self.settlement.state.clone(), self.settlement.job.clone());
        log::warn!(
            "event=stream_broke request={} replica={} reason={err}",
            job.id(),
            self.upstream
        );
        // Dropping the events and the lease closes the connection, which ends
        // the former run.
        self.events = None;
        if let Some(lease) = self.lease.take() {
            lease.replica().mark_suspect(FAILED_SUSPECT_TIME);
        }
        self.splitter.drop_partial();
        let Some(sent) = resume.fail_over(&state, &job, self.splitter.last_id()).await else {
            return Err(err);
        };
        let (head, events) = sent.response.into_parts();
        self.upstream = sent.lease.replica().upstream.id.name.clone();
        self.settlement.upstream = Some(self.upstream.clone());
        self.lease = Some(sent.lease);
        self.headers = head.headers;
        self.events = Some(events);
        Ok(())
    }

    /// Checks and records a piece before it is relayed.
    fn record_piece(&mut self, data: &Bytes) -> Result<(), RelayError> {
        if self.first_event.is_none() {
            self.first_event = Some(Instant::now());
            if let Some(lease) = &self.lease {
                let replica = lease.replica();
                replica.record_delay(self.started_at.elapsed().as_secs_f64() * 1e3);
                let (settlement, prefill) = (&self.settlement, lease.place.prefill);
                let service = settlement.state.fleet.service(&settlement.job.service.name);
                let delay = self.started_at.elapsed();
                pacing::record_answer(service.as_ref(), replica, delay, prefill);
                record_delay(
                    &settlement.state,
                    &settlement.job,
                    self.started_at.elapsed(),
                    prefill,
                );
                let job = &self.settlement.job;
                replica.record_prompt(job.prompt(), &job.service, settlement.state.gateways());
                self.settlement.upstream = Some(replica.upstream.id.name.clone());
            }
        }
        let mut events = self.settlement.events;
        events.add(data);
        let is_over_limit =
            self.settlement.events_max().is_some_and(|max| u64::from(events.complete()) > max);
        if is_over_limit || events.partial_bytes() > EVENT_MAX_BYTES {
            return Err(RelayError::TooLong);
        }
        if self.settlement.job.route.stores_turns {
            let has_room = self.reservation.grow(data.len());
            if self.reservation.reserved() > TURN_MAX_BYTES {
                return Err(RelayError::TooLong);
            }
            if !has_room {
                return Err(RelayError::OverBudget);
            }
            self.relayed.push(data);
        }
        self.settlement.events = events;
        Ok(())
    }

    /// Records the turn in the ledger; it takes effect from then on. On routes
    /// that don't record turns, only the spent tokens are settled.
    async fn record_turn(&mut self) -> Result<(), RelayError> {
        let job = self.settlement.job.clone();
        if !job.route.stores_turns {
            // Settled before the client sees the end: its next turn may arrive
            // at any gateway, and all reserved tokens count as spent until the
            // ledger has the report.
            self.settlement.settle();
            return Ok(());
        }
        let (previous, history) = match &self.whole_history {
            None => (job.previous(), Bytes::new()),
            Some(history) => (None, history.clone()),
        };
        let input = [&history].into_iter().chain(job.body.iter());
        let record = TurnRecord {
            turn: job.owned(job.id()),
            previous,
            text: turn_text(input, &mem::take(&mut self.relayed).join()),
            upstream: self.upstream.clone(),
            keep_ms: job.route.retention.as_millis(),
        };
        let tokens = Some(self.settlement.tokens());
        let started_at = Instant::now();
        let state = self.settlement.state.clone();
        let recorded = state.ledger.close(&job.turn_key(), tokens, record).await;
        let result = if recorded.is_ok() { "ok" } else { "failed" };
        let micros = started_at.elapsed().as_micros() as u64;
        state.metrics.time("ledger_close", micros, &[("result", result)]);
        recorded.map_err(RelayError::NotRecorded)?;
        self.settlement.is_settled = true;
        Ok(())
    }

    fn log_end(&self, error: Option<&RelayError>) {
        let job = &self.settlement.job;
        let (id, events) = (job.id(), self.settlement.events.complete());
        let ms = job.started_at.elapsed().as_millis();
        let result = match error {
            None => "whole",
            Some(RelayError::Connection(_) | RelayError::Truncated) => "replica_broke_off",
            Some(RelayError::Stalled) => "stalled",
            Some(RelayError::Repeated(_)) => "repeated",
            Some(RelayError::DeadlineExceeded) => "late",
            Some(RelayError::TooLong) => "endless",
            Some(RelayError::OverBudget) => "over_budget",
            Some(RelayError::NotRecorded(_)) => "unkept",
        };
        let metrics = &self.settlement.state.metrics;
        metrics.count("streams", &[("result", result)]);
        metrics.time("stream", job.started_at.elapsed().as_micros() as u64, &[("result", result)]);
        match error {
            None => log::info!("event=streamed request={id} events={events} ms={ms}"),
            Some(err) => {
                let is_broken = matches!(err, RelayError::Connection(_) | RelayError::TooLong);
                if let Some(lease) = self.lease.as_ref().filter(|_| is_broken) {
                    lease.replica().mark_suspect(FAILED_SUSPECT_TIME);
                }
                log::warn!(
                    "event=stream_cut request={id} replica={} events={events} ms={ms} reason={err}",
                    self.upstream
                );
            }
        }
    }
}

impl<D: Deployment> Drop for Relay<D> {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        let job = &self.settlement.job;
        let (id, events) = (job.id(), self.settlement.events.complete());
        let ms = job.started_at.elapsed().as_millis();
        self.settlement.state.metrics.count("streams", &[("result", "client_left")]);
        log::info!(
            "event=client_left request={id} replica={} events={events} ms={ms}",
            self.upstream
        );
    }
}

/// The body stream of the client's response.
pub(crate) fn relay<D: Deployment>(
    relay: Relay<D>,
) -> impl Stream<Item = Result<Frame<Bytes>, RelayError>> + Send + use<D> {
    stream::unfold(relay, async |mut relay| {
        if relay.has_ended {
            return None;
        }
        let piece = match relay.next().await {
            Ok(Some(data)) => Ok(Frame::data(data)),
            Ok(None) => {
                relay.has_ended = true;
                relay.log_end(None);
                return None;
            }
            Err(err) => {
                relay.has_ended = true;
                relay.log_end(Some(&err));
                Err(err)
            }
        };
        Some((piece, relay))
    })
}

/// What a turn adds to the history: its input, then the data of each event
/// followed by a line feed.
fn turn_text<'a>(input: impl Iterator<Item = &'a Bytes> + Clone, events: &[u8]) -> Bytes {
    let input_bytes: usize = input.clone().map(Bytes::len).sum();
    let mut text = BytesMut::with_capacity(input_bytes + events.len());
    input.for_each(|block| text.extend_from_slice(block));
    for line in events.split(|byte| *byte == b'\n') {
        if let Some(data) = line.strip_prefix(b"data:") {
            text.extend_from_slice(data.strip_prefix(b" ").unwrap_or(data));
            text.extend_from_slice(b"\n");
        }
    }
    text.freeze()
}
