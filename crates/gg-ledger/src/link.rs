//! A connection to one ledger instance that many calls share.

use std::{
    collections::HashMap,
    io,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use gg_http::connect_socket;
use tokio::{
    net::TcpStream,
    sync::{mpsc, oneshot},
    time,
};
use tokio_util::codec::{FramedRead, FramedWrite};

use crate::{
    LedgerError, Member,
    node::lock,
    protocol::{
        Answer, FrameReader, FrameWriter, Op, Reply, Request, codec, decode, encode, write_frames,
    },
};

/// Longest wait for a connection; instances are a few ms away.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Calls that may wait to be written.
const CALLS_MAX: usize = 512;

/// First and longest pause before another connection is tried.
const RECONNECT_DELAYS: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(500));

/// A call without an answer for this long means that the instance is slow, or
/// cut off: syncs take a few ms, ways too.
const SLOW_THRESHOLD: Duration = Duration::from_millis(250);

/// An instance that stayed slow for this long is connected anew.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time between two looks for unanswered calls; a slow instance is also asked
/// each time whether it is back.
const SLOW_CHECK_INTERVAL: Duration = Duration::from_millis(125);

/// Number of calls whose answer only shows that the instance is back.
const PING_ID: u64 = 0;

/// Partition that a call is meant for, and its epoch as the caller knows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scope {
    pub(crate) partition: u16,
    pub(crate) epoch: u64,
}

/// How far a client and an instance know what the other one knows of crashes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CrashCursor {
    /// Start of the instance's process.
    pub(crate) incarnation: u64,
    /// Number of its last fact that was heard.
    pub(crate) received: u64,
    /// Number of our last fact that it has taken in.
    pub(crate) sent: u64,
}

/// A link to one member; reconnects while it lives.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) member: Member,
    is_up: AtomicBool,
    /// Since when the instance leaves calls without an answer.
    slow_since: Mutex<Option<Instant>>,
    /// When the instance last answered.
    last_reply: Mutex<Instant>,
    /// Longest time without a ping, on links that watch an instance.
    heartbeat: Option<Duration>,
    next: AtomicU64,
    calls: mpsc::Sender<Bytes>,
    pending: Mutex<HashMap<u64, Pending>>,
    cursor: Mutex<CrashCursor>,
}

#[derive(Debug)]
struct Pending {
    since: Instant,
    answer: oneshot::Sender<Answer>,
}

impl Link {
    /// A link and the receiver that [`Link::run`] takes.
    pub(crate) fn new(member: Member) -> (Self, mpsc::Receiver<Bytes>) {
        let (calls, queued) = mpsc::channel(CALLS_MAX);
        let link = Link {
            member,
            is_up: AtomicBool::new(false),
            slow_since: Mutex::default(),
            last_reply: Mutex::new(Instant::now()),
            heartbeat: None,
            next: AtomicU64::new(1),
            calls,
            pending: Mutex::default(),
            cursor: Mutex::default(),
        };
        (link, queued)
    }

    /// A link that asks again and again whether the instance is there.
    pub(crate) fn with_heartbeat(
        member: Member,
        heartbeat: Duration,
    ) -> (Self, mpsc::Receiver<Bytes>) {
        let (link, queued) = Link::new(member);
        (Link { heartbeat: Some(heartbeat), ..link }, queued)
    }

    /// Whether the instance is connected.
    pub(crate) fn is_up(&self) -> bool {
        self.is_up.load(Ordering::Relaxed)
    }

    /// Whether the instance is connected and answers in time.
    pub(crate) fn is_usable(&self) -> bool {
        self.is_up() && lock(&self.slow_since).is_none()
    }

    /// Notes whether the instance answers in time.
    fn set_slow(&self, is_slow: bool) {
        let mut since = lock(&self.slow_since);
        match (is_slow, *since) {
            (true, None) => {
                *since = Some(Instant::now());
                log::info!("event=ledger_slow instance={}", self.member.instance);
            }
            (false, Some(at)) => {
                *since = None;
                let ms = at.elapsed().as_millis();
                log::info!("event=ledger_answers instance={} slow_ms={ms}", self.member.instance);
            }
            _ => {}
        }
    }

