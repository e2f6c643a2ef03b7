//! A ledger instance: its state, its log and its startup.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use gg_http::{MemoryBudget, listen_socket};
use gg_metrics::Metrics;
use gg_platform::Mirror;
use gg_protocol::Name;
use quick_error::quick_error;
use tokio::{sync::Semaphore, task, time};
use tokio_util::sync::CancellationToken;

use crate::{
    AgedFact, Capacity, CreditIssuer, CreditReply, CreditRequest, Layout, LedgerSet, LimitReport,
    LogClock, LogEntry, LogReader, LogTime, Opener, OverloadReport, PartitionEntry, PermitIssuer,
    PermitReply, PermitRequest, PollingClients, TunnelOffer, Usage,
    commits::{Batch, CommitQueue, write_commits},
    crashes::log_fact,
    partition_store::{CRASHES_PARTITION, PartitionStore},
    permits::issuer_share,
    protocol::CrashUpdates,
    pull::{self, PullError},
    recovery::{Recovered, recover},
    serve,
    set::FIRST_EPOCH,
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

/// Interval between removals of expired entries.
pub(crate) const EXPIRE_INTERVAL: Duration = Duration::from_secs(5);

/// Time after the start in which nothing expires while there is room. A turn that
/// was running before may end meanwhile, and continues turns that only its
/// opening had marked as used.
const RUNNING_TURN_TIME: Duration = Duration::from_secs(60);

/// Time that entries are retained beyond their requested lifetime: for requests
/// that are sent at its end and repeated until their deadline, and for the
/// interval between removals.
pub(crate) const EXPIRE_MARGIN: Duration = Duration::from_secs(15);

/// Minimum time between two log lines on who is refused.
const REFUSING_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Number of chains that may be read from the log at a time. Each takes a
/// thread.
const READS_MAX: usize = 4;

/// Settings of a ledger instance.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Address for clients and other instances.
    pub listen: SocketAddr,
    /// Folder that holds the log.
    pub folder: PathBuf,
    /// Bounds of what the instance holds.
    pub capacity: Capacity,
    /// Budget for large requests and replies.
    pub memory: MemoryBudget,
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
    credit_issuer: Mutex<CreditIssuer>,
    /// Epochs of the partitions that the log held at the start.
    recovered_epochs: HashMap<u16, u64>,
    commits: CommitQueue,
    clock: LogClock,
    log: LogReader,
    /// Limits the number of chains that are read from the log at a time.
    reads: Semaphore,
    metrics: Metrics,
    capacity: Capacity,
    /// Budget for large requests and replies.
    memory: MemoryBudget,
    refusing: Mutex<Refusing>,
    /// Cancelled once nothing more is written to the log.
    log_closed: CancellationToken,
}

