//! Connection to one ledger instance, shared by many calls.

use std::{
    collections::HashMap,
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
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
        FRAME_MAX_BYTES, FrameReader, FrameWriter, Op, ReplyBody, Request, codec, decode_reply,
        encode_request, write_frames,
    },
};

/// Timeout of a connection attempt. Instances are a few ms away.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Number of calls that may wait to be written.
const CALLS_MAX: usize = 512;

/// Bytes that may wait to be written, unless nothing else waits.
const CALLS_MAX_BYTES: usize = 4 << 20;

/// First and longest delay before reconnecting.
const RECONNECT_DELAYS: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(500));

/// An instance that leaves a call unanswered for this long is slow or
/// unreachable. Syncs and network trips take a few ms.
const SLOW_THRESHOLD: Duration = Duration::from_millis(250);

/// The connection to an instance that stays slow for this long is replaced.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval between checks for unanswered calls. A slow instance is also pinged
/// at each check.
const SLOW_CHECK_INTERVAL: Duration = Duration::from_millis(125);

/// Request number of pings, whose replies complete no call.
const PING_ID: u64 = 0;

/// Partition that a call addresses, and its epoch as known to the caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scope {
    pub(crate) partition: u16,
    pub(crate) epoch: u64,
}

impl Scope {
    /// Scope of requests that belong to no partition.
    pub(crate) const NO_PARTITION: Scope = Scope { partition: 0, epoch: 0 };
}

/// Progress of the crash fact exchange between a client and an instance.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CrashCursor {
    /// Incarnation of the instance.
    pub(crate) incarnation: u64,
    /// Serial of the last fact received from the instance.
    pub(crate) received: u64,
    /// Serial of our last fact that the instance has applied.
    pub(crate) sent: u64,
}

/// Link to one member. Reconnects until dropped.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) member: Member,
    is_up: AtomicBool,
    /// Since when the instance has left calls unanswered.
    slow_since: Mutex<Option<Instant>>,
    /// Time of the instance's last reply.
    last_reply: Mutex<Instant>,
    /// Interval at which an instance that sends no other replies is pinged, on
    /// links that monitor it.
    heartbeat: Option<Duration>,
    next: AtomicU64,
    calls: mpsc::Sender<Bytes>,
    /// Bytes of calls that were not written yet.
    waiting_bytes: Arc<AtomicUsize>,
    pending: Mutex<HashMap<u64, PendingCall>>,
    cursor: Mutex<CrashCursor>,
}

#[derive(Debug)]
struct PendingCall {
    since: Instant,
    reply: oneshot::Sender<ReplyBody>,
}

