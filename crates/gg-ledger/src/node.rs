//! A ledger instance: its state, its log and its startup.

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
    AgedFact, Layout, LedgerSet, LimitReport, LogEntry, LogFile, LogSettings, OverloadReport,
    PartitionEntry, PermitIssuer, PermitReply, PermitRequest, PollingClients, TunnelOffer,
    crashes::log_fact,
    log_file::encode_entry,
    partition_store::{CRASHES_PARTITION, PartitionStore},
    permits::issuer_share,
    protocol::CrashUpdates,
    pull::{self, PullError},
    serve,
};

quick_error! {
    /// Why a ledger instance failed to start.
    #[derive(Debug)]
    pub enum NodeError {
        /// The log can't be read or written.
        Log(err: io::Error) {
            display("the log can't be read or written: {err}")
        }
        /// The instance can't listen on its address.
        Listen(address: SocketAddr, err: io::Error) {
            display("can't listen on {address}: {err}")
        }
    }
}

/// Number of connections that may wait to be accepted.
const BACKLOG: u32 = 512;

/// Number of writes that may wait for the disk.
const COMMITS_MAX: usize = 4096;

/// Interval between removals of expired entries.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(5);

/// Time that entries are retained beyond their requested lifetime, to allow for
/// the clocks of instances that were started at different times.
const EXPIRE_MARGIN: Duration = Duration::from_secs(30);

/// Settings of a ledger instance.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Address for clients and other instances.
    pub listen: SocketAddr,
    /// Folder that holds the log.
    pub folder: PathBuf,
    /// Log size in bytes that triggers a checkpoint.
    pub checkpoint_bytes: u64,
    /// Memory limit of turns and accounts in bytes. Above it no turn is opened.
    pub memory_limit: usize,
}

/// A ledger instance. Clones share its state.
#[derive(Clone, Debug)]
pub struct Node {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    disk: u64,
    /// Random number that identifies this run of the process.
    incarnation: u64,
    store: Mutex<PartitionStore>,
    /// Copy of the directory, served to gateways and other instances.
    mirror: Mutex<Mirror>,
    polling_clients: Mutex<PollingClients>,
    permit_issuer: Mutex<PermitIssuer>,
    commits: mpsc::Sender<Commit>,
    metrics: Metrics,
    memory_limit: usize,
    is_full: AtomicBool,
}

/// Encoded entries that wait for the disk.
#[derive(Debug)]
struct Commit {
    encoded: Vec<u8>,
    done: Option<oneshot::Sender<()>>,
}

impl Node {
    /// Reads the log and starts the instance, which runs until `stop` is
    /// cancelled. The instance cancels `stop` itself if the log can't be
    /// written, because nothing can be acknowledged any more.
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
            permit_issuer: Mutex::default(),
            commits,
            metrics,
            memory_limit: settings.memory_limit,
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

    /// Number of turns and of accounts.
    pub fn len(&self) -> (usize, usize) {
        self.store().len()
    }

    /// Whether the instance stores no turns and no accounts.
    pub fn is_empty(&self) -> bool {
        self.len() == (0, 0)
    }