    /// How far crashes were exchanged.
    pub(crate) fn cursor(&self) -> CrashCursor {
        *lock(&self.cursor)
    }

    pub(crate) fn set_cursor(&self, cursor: CrashCursor) {
        *lock(&self.cursor) = cursor;
    }

    /// Time since the instance last answered, or since the link was made.
    pub(crate) fn silence(&self) -> Duration {
        lock(&self.last_reply).elapsed()
    }

    /// Sends a call and waits for its answer; the caller limits the time.
    pub(crate) async fn call(&self, scope: Scope, op: Op) -> Result<Answer, LedgerError> {
        let (answer, answered) = oneshot::channel();
        let id = self.send(scope, op, Some(answer))?;
        let _guard = PendingGuard { link: self, id };
        answered.await.map_err(|_| LedgerError::Disconnected)
    }

    /// Sends a call whose answer doesn't matter.
    pub(crate) fn notify(&self, scope: Scope, op: Op) {
        // A member that is away learns of it from the others when it copies.
        let _ = self.send(scope, op, None);
    }

    fn send(
        &self,
        scope: Scope,
        op: Op,
        answer: Option<oneshot::Sender<Answer>>,
    ) -> Result<u64, LedgerError> {
        if !self.is_up() {
            return Err(LedgerError::Disconnected);
        }
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let Scope { partition, epoch } = scope;
        let request = encode(&Request { id, partition, epoch, disk: self.member.disk, op });
        if let Some(answer) = answer {
            let pending = Pending { since: Instant::now(), answer };
            lock(&self.pending).insert(id, pending);
        }
        if self.calls.try_send(request).is_err() {
            lock(&self.pending).remove(&id);
            return Err(LedgerError::Disconnected);
        }
        Ok(id)
    }

    /// Keeps the link connected until dropped.
    pub(crate) async fn run(&self, mut queued: mpsc::Receiver<Bytes>) {
        let mut delay = RECONNECT_DELAYS.0;
        loop {
            match connect_socket(self.member.address, CONNECT_TIMEOUT).await {
                Ok(socket) => {
                    let result = self.exchange(socket, &mut queued).await;
                    if self.disconnect() {
                        delay = RECONNECT_DELAYS.0;
                        log::warn!(
                            "event=ledger_lost instance={} reason={:?}",
                            self.member.instance,
                            result.err()
                        );
                    }
                }
                Err(err) => {
                    log::debug!(
                        "event=ledger_unreachable instance={} error={err}",
                        self.member.instance
                    );
                }
            }
            time::sleep(delay).await;
            delay = (delay * 2).min(RECONNECT_DELAYS.1);
        }
    }

    /// Ends all calls under way; returns whether the instance was connected.
    pub(crate) fn disconnect(&self) -> bool {
        let was_up = self.is_up.swap(false, Ordering::Relaxed);
        *lock(&self.slow_since) = None;
        lock(&self.pending).clear();
        was_up
    }

