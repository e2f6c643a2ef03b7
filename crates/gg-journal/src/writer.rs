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
    journal::SharedState,
    keys::object_key,
    object::{Content, Fragment, Object, fresh_nonce},
};

/// Delay after the first failed write; doubles with each further failure, up to
/// [`JournalSettings::retry_max`].
const RETRY_DELAY_MIN: Duration = Duration::from_millis(20);

/// Records of one append, with the channel that receives the result.
pub(crate) struct Batch {
    pub(crate) records: Vec<Fragment>,
    pub(crate) bytes: usize,
    pub(crate) done: oneshot::Sender<Result<Position, JournalError>>,
}

/// Parts of the journal that the writer task uses.
pub(crate) struct WriterContext<S> {
    pub(crate) id: Arc<JournalId>,
    pub(crate) store: S,
    pub(crate) shared: Arc<SharedState>,
    pub(crate) settings: JournalSettings,
}

/// Writes queued batches until `stop` is cancelled or the journal is sealed.
pub(crate) async fn run<S: ObjectStore>(
    ctx: WriterContext<S>,
    mut queue: mpsc::UnboundedReceiver<Batch>,
    stop: CancellationToken,
) {
    let mut limiter = CommitLimiter::new(ctx.settings.commit_interval, ctx.settings.burst);
    loop {
        let first = tokio::select! {
            batch = queue.recv() => batch,
            () = stop.cancelled() => return,
            () = ctx.shared.fenced.cancelled() => None,
        };
        let Some(first) = first else { break };
        limiter.wait().await;
        let mut batches = VecDeque::from([first]);
        collect_batches(&mut queue, &mut batches, ctx.settings.object_bytes);
        let written = tokio::select! {
            written = commit(&ctx, &batches) => written,
            () = stop.cancelled() => Err(JournalError::Closed),
        };
        complete_batches(&ctx, batches, written);
    }
    reject_remaining(&ctx, queue).await;
}

/// Rate limiter for commits: one per interval on average, with bursts after an
/// idle period.
struct CommitLimiter {
    interval: Duration,
    burst: u32,
    /// Time at which the intervals of all commits so far have elapsed.
    scheduled: Instant,
}

impl CommitLimiter {
    fn new(interval: Duration, burst: u32) -> Self {
        CommitLimiter { interval, burst, scheduled: Instant::now() }
    }

    /// Waits until another commit may start.
    async fn wait(&mut self) {
        let now = Instant::now();
        self.scheduled = self.scheduled.max(now) + self.interval;
        let ahead = self.scheduled - now;
        let allowed = self.interval * self.burst;
        if ahead > allowed {
            time::sleep(ahead - allowed).await;
        }
    }
}

/// Adds queued batches until their total reaches half the maximum object size.
/// The last batch may go beyond that.
fn collect_batches(
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

/// Writes all records of `batches`, in several objects if they do not fit into
/// one.
async fn commit<S: ObjectStore>(
    ctx: &WriterContext<S>,
    batches: &VecDeque<Batch>,
) -> Result<Position, JournalError> {
    let first = Position(ctx.shared.next.load(Ordering::SeqCst));
    let mut records = Vec::new();
    let mut bytes = 0;
    for record in batches.iter().flat_map(|batch| &batch.records) {
        let size = record.size();
        if bytes + size > ctx.settings.object_bytes && !records.is_empty() {
            write(ctx, std::mem::take(&mut records)).await?;
            bytes = 0;
        }
        records.push(record.clone());
        bytes += size;
    }
    write(ctx, records).await?;
    Ok(first)
}

/// Writes one object, and retries without a time limit while the platform
/// fails.
async fn write<S: ObjectStore>(
    ctx: &WriterContext<S>,
    records: Vec<Fragment>,
) -> Result<(), JournalError> {
    let seq = ctx.shared.next.load(Ordering::SeqCst);
    let key = object_key(&ctx.id, seq);
    let nonce = fresh_nonce();
    let object = Object { nonce: nonce.clone(), content: Content::Records(records) };
    let body = Bytes::from(object.encode()?);
    let mut delay = RETRY_DELAY_MIN;
    loop {
        match ctx.store.put(&key, body.clone(), When::Absent).await {
            Ok(_) => break,
            Err(PlatformError::Conflict(_)) => match resolve_conflict(ctx, &key, &nonce).await {
                Ok(()) => break,
                Err(JournalError::Sealed(by)) => {
                    ctx.shared.mark_sealed(by.clone());
                    return Err(JournalError::Sealed(by));
                }
                Err(err) => mark_stalled(ctx, &key, &err),
            },
            Err(err) => mark_stalled(ctx, &key, &err.into()),
        }
        time::sleep(delay).await;
        delay = (delay * 2).min(ctx.settings.retry_max);
    }
    if ctx.shared.stalled.swap(false, Ordering::Relaxed) {
        log::info!("event=journal_resumed journal={} seq={seq}", ctx.id);
    }
    ctx.shared.next.store(seq + 1, Ordering::SeqCst);
    Ok(())
}

fn mark_stalled<S>(ctx: &WriterContext<S>, key: &str, err: &JournalError) {
    if !ctx.shared.stalled.swap(true, Ordering::Relaxed) {
        log::warn!("event=journal_stalled key={key} error={err:?}");
    }
}

/// Determines which write occupies the key after a conflict: this writer's own,
/// whose response was lost, or a seal.
async fn resolve_conflict<S: ObjectStore>(
    ctx: &WriterContext<S>,
    key: &str,
    nonce: &str,
) -> Result<(), JournalError> {
    let Some(found) = ctx.store.get(key).await? else {
        return Err(JournalError::Platform(
            "the platform reported a conflict for a missing object".into(),
        ));
    };
    let object = Object::decode(&found.body)?;
    match object.content {
        Content::Seal(by) => Err(JournalError::Sealed(by)),
        Content::Records(_) if object.nonce == nonce => Ok(()),
        Content::Records(_) => Err(JournalError::Corrupt("written by another writer".into())),
    }
}

fn complete_batches<S>(
    ctx: &WriterContext<S>,
    batches: VecDeque<Batch>,
    written: Result<Position, JournalError>,
) {
    for batch in batches {
        ctx.shared.backlog.fetch_sub(batch.bytes, Ordering::SeqCst);
        let _ = batch.done.send(written.clone());
    }
}

/// Closes the queue of a sealed journal and fails the batches left in it.
async fn reject_remaining<S: ObjectStore>(
    ctx: &WriterContext<S>,
    mut queue: mpsc::UnboundedReceiver<Batch>,
) {
    queue.close();
    while let Some(batch) = queue.recv().await {
        let error = match ctx.shared.sealed.get() {
            Some(by) => JournalError::Sealed(by.clone()),
            None => JournalError::Closed,
        };
        let _ = batch.done.send(Err(error));
    }
}
