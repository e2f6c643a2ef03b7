//! Passes a replica's events on as they come, and ends the client's stream
//! only when the turn is on enough disks.

use std::{sync::Arc, time::Duration};

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
    EventCount, Repeated, Room, WholeEvents,
    admit::{note_delay, note_pace},
    proxy::Job,
    resume::Resume,
    send::{Lease, Sent},
    state::State,
};

/// Largest event of a stream, in bytes; they have some hundred.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// Largest answer of a turn that is kept, in bytes: twice the 280,000 tokens
/// that a whole program may have.
const TURN_MAX_BYTES: usize = 2 << 20;

/// Others go first for this long after a replica broke a stream off.
const FAILED_TIME: Duration = Duration::from_millis(1_000);

/// Time without an event after which a stream that may be resumed goes on
/// elsewhere. Clients leave after two seconds or more, and another replica
/// reads the prompt first; sound streams pause for some hundred ms.
const STALL_TIME: Duration = Duration::from_millis(1_500);

quick_error! {
    /// Why a client's stream is cut off. The connection then ends without
    /// the end of the answer, so that it never looks whole.
    #[derive(Debug)]
    pub enum RelayError {
        /// The replica broke off.
        Replica(err: hyper::Error) {
            display("the replica broke off: {err}")
        }
        /// The replica broke off in the middle of an event.
        Torn {
            display("the replica broke off in the middle of an event")
        }
        /// The replica sent nothing for too long.
        Stalled {
            display("the replica went silent")
        }
        /// The replica did not go on after the last event.
        Repeated(err: Repeated) {
            from()
            display("{err}")
        }
        /// More came than the turn can have: no answer, and not to be kept.
        Endless {
            display("more came than the turn can have")
        }
        /// The deadline passed.
        Late {
            display("the deadline passed")
        }
        /// The turn could not be kept.
        Unkept(err: gg_ledger::LedgerError) {
            display("the turn could not be kept: {err}")
        }
    }
}

/// Settles what a turn spent when it ends, however it does.
pub(crate) struct Settle<D: Deployment> {
    state: Arc<State<D>>,
    job: Arc<Job>,
    /// Events handed to the client.
    events: EventCount,
    /// Replica that runs it, once its answer has begun.
    upstream: Option<Name>,
    is_settled: bool,
}

impl<D: Deployment> Settle<D> {
    pub(crate) fn new(state: Arc<State<D>>, job: Arc<Job>) -> Self {
        Settle { state, job, events: EventCount::default(), upstream: None, is_settled: false }
    }

    /// Tells what the turn spent; once.
    fn tell(&mut self) {
        if !std::mem::replace(&mut self.is_settled, true) {
            let run = self.last_run();
            self.state.ledger.settle(&self.job.turn_key(), self.tokens(), run);
        }
    }

    /// Which replica keeps the prompt of the turn's line, where no record of
    /// the turn tells.
    fn last_run(&mut self) -> Option<LastRun> {
        let line = self.job.envelope.session.clone().filter(|_| !self.job.route.keeps_turns)?;
        Some(LastRun { line, upstream: self.upstream.take()? })
    }

    /// Tokens handed to the client.
    fn tokens(&self) -> u32 {
        self.events.whole().saturating_mul(self.job.service.event_tokens)
    }

    /// Most events that the turn may have, if that is known: what was set aside
    /// for it, and one for the end.
    fn events_max(&self) -> Option<u64> {
        let (most, each) = (self.job.envelope.output_max, self.job.service.event_tokens);
        (most > 0 && each > 0).then(|| most.div_ceil(u64::from(each)) + 1)
    }
}

impl<D: Deployment> Drop for Settle<D> {
    fn drop(&mut self) {
        self.tell();
    }
}

/// A stream on its way through.
pub(crate) struct Relay<D: Deployment> {
    settle: Settle<D>,
    /// None while another replica is asked to go on: the former one's
    /// connection ends with its events.
    events: Option<Incoming>,
    lease: Option<Lease<D>>,
    headers: HeaderMap,
    upstream: Name,
    /// Set if the stream may go on at another replica.
    resume: Option<Resume>,
    /// Only whole events are passed on of a stream that may be resumed.
    cut: WholeEvents,
    /// All pieces passed on, on routes that keep turns.
    passed: Vec<Bytes>,
    room: Room,
    began: Instant,
    /// History that is kept with another program, and now with this turn too.
    foreign: Option<Bytes>,
    /// When the first event came.
    first: Option<Instant>,
    is_over: bool,
}

