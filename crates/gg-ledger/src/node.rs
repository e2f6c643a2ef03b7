//! One ledger instance: its index, its log, and the calls of its clients.

use std::{
    io,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::StreamExt;
use quick_error::quick_error;
use tokio::{
    net::TcpStream,
    sync::{mpsc, oneshot},
    task, time,
};
use tokio_util::{
    codec::{FramedRead, FramedWrite},
    sync::CancellationToken,
};

use crate::{
    Index, LedgerSet, Line, LogFile, LogSettings,
    index::Chain,
    log_file::encode_line,
    protocol::{Answer, Ask, FrameWriter, Reply, Request, codec, decode, encode, write_frames},
    pull, socket,
};

quick_error! {
    /// Why a ledger instance could not run.
    #[derive(Debug)]
    pub enum NodeError {
        /// The log can't be read or written.
        Log(err: io::Error) {
            display("the log can't be used: {err}")
        }
        /// The address can't be listened on.
        Listen(address: SocketAddr, err: io::Error) {
            display("can't listen on {address}: {err}")
        }
    }
}

/// Lines that may wait for the disk.
const COMMITS_MAX: usize = 4096;

/// Replies that may wait for one slow client.
const REPLIES_MAX: usize = 1024;

/// Time between two rounds of dropping what has expired.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(5);

/// Time that entries are kept beyond what was asked for, for clocks of
/// several instances that were started at different moments.
const EXPIRE_MARGIN: Duration = Duration::from_secs(30);

/// Pause after a failed accept, which mostly means too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Where an instance listens and keeps its log.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Where clients and other instances connect.
    pub listen: SocketAddr,
    /// Folder on the disk.
    pub folder: PathBuf,
    /// Bytes of log after which it is written anew.
    pub checkpoint_bytes: u64,
}

/// A ledger instance; clones share it.
#[derive(Clone, Debug)]
pub struct Node {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    disk: u64,
    /// Calls of older epochs are refused.
    epoch: AtomicU64,
    index: Mutex<Index>,
    set: Mutex<LedgerSet>,
    /// Epoch for which everything was copied from the others.
    copied: Mutex<Option<u64>>,
    commits: mpsc::Sender<Commit>,
}

/// Lines on their way to the disk.
#[derive(Debug)]
struct Commit {
    encoded: Vec<u8>,
    done: Option<oneshot::Sender<()>>,
}

impl Node {
    /// Reads the log and starts the instance; it runs until `stop` is
    /// cancelled. If the log can't be written any more, `stop` is cancelled
    /// by the instance itself, as nothing can be acknowledged then.
    pub async fn start(settings: NodeSettings, stop: CancellationToken) -> Result<Self, NodeError> {
        let log = LogSettings {
            folder: settings.folder.clone(),
            checkpoint_bytes: settings.checkpoint_bytes,
        };
        let opened = task::spawn_blocking(move || LogFile::open(log)).await;
        let (log, recovered) =
            opened.map_err(io::Error::other).and_then(|opened| opened).map_err(NodeError::Log)?;
        let mut index = Index::default();
        let mut epoch = 0;
        let now = Instant::now();
        let lines = recovered.lines.len();
        for line in recovered.lines {
            if let Line::Epoch(sealed) = line {
                epoch = epoch.max(sealed);
            }
            index.apply(line, now);
        }
        let (turns, programs) = index.len();
        log::info!(
            "event=ledger_read disk={} lines={lines} turns={turns} programs={programs} \
             torn_bytes={} epoch={epoch}",
            recovered.disk,
            recovered.torn_bytes
        );
        let (commits, waiting) = mpsc::channel(COMMITS_MAX);
        let node = Node {
            shared: Arc::new(Shared {
                disk: recovered.disk,
                epoch: AtomicU64::new(epoch),
                index: Mutex::new(index),
                set: Mutex::default(),
                copied: Mutex::default(),
                commits,
            }),
        };
        let listener = socket::listen(settings.listen)
            .map_err(|err| NodeError::Listen(settings.listen, err))?;
        tokio::spawn(node.clone().commit(log, waiting, stop.clone()));
        tokio::spawn(stop.clone().run_until_cancelled_owned(node.clone().expire()));
        let accepting = node.clone().accept(listener, stop.clone());
        tokio::spawn(stop.run_until_cancelled_owned(accepting));
        Ok(node)
    }

    /// Identity of the instance's disk.
    pub fn disk(&self) -> u64 {
        self.shared.disk
    }

    /// Epoch below which calls are refused.
    pub fn epoch(&self) -> u64 {
        self.shared.epoch.load(Ordering::SeqCst)
    }

    /// Number of turns and of programs.
    pub fn len(&self) -> (usize, usize) {
        self.index().len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.index().is_empty()
    }

    /// The set as last heard of.
    pub fn set(&self) -> LedgerSet {
        lock(&self.shared.set).clone()
    }