impl Link {
    /// Creates a link and the receiver to pass to [`Link::run`].
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
            waiting_bytes: Arc::default(),
            pending: Mutex::default(),
            cursor: Mutex::default(),
        };
        (link, queued)
    }

    /// Creates a link that pings the instance regularly.
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

    /// Whether the instance is connected and responds in time.
    pub(crate) fn is_usable(&self) -> bool {
        self.is_up() && lock(&self.slow_since).is_none()
    }

    /// Records whether the instance responds in time.
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

    /// Progress of the crash fact exchange.
    pub(crate) fn cursor(&self) -> CrashCursor {
        *lock(&self.cursor)
    }

    pub(crate) fn set_cursor(&self, cursor: CrashCursor) {
        *lock(&self.cursor) = cursor;
    }

    /// Time since the instance's last reply, or since the link was created.
    pub(crate) fn silence(&self) -> Duration {
        lock(&self.last_reply).elapsed()
    }

    /// Sends a call and waits for its reply. The caller sets the timeout.
    pub(crate) async fn call(&self, scope: Scope, op: Op) -> Result<ReplyBody, LedgerError> {
        let (reply, answered) = oneshot::channel();
        let id = self.send(scope, op, Some(reply))?;
        let _guard = PendingGuard { link: self, id };
        answered.await.map_err(|_| LedgerError::Disconnected)
    }

    /// Sends a call without waiting for its reply.
    pub(crate) fn notify(&self, scope: Scope, op: Op) {
        // An unreachable member receives the data from other members when it
        // copies the partition.
        let _ = self.send(scope, op, None);
    }

    fn send(
        &self,
        scope: Scope,
        op: Op,
        reply: Option<oneshot::Sender<ReplyBody>>,
    ) -> Result<u64, LedgerError> {
        if !self.is_up() {
            return Err(LedgerError::Disconnected);
        }
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let Scope { partition, epoch } = scope;
        let request = encode_request(&Request { id, partition, epoch, disk: self.member.disk, op });
        if request.len() > FRAME_MAX_BYTES {
            return Err(LedgerError::TooLong);
        }
        let waiting = self.waiting_bytes.fetch_add(request.len(), Ordering::Relaxed);
        let waiting_bytes = self.waiting_bytes.clone();
        let call = Bytes::from_owner(WaitingCall { frame: request, waiting_bytes });
        if waiting > 0 && waiting + call.len() > CALLS_MAX_BYTES {
            return Err(LedgerError::Disconnected);
        }
        if let Some(reply) = reply {
            let pending = PendingCall { since: Instant::now(), reply };
            lock(&self.pending).insert(id, pending);
        }
        if self.calls.try_send(call).is_err() {
            lock(&self.pending).remove(&id);
            return Err(LedgerError::Disconnected);
        }
        Ok(id)
    }

    /// Keeps the link connected until the future is dropped.
    pub(crate) async fn run(&self, mut queued: mpsc::Receiver<Bytes>) {
        let mut delay = RECONNECT_DELAYS.0;
        loop {
            match connect_socket(self.member.address, CONNECT_TIMEOUT).await {
                Ok(socket) => {
                    let result = self.run_connection(socket, &mut queued).await;
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

    /// Fails all calls in flight. Returns whether the instance was connected.
    pub(crate) fn disconnect(&self) -> bool {
        let was_up = self.is_up.swap(false, Ordering::Relaxed);
        *lock(&self.slow_since) = None;
        lock(&self.pending).clear();
        was_up
    }

    async fn run_connection(
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
        // Idle links cause no wake-ups, because hundreds of clients have a link
        // to each instance.
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

    /// Whether calls are unanswered or the instance is slow.
    fn is_waiting(&self) -> bool {
        !lock(&self.pending).is_empty() || lock(&self.slow_since).is_some()
    }

    fn handle_reply(&self, frame: &bytes::BytesMut) -> io::Result<()> {
        let reply = decode_reply(frame).map_err(io::Error::other)?;
        self.set_slow(false);
        *lock(&self.last_reply) = Instant::now();
        if let Some(pending) = lock(&self.pending).remove(&reply.id) {
            // The caller may have stopped waiting.
            let _ = pending.reply.send(reply.body);
        }
        Ok(())
    }

    /// Whether the instance is slow. Fails if it has been slow for too long.
    fn check_silence(&self) -> io::Result<bool> {
        let now = Instant::now();
        let is_late = |pending: &PendingCall| now.duration_since(pending.since) > SLOW_THRESHOLD;
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

    /// Verifies that the expected disk responds before calls are sent. An
    /// instance that lost its disk listens on the same address as before.
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
        match decode_reply(&frame).map_err(io::Error::other)?.body {
            ReplyBody::Pong { .. } => {
                *lock(&self.last_reply) = Instant::now();
                Ok(())
            }
            other => Err(io::Error::other(format!("unexpected reply: {other:?}"))),
        }
    }

    /// Whether a link with a heartbeat must send a ping, as it has received no
    /// reply for half the interval.
    fn is_ping_due(&self) -> bool {
        self.heartbeat.is_some_and(|interval| self.silence() >= interval / 2)
    }

    fn encode_ping(&self) -> Bytes {
        let disk = self.member.disk;
        let op = Op::Ping { credit: None };
        encode_request(&Request { id: PING_ID, partition: 0, epoch: 0, disk, op })
    }
}

/// A call that was not written yet; counted until it is dropped.
struct WaitingCall {
    frame: Bytes,
    waiting_bytes: Arc<AtomicUsize>,
}

impl AsRef<[u8]> for WaitingCall {
    fn as_ref(&self) -> &[u8] {
        &self.frame
    }
}

impl Drop for WaitingCall {
    fn drop(&mut self) {
        self.waiting_bytes.fetch_sub(self.frame.len(), Ordering::Relaxed);
    }
}

/// Creates an interval that delays missed ticks instead of repeating them.
fn delayed_interval(period: Duration) -> time::Interval {
    let mut interval = time::interval(period);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    interval
}

/// Removes a pending call when its caller is dropped. If the call has waited for
/// too long, the instance is marked as slow.
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
