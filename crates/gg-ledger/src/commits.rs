//! Writes entries to the log, all that are waiting with one sync, and removes
//! old segments.

use std::{
    io,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use gg_protocol::Name;
use tokio::{
    sync::{mpsc, oneshot},
    task, time,
};
use tokio_util::sync::CancellationToken;

use crate::{
    Location, LogEntry, LogFile, LogTime, Node, PartitionEntry, StoredContent, StoredEntry,
    encoding::encode_entry,
};

/// Interval between checks whether a segment should be removed, while nothing
/// is written.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(1);

/// Delay before a write is repeated that failed because the disk is full.
const FULL_DISK_DELAY: Duration = Duration::from_millis(200);

/// Bytes from which on no more entries are written with one sync, as they are copied
/// into one buffer.
const ROUND_BYTES: u64 = 1 << 20;

/// Encoded entries.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    encoded: Vec<u8>,
    /// Turns among the entries.
    turns: Vec<EncodedTurn>,
}

/// A turn in a batch.
#[derive(Debug)]
struct EncodedTurn {
    partition: u16,
    turn: Name,
    offset: usize,
    bytes: usize,
}

impl Batch {
    /// Adds an entry that was last used at a log time.
    pub(crate) fn push(&mut self, entry: &PartitionEntry, at: LogTime) {
        let offset = self.encoded.len();
        let bytes = encode_entry(entry, at, &mut self.encoded);
        if let (partition, LogEntry::Turn(record)) = entry {
            let (partition, turn) = (*partition, record.turn.clone());
            self.turns.push(EncodedTurn { partition, turn, offset, bytes });
        }
    }

    /// Encodes entries that are used now.
    pub(crate) fn new(entries: &[PartitionEntry], now: LogTime) -> Self {
        let mut batch = Batch::default();
        entries.iter().for_each(|entry| batch.push(entry, now));
        batch
    }

    /// Adds what has to be known of whole partitions before their accounts.
    fn push_partitions(&mut self, node: &Node) {
        let now = node.now();
        node.store().partition_entries().iter().for_each(|entry| self.push(entry, now));
    }

    fn append(&mut self, other: Batch) {
        if self.encoded.is_empty() {
            *self = other;
            return;
        }
        let start = self.encoded.len();
        self.encoded.extend_from_slice(&other.encoded);
        let turns = other.turns.into_iter();
        self.turns.extend(turns.map(|turn| EncodedTurn { offset: start + turn.offset, ..turn }));
    }

    /// Adds those entries of the oldest segment that are still needed.
    fn push_needed(&mut self, node: &Node, entries: &[StoredEntry]) {
        let (store, now) = (node.store(), node.now());
        for StoredEntry { location, content } in entries {
            match content {
                StoredContent::Known(entry, at) => {
                    if let Some(at) = store.needed_since(entry, *location, at.unwrap_or(now)) {
                        self.push(entry, at);
                    }
                }
                StoredContent::Unknown(encoded) => self.encoded.extend_from_slice(encoded),
            }
        }
    }
}

/// A batch that waits for the disk.
#[derive(Debug)]
pub(crate) struct Commit {
    batch: Batch,
    done: Option<oneshot::Sender<()>>,
}

/// Queue of commits. It has no bound of its own, as no entry may be dropped:
/// while much is waiting, no turns are opened.
#[derive(Debug)]
pub(crate) struct CommitQueue {
    commits: mpsc::UnboundedSender<Commit>,
    backlog: AtomicU64,
}

