//! Ledger instances in the test process, and a client of them.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod cluster;
pub mod old_instance;
pub mod recorded;

use std::{net::SocketAddr, path::Path, time::Duration};

use gg_ledger::{
    Capacity, Layout, Ledger, LedgerSet, Member, Node, NodeSettings, OpenRequest, TurnKey,
    TurnRecord,
};
use gg_metrics::{Metrics, Registry};
use tempfile::TempDir;
use tokio::time::{self, Instant};
use tokio_util::sync::{CancellationToken, DropGuard};

/// Timeout for events that must occur. Nothing is asserted about how long they
/// take.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Three instances with their disks. Dropping them keeps the disks until the
/// deployment is dropped.
pub struct Deployment {
    pub ledger: Ledger,
    pub nodes: Vec<Node>,
    _stop: DropGuard,
}

/// Disks of the instances.
pub struct Disks(pub Vec<TempDir>);

impl Disks {
    pub fn new() -> Self {
        Disks((0..3).map(|_| TempDir::new().expect("folder")).collect())
    }

    /// Starts an instance on each disk and a client that is connected to all.
    pub async fn start(&self, memory_limit: usize) -> Deployment {
        let stop = CancellationToken::new();
        let mut nodes = Vec::new();
        let mut members = Vec::new();
        for (number, disk) in self.0.iter().enumerate() {
            let listen = free_address();
            let settings = settings(listen, disk.path(), memory_limit);
            let metrics = Metrics::new(&Registry::default());
            let node = Node::start(settings, metrics, stop.clone()).await.expect("a node");
            let instance = format!("ledger-{number}").into();
            let centre = format!("centre-{number}").into();
            members.push(Member { instance, disk: node.disk(), address: listen, centre });
            nodes.push(node);
        }
        let set = LedgerSet { epoch: 1, tolerated: 1, members, next: None };
        let layout = Layout { partitions: vec![set] };
        nodes.iter().for_each(|node| node.set_layout(layout.clone()));
        let ledger = Ledger::new("client".into(), "centre-0".into(), stop.clone());
        ledger.set_layout(layout);
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while ledger.connected() < 3 {
            assert!(Instant::now() < deadline, "the members are not connected");
            time::sleep(Duration::from_millis(10)).await;
        }
        Deployment { ledger, nodes, _stop: stop.drop_guard() }
    }
}

/// An instance, and a client that is connected to it.
pub struct Single {
    pub ledger: Ledger,
    pub node: Node,
    pub address: SocketAddr,
    _stop: DropGuard,
}

/// Starts an instance of the recorded layout.
pub async fn start_single(settings: NodeSettings) -> Single {
    let stop = CancellationToken::new();
    let address = settings.listen;
    let metrics = Metrics::new(&Registry::default());
    let node = Node::start(settings, metrics, stop.clone()).await.expect("a node");
    // The recorded replies hold this address.
    node.set_layout(recorded::layout(([127, 0, 0, 1], 7_354).into()));
    let ledger = connect(address, &stop).await;
    Single { ledger, node, address, _stop: stop.drop_guard() }
}

/// A client of the recorded layout's only member.
pub async fn connect(address: SocketAddr, stop: &CancellationToken) -> Ledger {
    let ledger = Ledger::new("gateway-1".into(), "centre-0".into(), stop.clone());
    ledger.set_layout(recorded::layout(address));
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while ledger.connected() == 0 {
        assert!(Instant::now() < deadline, "the instance is not connected");
        time::sleep(Duration::from_millis(10)).await;
    }
    ledger
}

/// Settings of an instance whose log is at least 1 MiB large before segments are
/// removed.
pub fn settings(listen: SocketAddr, folder: &Path, memory_bytes: usize) -> NodeSettings {
    let capacity = Capacity { memory_bytes, disk_bytes: u64::MAX, log_bytes_min: 1 << 20 };
    NodeSettings {
        listen,
        folder: folder.into(),
        capacity,
        memory: gg_http::MemoryBudget::default(),
    }
}

pub fn free_address() -> SocketAddr {
    gg_fakes::free_address().parse().expect("an address")
}

pub fn key(program: &str, turn: &str) -> TurnKey {
    TurnKey { turn: turn.into(), program: Some(program.into()) }
}

/// A turn that continues `previous` in a program with a budget.
pub fn request(program: &str, turn: &str, previous: Option<&str>) -> OpenRequest {
    OpenRequest {
        key: key(program, turn),
        previous: previous.map(Into::into),
        budget: Some((1_000_000, 10)),
        branch: None,
        keep_ms: None,
    }
}

pub fn record(turn: &str, previous: Option<&str>, text: String) -> TurnRecord {
    TurnRecord {
        turn: turn.into(),
        previous: previous.map(Into::into),
        text: text.into(),
        upstream: "replica".into(),
        keep_ms: 60_000,
    }
}