    async fn exchange(
        &self,
        socket: TcpStream,
        queued: &mut mpsc::Receiver<Bytes>,
    ) -> io::Result<()> {
        let (reader, writer) = socket.into_split();
        let mut reader = FramedRead::new(reader, codec());
        let mut writer = FramedWrite::new(writer, codec());
        self.verify_disk(&mut reader, &mut writer).await?;
        while queued.try_recv().is_ok() {}
        self.is_up.store(true, Ordering::Relaxed);
        log::info!("event=ledger_connected instance={}", self.member.instance);
        // Idle links need no wake-ups: hundreds of clients have one to each
        // instance.
        let mut slow_timer = delayed_interval(SLOW_CHECK_INTERVAL);
        let mut ping_timer = delayed_interval(self.heartbeat.unwrap_or(SILENCE_TIMEOUT));
        loop {
            tokio::select! {
                frame = reader.next() => match frame {
                    None => return Err(io::ErrorKind::UnexpectedEof.into()),
                    Some(frame) => self.handle_reply(&frame?)?,
                },
                call = queued.recv() => {
                    let Some(call) = call else { return Ok(()) };
                    let writing = write_frames(&mut writer, call, queued);
                    time::timeout(SILENCE_TIMEOUT, writing).await??;
                }
                _ = slow_timer.tick(), if self.is_waiting() => {
                    if self.check_silence()? {
                        self.ping(&mut writer).await?;
                    }
                }
                _ = ping_timer.tick(), if self.heartbeat.is_some() => {
                    if self.is_ping_due() {
                        self.ping(&mut writer).await?;
                    }
                }
            }
        }
    }

    async fn ping(&self, writer: &mut FrameWriter) -> io::Result<()> {
        time::timeout(SILENCE_TIMEOUT, writer.send(self.encode_ping())).await?
    }

    /// Whether calls have no answer yet, or the instance is slow.
    fn is_waiting(&self) -> bool {
        !lock(&self.pending).is_empty() || lock(&self.slow_since).is_some()
    }

    fn handle_reply(&self, frame: &bytes::BytesMut) -> io::Result<()> {
        let reply: Reply = decode(frame).map_err(io::Error::other)?;
        self.set_slow(false);
        *lock(&self.last_reply) = Instant::now();
        if let Some(pending) = lock(&self.pending).remove(&reply.id) {
            // The caller may have stopped waiting.
            let _ = pending.answer.send(reply.answer);
        }
        Ok(())
    }

    /// Whether the instance is slow; an error if it has been for too long.
    fn check_silence(&self) -> io::Result<bool> {
        let now = Instant::now();
        let is_late = |pending: &Pending| now.duration_since(pending.since) > SLOW_THRESHOLD;
        if lock(&self.pending).values().any(is_late) {
            self.set_slow(true);
        }
        match *lock(&self.slow_since) {
            Some(since) if now.duration_since(since) > SILENCE_TIMEOUT => {
                Err(io::ErrorKind::TimedOut.into())
            }
            since => Ok(since.is_some()),
        }
    }

    /// Makes sure that the right disk answers before calls are sent: an
    /// instance that lost its disk listens where it did.
    async fn verify_disk(
        &self,
        reader: &mut FrameReader,
        writer: &mut FrameWriter,
    ) -> io::Result<()> {
        let handshake = async {
            writer.send(self.encode_ping()).await?;
            reader.next().await.unwrap_or_else(|| Err(io::ErrorKind::UnexpectedEof.into()))
        };
        let frame = time::timeout(SILENCE_TIMEOUT, handshake).await??;
        match decode::<Reply>(&frame).map_err(io::Error::other)?.answer {
            Answer::Pong => {
                *lock(&self.last_reply) = Instant::now();
                Ok(())
            }
            other => Err(io::Error::other(format!("greeted with {other:?}"))),
        }
    }

    /// Whether a link that is kept for its heartbeat needs one.
    fn is_ping_due(&self) -> bool {
        self.heartbeat.is_some_and(|interval| self.silence() >= interval / 2)
    }

    fn encode_ping(&self) -> Bytes {
        let disk = self.member.disk;
        encode(&Request { id: PING_ID, partition: 0, epoch: 0, disk, op: Op::Ping })
    }
}

/// An interval that makes up for no missed ticks.
fn delayed_interval(period: Duration) -> time::Interval {
    let mut interval = time::interval(period);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    interval
}

/// Forgets a call whose caller went away.
struct PendingGuard<'a> {
    link: &'a Link,
    id: u64,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        let removed = lock(&self.link.pending).remove(&self.id);
        if removed.is_some_and(|pending| pending.since.elapsed() > SLOW_THRESHOLD) {
            self.link.set_slow(true);
        }
    }
}