impl CommitQueue {
    /// Creates a queue, and the receiver to pass to [`write_commits`].
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<Commit>) {
        let (commits, queued) = mpsc::unbounded_channel();
        (CommitQueue { commits, backlog: AtomicU64::new(0) }, queued)
    }

    /// Bytes that wait for the disk.
    pub(crate) fn backlog(&self) -> u64 {
        self.backlog.load(Ordering::Relaxed)
    }

    /// Queues a batch without waiting for the disk.
    pub(crate) fn push(&self, batch: Batch) {
        self.send(Commit { batch, done: None });
    }

    /// Queues a batch and waits until it is synced. Returns whether it was.
    pub(crate) async fn write(&self, batch: Batch) -> bool {
        let (done, written) = oneshot::channel();
        self.send(Commit { batch, done: Some(done) });
        written.await.is_ok()
    }

    fn send(&self, commit: Commit) {
        self.backlog.fetch_add(commit.batch.encoded.len() as u64, Ordering::Relaxed);
        if self.commits.send(commit).is_err() {
            log::warn!("event=log_closed");
        }
    }

    fn record_written(&self, bytes: u64) {
        self.backlog.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Time for the last write of an instance that is stopped. A full disk takes
/// nothing for as long as it is full.
const LAST_WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Entries to write with one sync, and who waits for them.
#[derive(Default)]
struct Round {
    batch: Batch,
    done: Vec<oneshot::Sender<()>>,
    /// Bytes that were queued.
    queued: u64,
    /// Entries of the oldest segment that the batch makes obsolete, and how many
    /// bytes of them it holds.
    obsolete: Option<(Vec<StoredEntry>, u64)>,
}

impl Round {
    fn add(&mut self, commit: Commit) {
        self.queued += commit.batch.encoded.len() as u64;
        self.batch.append(commit.batch);
        self.done.extend(commit.done);
    }
}

/// Writes queued commits until `stop` is cancelled, and then those that are left.
/// Cancels it itself if the log can't be written, because nothing can be
/// acknowledged any more.
pub(crate) async fn write_commits(
    node: Node,
    mut log: LogFile,
    mut queue: mpsc::UnboundedReceiver<Commit>,
    stop: CancellationToken,
) {
    loop {
        // Reservations are acknowledged before they are written.
        let is_last = stop.is_cancelled();
        let is_removing = !is_last && log.is_removal_due(node.log_bytes_max());
        let round = next_round(&mut queue, is_removing, &stop).await;
        let writing = write_round(&node, log, round, is_removing);
        if is_last {
            if !matches!(time::timeout(LAST_WRITE_TIMEOUT, writing).await, Ok(Ok(_))) {
                log::warn!("event=log_incomplete waiting_bytes={}", node.commits().backlog());
            }
            return;
        }
        match writing.await {
            Ok(open) => log = open,
            Err(err) => {
                log::error!("event=log_failed error={err}");
                stop.cancel();
                return;
            }
        }
    }
}

/// Waits for a commit, unless a segment is being removed, and takes all others
/// that are queued.
async fn next_round(
    queue: &mut mpsc::UnboundedReceiver<Commit>,
    is_removing: bool,
    stop: &CancellationToken,
) -> Round {
    let mut round = Round::default();
    if !is_removing {
        let first = stop.run_until_cancelled(time::timeout(REMOVAL_INTERVAL, queue.recv())).await;
        if let Some(Ok(Some(first))) = first {
            round.add(first);
        }
    }
    while round.queued < ROUND_BYTES
        && let Ok(more) = queue.try_recv()
    {
        round.add(more);
    }
    round
}

/// Writes a round, and with `is_removing` also what is still needed of the next
/// entries of the oldest segment.
async fn write_round(
    node: &Node,
    mut log: LogFile,
    mut round: Round,
    is_removing: bool,
) -> io::Result<LogFile> {
    if is_removing {
        let entries;
        (log, entries) = blocking(move || log.read_oldest().map(|entries| (log, entries))).await?;
        let before = round.batch.encoded.len();
        round.batch.push_needed(node, &entries);
        round.obsolete = Some((entries, (round.batch.encoded.len() - before) as u64));
    }
    // Whatever segments are removed later, accounts are read after their retention.
    if log.is_segment_empty() && (is_removing || !round.batch.encoded.is_empty()) {
        let entries = std::mem::take(&mut round.batch);
        round.batch.push_partitions(node);
        round.batch.append(entries);
    }
    let Round { batch: Batch { encoded, turns }, done, queued, obsolete } = round;
    if !encoded.is_empty() {
        let (began, bytes) = (Instant::now(), encoded.len() as u64);
        let first;
        (log, first) = append(node, log, encoded).await?;
        record_locations(node, turns, first);
        node.metrics().time("log_sync", began.elapsed().as_micros() as u64, &[]);
        node.metrics().add("log_bytes", bytes, &[]);
    }
    if let Some((entries, kept)) = obsolete {
        log = blocking(move || log.advance(&entries, kept).map(|()| log)).await?;
    }
    node.commits().record_written(queued);
    for done in done {
        // The caller may have stopped waiting; the entries are stored anyway.
        let _ = done.send(());
    }
    Ok(log)
}

/// Records where turns stand that were appended, and removes texts from memory
/// that are no longer recent.
fn record_locations(node: &Node, turns: Vec<EncodedTurn>, first: Location) {
    let mut store = node.store();
    for EncodedTurn { partition, turn, offset, bytes } in turns {
        let offset = first.offset + offset as u32;
        store.set_location(partition, turn, Location { offset, bytes: bytes as u32, ..first });
    }
    store.unload_texts(node.capacity().recent_texts());
}

/// Appends entries. Waits while the disk is full.
async fn append(
    node: &Node,
    mut log: LogFile,
    mut encoded: Vec<u8>,
) -> io::Result<(LogFile, Location)> {
    loop {
        let appended;
        (log, encoded, appended) = blocking(move || {
            let appended = log.append(&encoded);
            Ok((log, encoded, appended))
        })
        .await?;
        match appended {
            Ok(first) => return Ok((log, first)),
            Err(err) if err.kind() == io::ErrorKind::StorageFull => {
                log::error!("event=disk_full waiting_bytes={}", node.commits().backlog());
                time::sleep(FULL_DISK_DELAY).await;
            }
            Err(err) => return Err(err),
        }
    }
}

async fn blocking<T: Send + 'static>(
    work: impl FnOnce() -> io::Result<T> + Send + 'static,
) -> io::Result<T> {
    task::spawn_blocking(work).await.map_err(io::Error::other)?
}