/// Openers that are refused, as last logged.
#[derive(Debug, Default)]
struct Refusing {
    opener: Option<Opener>,
    logged_at: Option<Instant>,
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
        let folder = settings.folder.clone();
        let reading = task::spawn_blocking(move || recover(&folder));
        let read = reading.await.map_err(io::Error::other).and_then(|read| read);
        let Recovered { log, store, clock, stats } = read.map_err(NodeError::Log)?;
        let (turns, programs) = store.len();
        log::info!(
            "event=ledger_read disk={} lines={} turns={turns} programs={programs} torn_bytes={} \
             damaged_bytes={} unknown={} log_bytes={}",
            stats.disk,
            stats.entries,
            stats.torn_bytes,
            stats.damaged_bytes,
            stats.unknown_entries,
            log.reader().bytes()
        );
        let (commits, queue) = CommitQueue::new();
        let shared = Shared {
            disk: stats.disk,
            incarnation: rand::random(),
            recovered_epochs: store.epochs(),
            store: Mutex::new(store),
            mirror: Mutex::default(),
            polling_clients: Mutex::default(),
            permit_issuer: Mutex::default(),
            credit_issuer: Mutex::default(),
            commits,
            clock,
            log: log.reader(),
            reads: Semaphore::new(READS_MAX),
            metrics,
            capacity: settings.capacity,
            memory: settings.memory,
            refusing: Mutex::default(),
            log_closed: CancellationToken::new(),
        };
        let node = Node { shared: Arc::new(shared) };
        let listener = listen_socket(settings.listen, BACKLOG)
            .map_err(|err| NodeError::Listen(settings.listen, err))?;
        let writing = write_commits(node.clone(), log, queue, stop.clone());
        let closing = node.shared.log_closed.clone().drop_guard();
        tokio::spawn(async move {
            let _closing = closing;
            writing.await;
        });
        tokio::spawn(stop.clone().run_until_cancelled_owned(node.clone().expire()));
        let accepting = serve::accept(node.clone(), listener, stop.clone());
        tokio::spawn(stop.run_until_cancelled_owned(accepting));
        Ok(node)
    }

    /// Waits until a stopped instance writes no more to its log, so that the
    /// folder can be opened again.
    pub async fn log_closed(&self) {
        self.shared.log_closed.cancelled().await;
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

    /// What the instance holds.
    pub fn usage(&self) -> Usage {
        let bytes = self.store().bytes();
        Usage {
            memory: bytes.memory() as u64,
            needed: bytes.log,
            backlog: self.shared.commits.backlog(),
        }
    }

    /// Size of all segments of the log in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.shared.log.bytes()
    }

    /// Bounds of what the instance holds.
    pub fn capacity(&self) -> Capacity {
        self.shared.capacity
    }

    /// Budget for large requests and replies.
    pub fn memory(&self) -> &MemoryBudget {
        &self.shared.memory
    }

    /// Bytes that the log may take before its oldest segment is removed.
    pub(crate) fn log_bytes_max(&self) -> u64 {
        self.capacity().log_bytes(self.store().bytes().log)
    }

    /// Whether a turn may be opened. Turns in progress are stored in any case.
    pub(crate) fn admits(&self, opener: Opener) -> bool {
        let (usage, capacity) = (self.usage(), self.capacity());
        let (fill, bound) = capacity.fill(usage);
        let openers = [Opener::InProgress, Opener::NewProgram];
        let refused = openers.into_iter().find(|opener| !capacity.admits(fill, *opener));
        self.log_refusing(refused, usage, fill, bound);
        capacity.admits(fill, opener)
    }

    /// Whether the disk takes nothing, or far less than arrives.
    pub(crate) fn is_stuck(&self) -> bool {
        self.capacity().is_stuck(self.shared.commits.backlog())
    }

    /// Logs a change of who is refused, at most once in [`REFUSING_LOG_INTERVAL`].
    fn log_refusing(&self, opener: Option<Opener>, usage: Usage, fill: u64, bound: &str) {
        let mut refusing = lock(&self.shared.refusing);
        let is_recent = refusing.logged_at.is_some_and(|at| at.elapsed() < REFUSING_LOG_INTERVAL);
        if refusing.opener == opener || is_recent {
            return;
        }
        *refusing = Refusing { opener, logged_at: Some(Instant::now()) };
        let refused = match opener {
            None => "none",
            Some(Opener::NewProgram) => "new",
            Some(Opener::InProgress) => "all",
        };
        let Usage { memory, needed, backlog } = usage;
        log::warn!(
            "event=ledger_full refused={refused} percent={fill} bound={bound} memory={memory} \
             needed={needed} backlog={backlog}"
        );
    }

    pub(crate) fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    pub(crate) fn commits(&self) -> &CommitQueue {
        &self.shared.commits
    }

    /// Reads single entries of the log.
    pub(crate) fn log(&self) -> &LogReader {
        &self.shared.log
    }

    /// Limits the number of chains that are read from the log at a time.
    pub(crate) fn reads(&self) -> &Semaphore {
        &self.shared.reads
    }

    /// Current log time.
    pub(crate) fn now(&self) -> LogTime {
        self.shared.clock.now()
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

    /// Decides on a request for credit of a client account.
    pub(crate) fn issue_credit(&self, request: &CreditRequest) -> CreditReply {
        let now = Instant::now();
        let mut issuer = lock(&self.shared.credit_issuer);
        if issuer.observe(&request.account, request.limit, now) {
            let (account, limit) = (&request.account, request.limit);
            log::info!(
                "event=credit_limit account={account} rate={:.2} depth={:.1} version={}",
                limit.rate,
                limit.depth,
                limit.version
            );
        }
        let reply = issuer.request(request, self.disk(), now);
        for (account, used) in issuer.report(now) {
            log::info!(
                "event=account_use account={account} granted={} denied={} denied_new={} \
                 level={:.1} programs={}",
                used.granted,
                used.denied,
                used.denied_new,
                used.level,
                used.programs
            );
        }
        drop(issuer);
        let result = match reply {
            CreditReply::Granted(_) => "granted",
            CreditReply::Denied { .. } => "denied",
            CreditReply::NotIssuer => "not_issuer",
        };
        self.shared.metrics.count("credit_issued", &[("result", result)]);
        reply
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
            let mut sets = (0..).zip(&layout.partitions);
            let recovered = &self.shared.recovered_epochs;
            let is_former = sets.all(|(number, set)| {
                set.epoch == FIRST_EPOCH || recovered.get(&number) == Some(&set.epoch)
            });
            let mut issuer = lock(&self.shared.credit_issuer);
            issuer.record_layout(layout.disks(), is_former, Instant::now());
            drop(issuer);
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
        let mut store = self.store();
        store.mark_chains(partition);
        store.set_copied(partition, set.epoch);
        Ok(())
    }

    /// Applies copied entries, each with the time since its last use, and waits
    /// until they are on disk, which limits how much of a copy is held in memory
    /// twice.
    pub(crate) async fn store_copied(
        &self,
        partition: u16,
        entries: Vec<(LogEntry, Duration)>,
    ) -> bool {
        let (mut batch, now) = (Batch::default(), self.now());
        for (entry, age) in entries {
            let entry = (partition, entry);
            batch.push(&entry, now.before(age));
            self.store().apply(entry, now.before(age));
        }
        self.shared.commits.write(batch).await
    }

    /// Applies entries in memory; the caller also writes them to the log.
    pub(crate) fn apply(&self, entries: &[PartitionEntry]) {
        let now = self.now();
        let mut store = self.store();
        entries.iter().for_each(|entry| store.apply(entry.clone(), now));
    }

    /// Queues entries for the log without waiting for the disk.
    pub(crate) fn enqueue(&self, entries: &[PartitionEntry]) {
        if !entries.is_empty() {
            self.shared.commits.push(Batch::new(entries, self.now()));
        }
    }

    /// Writes entries to the log and waits for the disk. Returns whether they
    /// were synced.
    pub(crate) async fn write(&self, entries: &[PartitionEntry]) -> bool {
        self.shared.commits.write(Batch::new(entries, self.now())).await
    }

    async fn expire(self) {
        let started_at = Instant::now();
        loop {
            time::sleep(EXPIRE_INTERVAL).await;
            let is_starting = started_at.elapsed() < RUNNING_TURN_TIME;
            if is_starting && self.admits(Opener::NewProgram) {
                continue;
            }
            self.store().expire(self.now(), EXPIRE_MARGIN);
        }
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