    /// Takes in a newer set.
    pub(crate) fn set_newer(&self, set: LedgerSet) {
        let mut known = lock(&self.shared.set);
        if set.epoch > known.epoch {
            self.raise_epoch(set.epoch);
            *known = set;
        }
    }

    /// Epoch for which everything was copied from the others.
    pub(crate) fn copied(&self) -> Option<u64> {
        *lock(&self.shared.copied)
    }

    /// Copies everything from enough of the present members and keeps it on
    /// disk, so that the instance may count in `set.next`.
    pub(crate) async fn copy_all(&self, set: &LedgerSet) -> Result<(), pull::PullError> {
        let mut sources: Vec<u64> = Vec::new();
        if set.has(self.disk()) {
            sources.push(self.disk());
        }
        for member in set.members.iter().filter(|member| member.disk != self.disk()) {
            if set.is_read(&sources) {
                break;
            }
            match pull::pull(self, member, set.epoch).await {
                Ok(()) => sources.push(member.disk),
                Err(err) => log::warn!("event=pull_failed from={} error={err:?}", member.instance),
            }
        }
        if !set.is_read(&sources) {
            return Err(pull::PullError::TooFew);
        }
        let mut sealed = Vec::new();
        encode_line(&Line::Epoch(set.epoch), &mut sealed);
        if !self.write(sealed).await {
            return Err(pull::PullError::Refused);
        }
        *lock(&self.shared.copied) = Some(set.epoch);
        Ok(())
    }

    /// Takes in copied lines; they are on disk when a later write is.
    pub(crate) async fn take_lines(&self, lines: Vec<Line>) {
        let mut encoded = Vec::new();
        lines.iter().for_each(|line| encode_line(line, &mut encoded));
        let now = Instant::now();
        {
            let mut index = self.index();
            lines.into_iter().for_each(|line| index.apply(line, now));
        }
        let commit = Commit { encoded, done: None };
        // Fails only when the instance stops.
        let _ = self.shared.commits.send(commit).await;
    }