impl<D: Deployment> Relay<D> {
    pub(crate) fn new(
        settle: Settle<D>,
        sent: Sent<D>,
        began: Instant,
        foreign: Option<Bytes>,
        resume: Option<Resume>,
    ) -> Self {
        let (head, events) = sent.response.into_parts();
        Relay {
            room: settle.state.held.room(),
            settle,
            events: Some(events),
            upstream: sent.lease.replica().upstream.id.name.clone(),
            lease: Some(sent.lease),
            headers: head.headers,
            resume,
            cut: WholeEvents::default(),
            passed: Vec::new(),
            began,
            foreign,
            first: None,
            is_over: false,
        }
    }

    /// The next piece; `None` once the turn is kept.
    async fn next(&mut self) -> Result<Option<Bytes>, RelayError> {
        loop {
            match self.read().await {
                Ok(None) => break,
                Ok(Some(data)) => {
                    self.note(&data)?;
                    return Ok(Some(data));
                }
                Err(err) => self.go_on(err).await?,
            }
        }
        if let Some(lease) = self.lease.take() {
            lease.keep(&self.headers);
        }
        if let Some(first) = self.first {
            let settle = &self.settle;
            note_pace(&settle.state, &settle.job, settle.events.whole(), first.elapsed());
        }
        self.keep().await?;
        Ok(None)
    }

