//! One ledger instance: what it keeps, its log, and its start.

use std::{
    io,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use gg_http::listen_socket;
use gg_metrics::Metrics;
use gg_platform::Mirror;
use gg_protocol::Name;
use quick_error::quick_error;
use tokio::{
    sync::{mpsc, oneshot},
    task, time,
};
use tokio_util::sync::CancellationToken;

use crate::{
    AgedFact, Layout, LedgerSet, LogEntry, LogFile, LogSettings, PartitionEntry, PollingClients,
    Strains,
    crashes::log_fact,
    log_file::encode_entry,
    partition_store::{CRASHES_PARTITION, PartitionStore},
    protocol::CrashUpdates,
    pull::{self, PullError},
    serve,
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

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 512;

/// Writes that may wait for the disk.
const COMMITS_MAX: usize = 4096;

/// Time between two rounds of dropping what has expired.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(5);

/// Time that entries are kept beyond what was asked for, for clocks of
/// several instances that were started at different moments.
const EXPIRE_MARGIN: Duration = Duration::from_secs(30);

/// Where an instance listens and keeps its log.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Where clients and other instances connect.
    pub listen: SocketAddr,
    /// Folder on the disk.
    pub folder: PathBuf,
    /// Bytes of log after which it is written anew.
    pub checkpoint_bytes: u64,
    /// Bytes that turns and accounts may take in memory; beyond it no turn is
    /// opened.
    pub content_bytes: usize,
}

/// A ledger instance; clones share it.
#[derive(Clone, Debug)]
pub struct Node {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    disk: u64,
    /// Drawn at each start.
    incarnation: u64,
    store: Mutex<PartitionStore>,
    /// Copy of the directory for the gateways.
    mirror: Mutex<Mirror>,
    polling_clients: Mutex<PollingClients>,
    commits: mpsc::Sender<Commit>,
    metrics: Metrics,
    content_max_bytes: usize,
    is_full: AtomicBool,
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
    pub async fn start(
        settings: NodeSettings,
        metrics: Metrics,
        stop: CancellationToken,
    ) -> Result<Self, NodeError> {
        let log = LogSettings {
            folder: settings.folder.clone(),
            checkpoint_bytes: settings.checkpoint_bytes,
        };
        let reading = task::spawn_blocking(move || {
            let mut store = PartitionStore::default();
            let now = Instant::now();
            let (log, recovered) = LogFile::open(log, |entry| store.apply(entry, now))?;
            io::Result::Ok((log, recovered, store))
        });
        let read = reading.await.map_err(io::Error::other).and_then(|read| read);
        let (log, recovered, store) = read.map_err(NodeError::Log)?;
        let (turns, programs) = store.len();
        log::info!(
            "event=ledger_read disk={} lines={} turns={turns} programs={programs} torn_bytes={}",
            recovered.disk,
            recovered.entries,
            recovered.torn_bytes
        );
        let (commits, queue) = mpsc::channel(COMMITS_MAX);
        let shared = Shared {
            disk: recovered.disk,
            incarnation: rand::random(),
            store: Mutex::new(store),
            mirror: Mutex::default(),
            polling_clients: Mutex::default(),
            commits,
            metrics,
            content_max_bytes: settings.content_bytes,
            is_full: AtomicBool::new(false),
        };
        let node = Node { shared: Arc::new(shared) };
        let listener = listen_socket(settings.listen, BACKLOG)
            .map_err(|err| NodeError::Listen(settings.listen, err))?;
        tokio::spawn(node.clone().commit(log, queue, stop.clone()));
        tokio::spawn(stop.clone().run_until_cancelled_owned(node.clone().expire()));
        let accepting = serve::accept(node.clone(), listener, stop.clone());
        tokio::spawn(stop.run_until_cancelled_owned(accepting));
        Ok(node)
    }

    /// Identity of the instance's disk.
    pub fn disk(&self) -> u64 {
        self.shared.disk
    }

    /// Number of turns and of programs.
    pub fn len(&self) -> (usize, usize) {
        self.store().len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == (0, 0)
    }

    /// Bytes that turns and accounts take in memory, about.
    pub fn content_bytes(&self) -> usize {
        self.store().bytes()
    }

    /// Whether there is no memory for another turn. Turns under way are kept.
    pub(crate) fn is_full(&self) -> bool {
        let bytes = self.content_bytes();
        let is_full = bytes > self.shared.content_max_bytes;
        if self.shared.is_full.swap(is_full, Ordering::Relaxed) != is_full {
            let max = self.shared.content_max_bytes;
            log::warn!("event=ledger_full is_full={is_full} bytes={bytes} max={max}");
        }
        is_full
    }

    pub(crate) fn store(&self) -> MutexGuard<'_, PartitionStore> {
        lock(&self.shared.store)
    }

    pub(crate) fn mirror(&self) -> MutexGuard<'_, Mirror> {
        lock(&self.shared.mirror)
    }

    /// Takes in that a client asks for news and how its answers fare; returns
    /// how many clients ask and how all their answers fare.
    pub(crate) fn record_poll(&self, name: Name, strains: Strains) -> (u32, Strains) {
        let now = Instant::now();
        let mut polling_clients = lock(&self.shared.polling_clients);
        (polling_clients.record(name.clone(), strains, now), polling_clients.strains(&name, now))
    }

    /// Takes in what a client knows of crashes and returns what it may not.
    pub(crate) fn exchange_crashes(&self, from: &str, updates: CrashUpdates) -> CrashUpdates {
        self.learn_crashes(from, &updates.facts);
        let incarnation = self.shared.incarnation;
        let acknowledged = if updates.incarnation == incarnation { updates.last } else { 0 };
        let (facts, last) = self.store().crashes().since(acknowledged, Instant::now());
        CrashUpdates { incarnation, last, facts }
    }

    /// Takes in facts about crashes and keeps those that are new.
    pub(crate) fn learn_crashes(&self, from: &str, facts: &[AgedFact]) {
        if facts.is_empty() {
            return;
        }
        let new = {
            let mut store = self.store();
            let crashes = store.crashes();
            let new = crashes.merge(facts, Instant::now());
            new.iter().for_each(|fact| log_fact(crashes, fact, from));
            new
        };
        let entries: Vec<_> =
            new.into_iter().map(|fact| (CRASHES_PARTITION, LogEntry::Fact(fact))).collect();
        self.enqueue(&entries);
    }

    /// Takes in a layout; one that is newer in no partition changes nothing.
    pub fn set_layout(&self, layout: Layout) {
        let entries = {
            let mut store = self.store();
            if store.layout().covers(&layout) {
                return;
            }
            store.set_layout(layout, self.disk())
        };
        self.enqueue(&entries);
    }

    /// Copies everything of a partition from enough of its present members
    /// and keeps it on disk, so that the instance may count in `set.next`.
    pub(crate) async fn copy_partition(
        &self,
        partition: u16,
        set: &LedgerSet,
    ) -> Result<(), PullError> {
        let mut sources: Vec<u64> = Vec::new();
        if set.contains_disk(self.disk()) {
            sources.push(self.disk());
        }
        for member in set.members.iter().filter(|member| member.disk != self.disk()) {
            if set.has_read_quorum(&sources) {
                break;
            }
            match pull::pull(self, member, partition, set.epoch).await {
                Ok(()) => sources.push(member.disk),
                Err(err) => log::warn!(
                    "event=pull_failed partition={partition} from={} error={err:?}",
                    member.instance
                ),
            }
        }
        if !set.has_read_quorum(&sources) {
            return Err(PullError::TooFew);
        }
        if !self.write(&[(partition, LogEntry::Epoch(set.epoch))]).await {
            return Err(PullError::Refused);
        }
        self.store().set_copied(partition, set.epoch);
        Ok(())
    }

    /// Takes in copied lines and waits until they are on disk, which limits
    /// how much of a copy is in memory twice.
    pub(crate) async fn store_copied(&self, partition: u16, entries: Vec<LogEntry>) -> bool {
        let entries: Vec<PartitionEntry> =
            entries.into_iter().map(|entry| (partition, entry)).collect();
        self.apply(&entries);
        self.write(&entries).await
    }

    /// Takes in lines that are written as well.
    pub(crate) fn apply(&self, entries: &[PartitionEntry]) {
        let now = Instant::now();
        let mut store = self.store();
        entries.iter().for_each(|entry| store.apply(entry.clone(), now));
    }

    /// Has lines written without waiting for the disk.
    pub(crate) fn enqueue(&self, entries: &[PartitionEntry]) {
        if entries.is_empty() {
            return;
        }
        let commit = Commit { encoded: encode_entries(entries), done: None };
        if self.shared.commits.try_send(commit).is_err() {
            log::warn!("event=log_behind dropped_lines={}", entries.len());
        }
    }

    /// Has lines written and waits for the disk. Returns whether they are
    /// there.
    pub(crate) async fn write(&self, entries: &[PartitionEntry]) -> bool {
        let (done, written) = oneshot::channel();
        let commit = Commit { encoded: encode_entries(entries), done: Some(done) };
        self.shared.commits.send(commit).await.is_ok() && written.await.is_ok()
    }

    /// Writes what waits, all of it with one sync.
    async fn commit(
        self,
        mut log: LogFile,
        mut queue: mpsc::Receiver<Commit>,
        stop: CancellationToken,
    ) {
        while let Some(first) = queue.recv().await {
            let mut encoded = first.encoded;
            let mut done: Vec<_> = first.done.into_iter().collect();
            while let Ok(more) = queue.try_recv() {
                encoded.extend_from_slice(&more.encoded);
                done.extend(more.done);
            }
            let began = Instant::now();
            let bytes = encoded.len() as u64;
            let checkpoint = log.is_checkpoint_due().then(|| self.store().all_entries());
            let written = task::spawn_blocking(move || {
                log.append(&encoded)?;
                if let Some(entries) = checkpoint {
                    log.checkpoint(&entries)?;
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
            let metrics = &self.shared.metrics;
            metrics.time("log_sync", began.elapsed().as_micros() as u64, &[]);
            metrics.add("log_bytes", bytes, &[]);
            for done in done {
                // The caller may have gone; the line stands.
                let _ = done.send(());
            }
        }
    }

    async fn expire(self) {
        loop {
            time::sleep(EXPIRE_INTERVAL).await;
            self.store().expire(Instant::now(), EXPIRE_MARGIN);
        }
    }
}

fn encode_entries(entries: &[PartitionEntry]) -> Vec<u8> {
    let mut encoded = Vec::new();
    entries.iter().for_each(|entry| encode_entry(entry, &mut encoded));
    encoded
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
