//! The journal handle held by its owner.

use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use gg_platform::{ObjectStore, PlatformError, When};
use gg_protocol::JournalId;
use serde::Serialize;
use serde_json::value::to_raw_value;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::{
    JournalError,
    keys::{incarnations, object_key},
    object::{Content, Fragment, Object, fresh_nonce},
    writer::{self, Batch},
};

/// Settings of a journal.
#[derive(Clone, Debug)]
pub struct JournalSettings {
    /// Minimum mean interval between the starts of two commits.
    pub commit_interval: Duration,
    /// Commits that may start without delay after an idle period.
    pub burst: u32,
    /// Maximum number of bytes that wait to be written to the platform.
    pub backlog_bytes: usize,
    /// Maximum size of an object, in bytes.
    pub object_bytes: usize,
    /// Maximum delay between write attempts while the platform is
    /// unreachable.
    pub retry_max: Duration,
}

impl Default for JournalSettings {
    fn default() -> Self {
        JournalSettings {
            commit_interval: Duration::from_millis(30),
            burst: 8,
            backlog_bytes: 64 << 20,
            object_bytes: 900_000,
            retry_max: Duration::from_millis(500),
        }
    }
}

/// Sequence number of the object in which an append starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position(pub u64);

/// State shared between the handle and the writer task.
#[derive(Debug, Default)]
pub(crate) struct SharedState {
    pub(crate) next: AtomicU64,
    pub(crate) backlog: AtomicUsize,
    pub(crate) stalled: AtomicBool,
    pub(crate) sealed: OnceLock<JournalId>,
    pub(crate) fenced: CancellationToken,
}

impl SharedState {
    pub(crate) fn mark_sealed(&self, by: JournalId) {
        let _ = self.sealed.set(by);
        self.fenced.cancel();
    }
}

/// A journal that this process owns until another daemon seals it.
#[derive(Clone, Debug)]
pub struct Journal<S> {
    id: Arc<JournalId>,
    store: S,
    batches: mpsc::UnboundedSender<Batch>,
    shared: Arc<SharedState>,
    settings: JournalSettings,
}

impl<S: ObjectStore> Journal<S> {
    /// Claims the next incarnation of `instance` and opens its journal.
    ///
    /// The writer task stops when `stop` is cancelled.
    pub async fn open(
        store: S,
        instance: &str,
        settings: JournalSettings,
        stop: CancellationToken,
    ) -> Result<Self, JournalError> {
        let id = claim_incarnation(&store, instance).await?;
        let shared = Arc::new(SharedState::default());
        shared.next.store(1, Ordering::SeqCst);
        let (batches, receiver) = mpsc::unbounded_channel();
        let journal = Journal { id: Arc::new(id), store, batches, shared, settings };
        tokio::spawn(writer::run(journal.writer_context(), receiver, stop));
        Ok(journal)
    }

    fn writer_context(&self) -> writer::WriterContext<S> {
        writer::WriterContext {
            id: self.id.clone(),
            store: self.store.clone(),
            shared: self.shared.clone(),
            settings: self.settings.clone(),
        }
    }

    /// The journal's identifier.
    pub fn id(&self) -> &JournalId {
        &self.id
    }

    /// Token that is cancelled once this process learns that another daemon
    /// has sealed the journal.
    pub fn fenced(&self) -> &CancellationToken {
        &self.shared.fenced
    }

    /// Journal of the daemon that sealed this one, if a seal is known.
    pub fn sealed_by(&self) -> Option<&JournalId> {
        self.shared.sealed.get()
    }

    /// Whether the current commit is being retried because the platform
    /// failed.
    pub fn is_stalled(&self) -> bool {
        self.shared.stalled.load(Ordering::Relaxed)
    }

    /// Whether all submitted records are durable.
    pub fn is_durable(&self) -> bool {
        self.shared.backlog.load(Ordering::SeqCst) == 0
    }

    /// Number of objects written so far, which is also the sequence number of
    /// the next object.
    pub fn next_sequence(&self) -> u64 {
        self.shared.next.load(Ordering::SeqCst)
    }

    /// Appends records in order and returns once they are durable.
    ///
    /// Dropping the future does not cancel the append.
    pub async fn append<R: Serialize>(&self, records: &[R]) -> Result<Position, JournalError> {
        let done = self.submit(records)?;
        done.await.unwrap_or(Err(JournalError::Closed))
    }

    /// Queues records for the writer task; the receiver resolves once they are
    /// durable. Records are committed in the order of these calls.
    pub fn submit<R: Serialize>(
        &self,
        records: &[R],
    ) -> Result<oneshot::Receiver<Result<Position, JournalError>>, JournalError> {
        if let Some(by) = self.sealed_by() {
            return Err(JournalError::Sealed(by.clone()));
        }
        let records = encode(records)?;
        let bytes = records.iter().map(Fragment::size).sum();
        let backlog = self.shared.backlog.load(Ordering::SeqCst);
        // An append larger than the limit is accepted only if the backlog is
        // empty.
        if backlog > 0 && backlog + bytes > self.settings.backlog_bytes {
            return Err(JournalError::Full);
        }
        self.shared.backlog.fetch_add(bytes, Ordering::SeqCst);
        let (done, wait) = oneshot::channel();
        let batch = Batch { records, bytes, done };
        self.batches.send(batch).map_err(|_| JournalError::Closed)?;
        Ok(wait)
    }

    /// Checks on the platform that the journal was still unsealed at some
    /// moment after this call began.
    pub async fn verify(&self) -> Result<(), JournalError> {
        if let Some(by) = self.sealed_by() {
            return Err(JournalError::Sealed(by.clone()));
        }
        let key = object_key(&self.id, self.next_sequence());
        let Some(found) = self.store.get(&key).await? else { return Ok(()) };
        match Object::decode(&found.body)?.content {
            Content::Records(_) => Ok(()),
            Content::Seal(by) => {
                self.shared.mark_sealed(by.clone());
                Err(JournalError::Sealed(by))
            }
        }
    }

    /// Deletes the objects from number `from` up to, but not including,
    /// `position`. The caller ensures that no replay needs them.
    pub async fn trim(&self, from: u64, position: Position) -> Result<(), JournalError> {
        for seq in from..position.0 {
            self.store.delete(&object_key(&self.id, seq)).await?;
        }
        Ok(())
    }
}

fn encode<R: Serialize>(records: &[R]) -> Result<Vec<Fragment>, JournalError> {
    let mut fragments = Vec::new();
    for record in records {
        fragments.extend(Fragment::split(to_raw_value(record)?));
    }
    Ok(fragments)
}

async fn claim_incarnation<S: ObjectStore>(
    store: &S,
    instance: &str,
) -> Result<JournalId, JournalError> {
    loop {
        let existing = incarnations(store, Some(instance)).await?;
        let last = existing.iter().map(|id| id.incarnation).max().unwrap_or(0);
        let id = JournalId { instance: instance.into(), incarnation: last + 1 };
        let first = Object { nonce: fresh_nonce(), content: Content::Records(Vec::new()) };
        let body = first.encode()?.into();
        match store.put(&object_key(&id, 0), body, When::Absent).await {
            Ok(_) => return Ok(id),
            // Either this write succeeded and its response was lost, or another
            // start of this instance claimed the number. The next listing
            // shows it, so the following number is tried.
            Err(PlatformError::Conflict(_)) => {}
            Err(err) => return Err(err.into()),
        }
    }
}
