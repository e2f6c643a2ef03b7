//! The owner's handle of a journal.

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
    object::{Content, Object, Piece, fresh_nonce},
    writer::{self, Batch},
};

/// Settings of a journal.
#[derive(Clone, Debug)]
pub struct JournalSettings {
    /// Mean time between the beginnings of two commits, at least.
    pub interval: Duration,
    /// Commits that may follow each other at once after a quiet time.
    pub burst: u32,
    /// Most bytes that wait for the platform.
    pub backlog_bytes: usize,
    /// Largest object, in bytes.
    pub object_bytes: usize,
    /// Longest pause between tries while the platform is out of reach.
    pub retry_max: Duration,
}

impl Default for JournalSettings {
    fn default() -> Self {
        JournalSettings {
            interval: Duration::from_millis(30),
            burst: 8,
            backlog_bytes: 64 << 20,
            object_bytes: 900_000,
            retry_max: Duration::from_millis(500),
        }
    }
}

/// Number of the object in which an append begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position(pub u64);

/// Figures shared between the handle and the writer.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    pub(crate) next: AtomicU64,
    pub(crate) backlog: AtomicUsize,
    pub(crate) stalled: AtomicBool,
    pub(crate) sealed: OnceLock<JournalId>,
    pub(crate) fenced: CancellationToken,
}

impl Shared {
    pub(crate) fn fence(&self, by: JournalId) {
        let _ = self.sealed.set(by);
        self.fenced.cancel();
    }
}

/// A journal that this process owns until a seal says otherwise.
#[derive(Clone, Debug)]
pub struct Journal<S> {
    id: Arc<JournalId>,
    store: S,
    batches: mpsc::UnboundedSender<Batch>,
    shared: Arc<Shared>,
    settings: JournalSettings,
}

impl<S: ObjectStore> Journal<S> {
    /// Claims the next incarnation of `instance` and opens its journal.
    ///
    /// The writer stops when `stop` is cancelled.
    pub async fn open(
        store: S,
        instance: &str,
        settings: JournalSettings,
        stop: CancellationToken,
    ) -> Result<Self, JournalError> {
        let id = claim(&store, instance).await?;
        let shared = Arc::new(Shared::default());
        shared.next.store(1, Ordering::SeqCst);
        let (batches, queue) = mpsc::unbounded_channel();
        let journal = Journal { id: Arc::new(id), store, batches, shared, settings };
        tokio::spawn(writer::run(journal.clone_parts(), queue, stop));
        Ok(journal)
    }

    fn clone_parts(&self) -> writer::Parts<S> {
        writer::Parts {
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

    /// Cancelled once the journal is known to be sealed by another.
    pub fn fenced(&self) -> &CancellationToken {
        &self.shared.fenced
    }

    /// Who has sealed the journal, if that is known.
    pub fn sealed_by(&self) -> Option<&JournalId> {
        self.shared.sealed.get()
    }

    /// Whether the last commit is held up by the platform.
    pub fn is_stalled(&self) -> bool {
        self.shared.stalled.load(Ordering::Relaxed)
    }

    /// Whether everything handed over so far is durable.
    pub fn is_settled(&self) -> bool {
        self.shared.backlog.load(Ordering::SeqCst) == 0
    }

    /// Number of objects written so far, which is the next object's number.
    pub fn length(&self) -> u64 {
        self.shared.next.load(Ordering::SeqCst)
    }

    /// Appends records in order and returns once they are durable.
    ///
    /// Dropping the future does not take the records back.
    pub async fn append<R: Serialize>(&self, records: &[R]) -> Result<Position, JournalError> {
        let done = self.submit(records)?;
        done.await.unwrap_or(Err(JournalError::Closed))
    }

    /// Hands records to the writer; the receiver resolves once they are
    /// durable. Records are committed in the order of these calls.
    pub fn submit<R: Serialize>(
        &self,
        records: &[R],
    ) -> Result<oneshot::Receiver<Result<Position, JournalError>>, JournalError> {
        if let Some(by) = self.sealed_by() {
            return Err(JournalError::Sealed(by.clone()));
        }
        let records = encode(records)?;
        let bytes = records.iter().map(Piece::size).sum();
        let backlog = self.shared.backlog.load(Ordering::SeqCst);
        // A single append larger than the bound has to wait alone.
        if backlog > 0 && backlog + bytes > self.settings.backlog_bytes {
            return Err(JournalError::Full);
        }
        self.shared.backlog.fetch_add(bytes, Ordering::SeqCst);
        let (done, wait) = oneshot::channel();
        let batch = Batch { records, bytes, done };
        self.batches.send(batch).map_err(|_| JournalError::Closed)?;
        Ok(wait)
    }

    /// Asks the platform whether the journal was still ours at some moment
    /// after this call began.
    pub async fn verify(&self) -> Result<(), JournalError> {
        if let Some(by) = self.sealed_by() {
            return Err(JournalError::Sealed(by.clone()));
        }
        let key = object_key(&self.id, self.length());
        let Some(found) = self.store.get(&key).await? else { return Ok(()) };
        match Object::decode(&found.body)?.content {
            Content::Records(_) => Ok(()),
            Content::Seal(by) => {
                self.shared.fence(by.clone());
                Err(JournalError::Sealed(by))
            }
        }
    }

    /// Removes the objects numbered below `position`, which no replay needs.
    pub async fn trim(&self, from: u64, position: Position) -> Result<(), JournalError> {
        for seq in from..position.0 {
            self.store.delete(&object_key(&self.id, seq)).await?;
        }
        Ok(())
    }
}

fn encode<R: Serialize>(records: &[R]) -> Result<Vec<Piece>, JournalError> {
    let mut pieces = Vec::new();
    for record in records {
        pieces.extend(Piece::split(to_raw_value(record)?));
    }
    Ok(pieces)
}

async fn claim<S: ObjectStore>(store: &S, instance: &str) -> Result<JournalId, JournalError> {
    loop {
        let known = incarnations(store, Some(instance)).await?;
        let last = known.iter().map(|id| id.incarnation).max().unwrap_or(0);
        let id = JournalId { instance: instance.into(), incarnation: last + 1 };
        let first = Object { nonce: fresh_nonce(), content: Content::Records(Vec::new()) };
        let body = first.encode()?.into();
        match store.put(&object_key(&id, 0), body, When::Absent).await {
            Ok(_) => return Ok(id),
            // Lost answer or a racing start: the next number is free either way.
            Err(PlatformError::Conflict(_)) => {}
            Err(err) => return Err(err.into()),
        }
    }
}