    fn index(&self) -> MutexGuard<'_, Index> {
        lock(&self.shared.index)
    }

    /// Raises the epoch; the line that keeps it follows with the next sync.
    fn raise_epoch(&self, epoch: u64) {
        if self.shared.epoch.fetch_max(epoch, Ordering::SeqCst) < epoch {
            self.enqueue(&[Line::Epoch(epoch)]);
        }
    }

    /// Has lines written without waiting for the disk.
    fn enqueue(&self, lines: &[Line]) {
        let mut encoded = Vec::new();
        lines.iter().for_each(|line| encode_line(line, &mut encoded));
        let commit = Commit { encoded, done: None };
        if self.shared.commits.try_send(commit).is_err() {
            log::warn!("event=log_behind dropped_lines={}", lines.len());
        }
    }

    /// Has lines written and waits for the disk. Returns whether they are
    /// there.
    async fn write(&self, encoded: Vec<u8>) -> bool {
        let (done, written) = oneshot::channel();
        let commit = Commit { encoded, done: Some(done) };
        self.shared.commits.send(commit).await.is_ok() && written.await.is_ok()
    }

    /// Writes what waits, all of it with one sync.
    async fn commit(
        self,
        mut log: LogFile,
        mut waiting: mpsc::Receiver<Commit>,
        stop: CancellationToken,
    ) {
        while let Some(first) = waiting.recv().await {
            let mut encoded = first.encoded;
            let mut done: Vec<_> = first.done.into_iter().collect();
            while let Ok(more) = waiting.try_recv() {
                encoded.extend_from_slice(&more.encoded);
                done.extend(more.done);
            }
            let due = log.is_checkpoint_due();
            let checkpoint = due.then(|| {
                let mut lines = self.index().lines();
                lines.push(Line::Epoch(self.epoch()));
                lines
            });
            let written = task::spawn_blocking(move || {
                log.append(&encoded)?;
                if let Some(lines) = checkpoint {
                    log.checkpoint(&lines)?;
                }
                io::Result::Ok(log)
            });
            log = match written.await.map_err(io::Error::other).and_then(|log| log) {
                Ok(log) => log,
                Err(err) => {
                    log::error!("event=log_failed error={err}");
                    stop.cancel();
                    return;
                }
            };
            for done in done {
                let _ = done.send(());
            }
        }
    }

    async fn expire(self) {
        loop {
            time::sleep(EXPIRE_INTERVAL).await;
            self.index().expire(Instant::now(), EXPIRE_MARGIN);
        }
    }

    async fn accept(self, listener: tokio::net::TcpListener, stop: CancellationToken) {
        loop {
            match listener.accept().await {
                Ok((socket, _)) => {
                    let serving = self.clone().serve(socket);
                    tokio::spawn(stop.clone().run_until_cancelled_owned(serving));
                }
                Err(err) => {
                    log::warn!("event=accept_failed error={err}");
                    time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Serves one connection.
    async fn serve(self, socket: TcpStream) {
        if let Err(err) = socket::prepare(&socket) {
            log::warn!("event=socket_failed error={err}");
            return;
        }
        let (reader, writer) = socket.into_split();
        let (replies, queued) = mpsc::channel(REPLIES_MAX);
        let writing = tokio::spawn(write_replies(FramedWrite::new(writer, codec()), queued));
        let mut reader = FramedRead::new(reader, codec());
        while let Some(Ok(frame)) = reader.next().await {
            match decode::<Request>(&frame) {
                Ok(request) => self.handle(request, &replies).await,
                Err(err) => {
                    log::warn!("event=bad_frame error={err}");
                    break;
                }
            }
        }
        drop(replies);
        let _ = writing.await;
    }

    /// Carries out one call. Only answers that wait for the disk get a task.
    async fn handle(&self, request: Request, replies: &mpsc::Sender<Bytes>) {
        let id = request.id;
        if let Some(refusal) = self.refusal(&request) {
            send(replies, id, refusal).await;
            return;
        }
        match request.ask {
            Ask::Open { turn, reserve, chain } => {
                let (others, chain) = self.open(turn, reserve, chain);
                send(replies, id, Answer::Opened { others, chain }).await;
            }
            Ask::Close { turn, settle, record } => {
                let mut encoded = Vec::new();
                let settle = settle.map(|(program, tokens)| Line::Settle {
                    program,
                    turn: turn.clone(),
                    tokens,
                });
                let is_urgent = record.is_some();
                let now = Instant::now();
                for line in settle.into_iter().chain(record.map(Line::Turn)) {
                    encode_line(&line, &mut encoded);
                    self.index().apply(line, now);
                }
                let (node, replies) = (self.clone(), replies.clone());
                if !is_urgent {
                    let commit = Commit { encoded, done: None };
                    if node.shared.commits.try_send(commit).is_err() {
                        log::warn!("event=log_behind turn={turn}");
                    }
                    return;
                }
                tokio::spawn(async move {
                    if node.write(encoded).await {
                        send(&replies, id, Answer::Closed).await;
                    }
                });
            }
            Ask::Fetch(turn) => {
                let chain = self.index().chain(&turn, Instant::now());
                send(replies, id, Answer::Fetched(chain)).await;
            }
            Ask::Status => {
                send(replies, id, Answer::Status { copied: self.copied() }).await;
            }
            Ask::Pull => {
                let (node, replies) = (self.clone(), replies.clone());
                tokio::spawn(async move { node.send_all(id, request.epoch, replies).await });
            }
        }
    }

    /// Refuses calls for another disk and of older epochs; learns of newer
    /// ones.
    fn refusal(&self, request: &Request) -> Option<Answer> {
        if request.disk != self.shared.disk {
            return Some(Answer::OtherDisk);
        }
        if request.epoch < self.epoch() && !matches!(request.ask, Ask::Status) {
            return Some(Answer::Stale(self.set()));
        }
        self.raise_epoch(request.epoch);
        None
    }

    fn open(
        &self,
        turn: gg_protocol::Name,
        reserve: Option<(gg_protocol::Name, u32)>,
        chain: Option<gg_protocol::Name>,
    ) -> (u64, Option<Chain>) {
        let now = Instant::now();
        let mut index = self.index();
        let others = match reserve {
            None => 0,
            Some((program, tokens)) => {
                let others = index.others(&program, &turn);
                let line = Line::Reserve { program, turn, tokens };
                self.enqueue(std::slice::from_ref(&line));
                index.apply(line, now);
                others
            }
        };
        (others, chain.map(|turn| index.chain(&turn, now)))
    }

    /// Sends everything. Nothing of an older epoch is acknowledged from here
    /// on, also after a power loss.
    async fn send_all(self, id: u64, epoch: u64, replies: mpsc::Sender<Bytes>) {
        let mut sealed = Vec::new();
        encode_line(&Line::Epoch(epoch), &mut sealed);
        if !self.write(sealed).await {
            return;
        }
        let lines = self.index().lines();
        for part in lines.chunks(pull::PART_LINES) {
            send(&replies, id, Answer::Part(part.to_vec())).await;
        }
        send(&replies, id, Answer::PulledAll).await;
    }
}

async fn send(replies: &mpsc::Sender<Bytes>, id: u64, answer: Answer) {
    // A failed send means that the client has gone; it asks again elsewhere.
    let _ = replies.send(encode(&Reply { id, answer })).await;
}

async fn write_replies(mut writer: FrameWriter, mut queued: mpsc::Receiver<Bytes>) {
    while let Some(first) = queued.recv().await {
        if write_frames(&mut writer, first, &mut queued).await.is_err() {
            // The reading half notices that the client has gone.
            return;
        }
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