    /// The next bytes to pass on; `None` at the stream's end.
    async fn read(&mut self) -> Result<Option<Bytes>, RelayError> {
        let deadline = self.settle.job.deadline;
        let is_cut = self.resume.is_some();
        let may_go_on = self.resume.as_ref().is_some_and(|resume| resume.tries.may_repeat());
        // Bytes that end no event are no progress.
        let stall = Instant::now() + STALL_TIME;
        let limit = if may_go_on { deadline.min(stall) } else { deadline };
        loop {
            let Some(events) = &mut self.events else { return Err(RelayError::Torn) };
            let Ok(frame) = time::timeout_at(limit, events.frame()).await else {
                return Err(if limit < deadline { RelayError::Stalled } else { RelayError::Late });
            };
            match frame {
                None if self.is_torn() => return Err(RelayError::Torn),
                None => return Ok(None),
                Some(Err(err)) => return Err(RelayError::Replica(err)),
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    if !is_cut {
                        return Ok(Some(data));
                    }
                    let whole = self.cut.take(&data)?;
                    if !whole.is_empty() {
                        return Ok(Some(whole));
                    }
                    if self.cut.open_bytes() > EVENT_MAX_BYTES {
                        return Err(RelayError::Endless);
                    }
                }
            }
        }
    }

    /// Whether an event has begun that is not whole.
    fn is_torn(&self) -> bool {
        self.cut.has_open() || self.settle.events.open_bytes() > 0
    }

    /// Goes on at another replica after the last event that was passed on, if
    /// that is allowed; else returns why the stream ends.
    async fn go_on(&mut self, err: RelayError) -> Result<(), RelayError> {
        use RelayError::{Repeated, Replica, Stalled, Torn};
        let is_broken = matches!(err, Replica(_) | Torn | Stalled | Repeated(_));
        let Some(resume) = self.resume.as_mut().filter(|_| is_broken) else { return Err(err) };
        let (state, job) = (self.settle.state.clone(), self.settle.job.clone());
        log::warn!(
            "event=stream_broke request={} replica={} reason={err}",
            job.id(),
            self.upstream
        );
        // The connection ends with its events and the lease, and the former
        // run with it.
        self.events = None;
        if let Some(lease) = self.lease.take() {
            lease.replica().suspect(FAILED_TIME);
        }
        self.cut.drop_open();
        let Some(sent) = resume.go_on(&state, &job, self.cut.last()).await else {
            return Err(err);
        };
        let (head, events) = sent.response.into_parts();
        self.upstream = sent.lease.replica().upstream.id.name.clone();
        self.settle.upstream = Some(self.upstream.clone());
        self.lease = Some(sent.lease);
        self.headers = head.headers;
        self.events = Some(events);
        Ok(())
    }

    /// Takes in a piece before it is passed on.
    fn note(&mut self, data: &Bytes) -> Result<(), RelayError> {
        if self.first.is_none() {
            self.first = Some(Instant::now());
            if let Some(lease) = &self.lease {
                let replica = lease.replica();
                replica.note_delay(self.began.elapsed().as_secs_f64() * 1e3);
                let (settle, reading) = (&self.settle, lease.place.reading);
                note_delay(&settle.state, &settle.job, self.began.elapsed(), reading);
                let job = &self.settle.job;
                replica.note_read(job.prompt(), &job.service, settle.state.gateways());
                self.settle.upstream = Some(replica.upstream.id.name.clone());
            }
        }
        let mut events = self.settle.events;
        events.take(data);
        let is_beyond = self.settle.events_max().is_some_and(|max| u64::from(events.whole()) > max);
        if is_beyond || events.open_bytes() > EVENT_MAX_BYTES {
            return Err(RelayError::Endless);
        }
        if self.settle.job.route.keeps_turns {
            if !self.room.take(data.len()) || self.room.taken() > TURN_MAX_BYTES {
                return Err(RelayError::Endless);
            }
            self.passed.push(data.clone());
        }
        self.settle.events = events;
        Ok(())
    }

    /// Has the turn kept; it counts from then on.
    async fn keep(&mut self) -> Result<(), RelayError> {
        let job = self.settle.job.clone();
        if !job.route.keeps_turns {
            // Before the client sees the end: its next turn may come to any
            // gateway, and until this is heard the most that was set aside
            // counts.
            self.settle.tell();
            return Ok(());
        }
        let (previous, input) = match &self.foreign {
            None => (job.envelope.turn.previous.clone(), job.body.clone()),
            Some(history) => (None, [history.as_ref(), &job.body].concat().into()),
        };
        let record = TurnRecord {
            turn: job.id().clone(),
            previous,
            text: turn_text(&input, &self.passed.concat()),
            upstream: self.upstream.clone(),
            keep_ms: job.route.retention.as_millis(),
        };
        let tokens = Some(self.settle.tokens());
        let began = Instant::now();
        let state = self.settle.state.clone();
        let kept = state.ledger.close(&job.turn_key(), tokens, record).await;
        let result = if kept.is_ok() { "ok" } else { "failed" };
        let micros = began.elapsed().as_micros() as u64;
        state.metrics.time("ledger_close", micros, &[("result", result)]);
        kept.map_err(RelayError::Unkept)?;
        self.settle.is_settled = true;
        Ok(())
    }

    fn log_end(&self, error: Option<&RelayError>) {
        let job = &self.settle.job;
        let (id, events) = (job.id(), self.settle.events.whole());
        let ms = job.began.elapsed().as_millis();
        let result = match error {
            None => "whole",
            Some(RelayError::Replica(_) | RelayError::Torn) => "replica_broke_off",
            Some(RelayError::Stalled) => "stalled",
            Some(RelayError::Repeated(_)) => "repeated",
            Some(RelayError::Late) => "late",
            Some(RelayError::Endless) => "endless",
            Some(RelayError::Unkept(_)) => "unkept",
        };
        let metrics = &self.settle.state.metrics;
        metrics.count("streams", &[("result", result)]);
        metrics.time("stream", job.began.elapsed().as_micros() as u64, &[("result", result)]);
        match error {
            None => log::info!("event=streamed request={id} events={events} ms={ms}"),
            Some(err) => {
                let is_broken = matches!(err, RelayError::Replica(_) | RelayError::Endless);
                if let Some(lease) = self.lease.as_ref().filter(|_| is_broken) {
                    lease.replica().suspect(FAILED_TIME);
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
        if self.is_over {
            return;
        }
        let job = &self.settle.job;
        let (id, events) = (job.id(), self.settle.events.whole());
        let ms = job.began.elapsed().as_millis();
        self.settle.state.metrics.count("streams", &[("result", "client_left")]);
        log::info!(
            "event=client_left request={id} replica={} events={events} ms={ms}",
            self.upstream
        );
    }
}

/// The stream that the client's answer is made of.
pub(crate) fn relay<D: Deployment>(
    relay: Relay<D>,
) -> impl Stream<Item = Result<Frame<Bytes>, RelayError>> + Send + use<D> {
    stream::unfold(relay, async |mut relay| {
        if relay.is_over {
            return None;
        }
        let piece = match relay.next().await {
            Ok(Some(data)) => Ok(Frame::data(data)),
            Ok(None) => {
                relay.is_over = true;
                relay.log_end(None);
                return None;
            }
            Err(err) => {
                relay.is_over = true;
                relay.log_end(Some(&err));
                Err(err)
            }
        };
        Some((piece, relay))
    })
}

/// What a turn adds to the chain: its input, then the data of each event and
/// a line feed.
fn turn_text(input: &Bytes, events: &[u8]) -> Bytes {
    let mut text = BytesMut::with_capacity(input.len() + events.len());
    text.extend_from_slice(input);
    for line in events.split(|byte| *byte == b'\n') {
        if let Some(data) = line.strip_prefix(b"data:") {
            text.extend_from_slice(data.strip_prefix(b" ").unwrap_or(data));
            text.extend_from_slice(b"\n");
        }
    }
    text.freeze()
}
