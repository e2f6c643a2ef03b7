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
use futures::StreamExt;
use tokio::{
    net::TcpStream,
    sync::{mpsc, oneshot},
    time,
};
use tokio_util::codec::{FramedRead, FramedWrite};

use crate::{
    LedgerError, Member,
    node::lock,
    protocol::{Answer, Ask, Reply, Request, codec, decode, encode, write_frames},
    socket,
};

/// Calls that may wait to be written.
const CALLS_MAX: usize = 512;

/// First and longest pause before another connection is tried.
const PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));

/// A call without an answer for this long means that the connection went
/// silent.
const SILENCE_MAX: Duration = Duration::from_millis(1_500);

/// Time between two looks for silence.
const SILENCE_CHECK: Duration = Duration::from_millis(500);

/// A link to one member; reconnects while it lives.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) member: Member,
    is_up: AtomicBool,
    is_slow: AtomicBool,
    next: AtomicU64,
    calls: mpsc::Sender<Bytes>,
    pending: Mutex<HashMap<u64, Pending>>,
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
            is_slow: AtomicBool::new(false),
            next: AtomicU64::new(1),
            calls,
            pending: Mutex::default(),
        };
        (link, queued)
    }

    /// Whether the instance is connected.
    pub(crate) fn is_up(&self) -> bool {
        self.is_up.load(Ordering::Relaxed)
    }

    /// Whether the instance left a call without an answer lately.
    pub(crate) fn is_slow(&self) -> bool {
        self.is_slow.load(Ordering::Relaxed)
    }

    /// Notes whether the instance answers in time.
    pub(crate) fn set_slow(&self, is_slow: bool) {
        self.is_slow.store(is_slow, Ordering::Relaxed);
    }

    /// Sends a call and waits for its answer; the caller limits the time.
    pub(crate) async fn call(&self, epoch: u64, ask: Ask) -> Result<Answer, LedgerError> {
        let (answer, answered) = oneshot::channel();
        let id = self.send(epoch, ask, Some(answer))?;
        let guard = Forget { link: self, id };
        let answer = answered.await.map_err(|_| LedgerError::Disconnected);
        drop(guard);
        answer
    }

    /// Sends a call whose answer doesn't matter.
    pub(crate) fn tell(&self, epoch: u64, ask: Ask) {
        // A member that is away learns of it from the others when it copies.
        let _ = self.send(epoch, ask, None);
    }

    fn send(
        &self,
        epoch: u64,
        ask: Ask,
        answer: Option<oneshot::Sender<Answer>>,
    ) -> Result<u64, LedgerError> {
        if !self.is_up() {
            return Err(LedgerError::Disconnected);
        }
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let request = encode(&Request { id, epoch, disk: self.member.disk, ask });
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
        let mut pause = PAUSES.0;
        loop {
            match socket::connect(self.member.address).await {
                Ok(socket) => {
                    pause = PAUSES.0;
                    while queued.try_recv().is_ok() {}
                    self.is_up.store(true, Ordering::Relaxed);
                    log::info!("event=ledger_connected instance={}", self.member.instance);
                    let ended = self.exchange(socket, &mut queued).await;
                    self.is_up.store(false, Ordering::Relaxed);
                    lock(&self.pending).clear();
                    log::warn!(
                        "event=ledger_lost instance={} reason={:?}",
                        self.member.instance,
                        ended.err()
                    );
                }
                Err(err) => {
                    log::debug!(
                        "event=ledger_unreachable instance={} error={err}",
                        self.member.instance
                    );
                }
            }
            time::sleep(pause).await;
            pause = (pause * 2).min(PAUSES.1);
        }
    }

    async fn exchange(
        &self,
        socket: TcpStream,
        queued: &mut mpsc::Receiver<Bytes>,
    ) -> io::Result<()> {
        let (reader, writer) = socket.into_split();
        let mut reader = FramedRead::new(reader, codec());
        let mut writer = FramedWrite::new(writer, codec());
        let mut check = time::interval(SILENCE_CHECK);
        loop {
            tokio::select! {
                frame = reader.next() => match frame {
                    None => return Err(io::ErrorKind::UnexpectedEof.into()),
                    Some(frame) => self.take(&frame?)?,
                },
                call = queued.recv() => {
                    let Some(call) = call else { return Ok(()) };
                    let writing = write_frames(&mut writer, call, queued);
                    time::timeout(SILENCE_MAX, writing).await??;
                }
                _ = check.tick() => self.check_silence()?,
            }
        }
    }

    fn take(&self, frame: &bytes::BytesMut) -> io::Result<()> {
        let reply: Reply = decode(frame).map_err(io::Error::other)?;
        if let Some(pending) = lock(&self.pending).remove(&reply.id) {
            // The caller may have stopped waiting.
            let _ = pending.answer.send(reply.answer);
        }
        Ok(())
    }

    fn check_silence(&self) -> io::Result<()> {
        let pending = lock(&self.pending);
        match pending.values().any(|pending| pending.since.elapsed() > SILENCE_MAX) {
            true => Err(io::ErrorKind::TimedOut.into()),
            false => Ok(()),
        }
    }
}

/// Forgets a call whose caller went away.
struct Forget<'a> {
    link: &'a Link,
    id: u64,
}

impl Drop for Forget<'_> {
    fn drop(&mut self) {
        lock(&self.link.pending).remove(&self.id);
    }
}