    /// Approximate memory use of turns and accounts in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.store().bytes()
    }

    /// Whether memory for further turns is exhausted. Turns in progress are
    /// still stored.
    pub(crate) fn is_full(&self) -> bool {
        let bytes = self.memory_bytes();
        let is_full = bytes > self.shared.memory_limit;
        if self.shared.is_full.swap(is_full, Ordering::Relaxed) != is_full {
            let max = self.shared.memory_limit;
            log::warn!("event=ledger_full is_full={is_full} bytes={bytes} max={max}");
        }
        is_full
    }

    pub(crate) fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Memory limit of turns and accounts in bytes.
    pub fn memory_limit(&self) -> usize {
        self.shared.memory_limit
    }

    pub(crate) fn store(&self) -> MutexGuard<'_, PartitionStore> {
        lock(&self.shared.store)
    }

    pub(crate) fn mirror(&self) -> MutexGuard<'_, Mirror> {
        lock(&self.shared.mirror)
    }

    /// Records a poll by a client and its overload statistics. Returns the
    /// number of polling clients and the statistics summed over them.
    pub(crate) fn record_poll(
        &self,
        name: Name,
        overload: OverloadReport,
    ) -> (u32, OverloadReport) {
        let now = Instant::now();
        let mut polling_clients = lock(&self.shared.polling_clients);
        (polling_clients.record(name.clone(), overload, now), polling_clients.overload(&name, now))
    }

    /// Records whether a client that has just polled offers tunnels; returns
    /// offers of others if it asks for them.
    pub(crate) fn exchange_offers(
        &self,
        name: &str,
        offer: Option<TunnelOffer>,
        wants_peers: bool,
    ) -> Vec<TunnelOffer> {
        let mut polling_clients = lock(&self.shared.polling_clients);
        polling_clients.record_offer(name, offer);
        match wants_peers {
            true => polling_clients.sample_offers(name, Instant::now(), &mut rand::rng()),
            false => Vec::new(),
        }
    }

    /// Decides on a request for a send permit.
    pub(crate) fn issue_permit(&self, request: &PermitRequest) -> PermitReply {
        let share = issuer_share(self.store().layout(), &request.replica, self.disk());
        let reply = match share {
            None => PermitReply::NotIssuer,
            Some(share) => {
                self.observe_limit(&request.replica, request.limit);
                lock(&self.shared.permit_issuer).request(request, share, Instant::now())
            }
        };
        let result = match reply {
            PermitReply::Granted { .. } => "granted",
            PermitReply::Denied { .. } => "denied",
            PermitReply::Unlimited => "unlimited",
            PermitReply::NotIssuer => "not_issuer",
        };
        self.shared.metrics.count("permits_issued", &[("result", result)]);
        reply
    }

    /// Some of the rate limits in force.
    pub(crate) fn sample_limits(&self) -> Vec<(Name, LimitReport)> {
        lock(&self.shared.permit_issuer).sample(&mut rand::rng(), Instant::now())
    }

    /// Records the limit that a replica announces.
    pub(crate) fn observe_limit(&self, replica: &Name, limit: LimitReport) {
        let is_changed = lock(&self.shared.permit_issuer).observe(replica, limit, Instant::now());
        if is_changed {
            let rate = limit.rate.map_or("-".to_owned(), |rate| rate.to_string());
            let age = limit.age_ms;
            log::info!("event=limit_scheduled replica={replica} rate={rate} age_ms={age}");
        }
    }

    /// Applies a client's crash facts and returns those that the client may not
    /// know.
    pub(crate) fn exchange_crashes(&self, from: &str, updates: CrashUpdates) -> CrashUpdates {
        self.learn_crashes(from, &updates.facts);
        let incarnation = self.shared.incarnation;
        let acknowledged = if updates.incarnation == incarnation { updates.last } else { 0 };
        let (facts, last) = self.store().crashes().since(acknowledged, Instant::now());
        CrashUpdates { incarnation, last, facts }
    }

    /// Applies crash facts and queues the new ones for the log.
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

    /// Sets the layout. Has no effect unless a partition of it is newer than
    /// the known one.
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

    /// Copies a whole partition from a read quorum of its current members and
    /// syncs it to disk, so that the instance may count as a member in
    /// `set.next`.
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

    /// Applies copied entries and waits until they are on disk, which limits
    /// how much of a copy is held in memory twice.
    pub(crate) async fn store_copied(&self, partition: u16, entries: Vec<LogEntry>) -> bool {
        let entries: Vec<PartitionEntry> =
            entries.into_iter().map(|entry| (partition, entry)).collect();
        self.apply(&entries);
        self.write(&entries).await
    }

    /// Applies entries in memory; the caller also writes them to the log.
    pub(crate) fn apply(&self, entries: &[PartitionEntry]) {
        let now = Instant::now();
        let mut store = self.store();
        entries.iter().for_each(|entry| store.apply(entry.clone(), now));
    }

    /// Queues entries for the log without waiting for the disk.
    pub(crate) fn enqueue(&self, entries: &[PartitionEntry]) {
        if entries.is_empty() {
            return;
        }
        let commit = Commit { encoded: encode_entries(entries), done: None };
        if self.shared.commits.try_send(commit).is_err() {
            log::warn!("event=log_behind dropped_lines={}", entries.len());
        }
    }

    /// Writes entries to the log and waits for the disk. Returns whether they
    /// were synced.
    pub(crate) async fn write(&self, entries: &[PartitionEntry]) -> bool {
        let (done, written) = oneshot::channel();
        let commit = Commit { encoded: encode_entries(entries), done: Some(done) };
        self.shared.commits.send(commit).await.is_ok() && written.await.is_ok()
    }

    /// Writes queued entries to the log, all that are waiting with one sync, and
    /// a checkpoint when it is due. Cancels `stop` and returns if this fails.
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
                // The caller may have stopped waiting; the entries are stored
                // anyway.
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
