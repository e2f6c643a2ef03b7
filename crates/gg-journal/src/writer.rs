//! The task that writes group commits, one at a time.

use std::{
    collections::VecDeque,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use gg_platform::{ObjectStore, PlatformError, When};
use gg_protocol::JournalId;
use tokio::{
    sync::{mpsc, oneshot},
    time::{self, Instant},
};
use tokio_util::sync::CancellationToken;

use crate::{
    JournalError, JournalSettings, Position,
    journal::Shared,
    keys::object_key,
    object::{Content, Object, Piece, fresh_nonce},
};

/// First pause after a failed write.
const RETRY_FIRST: Duration = Duration::from_millis(20);

/// Records that become durable together, with the one who waits for them.
pub(crate) struct Batch {
    pub(crate) records: Vec<Piece>,
    pub(crate) bytes: usize,
    pub(crate) done: oneshot::Sender<Result<Position, JournalError>>,
}

/// What the writer shares with the handle.
pub(crate) struct Parts<S> {
    pub(crate) id: Arc<JournalId>,
    pub(crate) store: S,
    pub(crate) shared: Arc<Shared>,
    pub(crate) settings: JournalSettings,
}

/// Runs until `stop` is cancelled or the journal is sealed.
pub(crate) async fn run<S: ObjectStore>(
    parts: Parts<S>,
    mut queue: mpsc::UnboundedReceiver<Batch>,
    stop: CancellationToken,
) {
    let mut pace = Pace::new(parts.settings.interval, parts.settings.burst);
    loop {
        let first = tokio::select! {
            batch = queue.recv() => batch,
            () = stop.cancelled() => return,
            () = parts.shared.fenced.cancelled() => None,
        };
        let Some(first) = first else { break };
        pace.wait().await;
        let mut batches = VecDeque::from([first]);
        drain(&mut queue, &mut batches, parts.settings.object_bytes);
        let written = tokio::select! {
            written = commit(&parts, &batches) => written,
            () = stop.cancelled() => Err(JournalError::Closed),
        };
        settle(&parts, batches, written);
    }
    refuse_rest(&parts, queue).await;
}

/// Bounds the rate of commits: one an interval on average, and a few at once
/// after a quiet time.
struct Pace {
    interval: Duration,
    burst: u32,
    /// When the commits so far would be paid for at one an interval.
    paid: Instant,
}

impl Pace {
    fn new(interval: Duration, burst: u32) -> Self {
        Pace { interval, burst, paid: Instant::now() }
    }

    /// Waits until another commit may begin.
    async fn wait(&mut self) {
        let now = Instant::now();
        self.paid = self.paid.max(now) + self.interval;
        let ahead = self.paid - now;
        let allowed = self.interval * self.burst;
        if ahead > allowed {
            time::sleep(ahead - allowed).await;
        }
    }
}

/// Takes waiting batches until about one object is full.
fn drain(
    queue: &mut mpsc::UnboundedReceiver<Batch>,
    batches: &mut VecDeque<Batch>,
    object_bytes: usize,
) {
    let mut bytes = batches[0].bytes;
    while bytes < object_bytes / 2 {
        let Ok(batch) = queue.try_recv() else { return };
        bytes += batch.bytes;
        batches.push_back(batch);
    }
}

/// Writes all records of `batches`, in several objects if need be.
async fn commit<S: ObjectStore>(
    parts: &Parts<S>,
    batches: &VecDeque<Batch>,
) -> Result<Position, JournalError> {
    let first = Position(parts.shared.next.load(Ordering::SeqCst));
    let mut records = Vec::new();
    let mut bytes = 0;
    for record in batches.iter().flat_map(|batch| &batch.records) {
        let size = record.size();
        if bytes + size > parts.settings.object_bytes && !records.is_empty() {
            write(parts, std::mem::take(&mut records)).await?;
            bytes = 0;
        }
        records.push(record.clone());
        bytes += size;
    }
    write(parts, records).await?;
    Ok(first)
}

/// Writes one object, however long the platform takes.
async fn write<S: ObjectStore>(parts: &Parts<S>, records: Vec<Piece>) -> Result<(), JournalError> {
    let seq = parts.shared.next.load(Ordering::SeqCst);
    let key = object_key(&parts.id, seq);
    let nonce = fresh_nonce();
    let object = Object { nonce: nonce.clone(), content: Content::Records(records) };
    let body = Bytes::from(object.encode()?);
    let mut pause = RETRY_FIRST;
    loop {
        match parts.store.put(&key, body.clone(), When::Absent).await {
            Ok(_) => break,
            Err(PlatformError::Conflict(_)) => match read_back(parts, &key, &nonce).await {
                Ok(()) => break,
                Err(JournalError::Sealed(by)) => {
                    parts.shared.fence(by.clone());
                    return Err(JournalError::Sealed(by));
                }
                Err(err) => stall(parts, &key, &err),
            },
            Err(err) => stall(parts, &key, &err.into()),
        }
        time::sleep(pause).await;
        pause = (pause * 2).min(parts.settings.retry_max);
    }
    if parts.shared.stalled.swap(false, Ordering::Relaxed) {
        log::info!("event=journal_resumed journal={} seq={seq}", parts.id);
    }
    parts.shared.next.store(seq + 1, Ordering::SeqCst);
    Ok(())
}

fn stall<S>(parts: &Parts<S>, key: &str, err: &JournalError) {
    if !parts.shared.stalled.swap(true, Ordering::Relaxed) {
        log::warn!("event=journal_stalled key={key} error={err:?}");
    }
}

/// Finds out whose write a conflict met: ours whose answer was lost, or a
/// seal.
async fn read_back<S: ObjectStore>(
    parts: &Parts<S>,
    key: &str,
    nonce: &str,
) -> Result<(), JournalError> {
    let Some(found) = parts.store.get(key).await? else {
        return Err(JournalError::Platform("conflict without an object".into()));
    };
    let object = Object::decode(&found.body)?;
    match object.content {
        Content::Seal(by) => Err(JournalError::Sealed(by)),
        Content::Records(_) if object.nonce == nonce => Ok(()),
        Content::Records(_) => Err(JournalError::Corrupt("written by a stranger".into())),
    }
}

fn settle<S>(parts: &Parts<S>, batches: VecDeque<Batch>, written: Result<Position, JournalError>) {
    for batch in batches {
        parts.shared.backlog.fetch_sub(batch.bytes, Ordering::SeqCst);
        let _ = batch.done.send(written.clone());
    }
}

/// Answers every further batch of a sealed journal.
async fn refuse_rest<S: ObjectStore>(parts: &Parts<S>, mut queue: mpsc::UnboundedReceiver<Batch>) {
    queue.close();
    while let Some(batch) = queue.recv().await {
        let error = match parts.shared.sealed.get() {
            Some(by) => JournalError::Sealed(by.clone()),
            None => JournalError::Closed,
        };
        let _ = batch.done.send(Err(error));
    }
}
