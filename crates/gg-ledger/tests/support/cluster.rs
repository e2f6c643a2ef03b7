//! Instances behind proxies: each can be restarted, cut off and silenced while
//! clients go on.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use gg_ledger::{Layout, Ledger, LedgerSet, Member, Node};
use gg_metrics::{Metrics, Registry};
use tempfile::TempDir;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{self, Instant},
};
use tokio_util::sync::{CancellationToken, DropGuard};

use super::{WAIT_TIMEOUT, free_address, settings};

/// Interval between checks of a condition that must occur.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Instances of one partition.
pub struct Cluster {
    pub instances: Vec<Instance>,
    pub layout: Layout,
    stop: CancellationToken,
    _guard: DropGuard,
}

/// An instance with its disk, and the proxy that its clients connect to.
pub struct Instance {
    pub silence: watch::Sender<bool>,
    /// Number of connections that clients have opened.
    pub connections: Arc<AtomicUsize>,
    running: Option<(Node, CancellationToken)>,
    listen: SocketAddr,
    proxy: SocketAddr,
    folder: TempDir,
}

impl Instance {
    async fn new(stop: &CancellationToken) -> Self {
        let proxy = TcpListener::bind("127.0.0.1:0").await.expect("loopback port");
        let address = proxy.local_addr().expect("bound address");
        let (silence, silenced) = watch::channel(false);
        let connections = Arc::new(AtomicUsize::new(0));
        let listen = free_address();
        tokio::spawn(stop.clone().run_until_cancelled_owned(forward(
            proxy,
            listen,
            (silenced, connections.clone()),
        )));
        let folder = TempDir::new().expect("folder");
        Instance { silence, connections, running: None, listen, proxy: address, folder }
    }

    async fn start(&mut self) -> u64 {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while TcpListener::bind(self.listen).await.is_err() {
            assert!(Instant::now() < deadline, "the address stays in use");
            time::sleep(POLL_INTERVAL).await;
        }
        let settings = settings(self.listen, self.folder.path(), 1 << 30);
        let (metrics, stop) = (Metrics::new(&Registry::default()), CancellationToken::new());
        let node = Node::start(settings, metrics, stop.clone()).await.expect("a node");
        let disk = node.disk();
        self.running = Some((node, stop));
        disk
    }
}

impl Cluster {
    /// Starts instances in data centres of their own, of which `tolerated` may
    /// be lost at once.
    pub async fn start(tolerated: usize) -> Self {
        let stop = CancellationToken::new();
        let mut instances = Vec::new();
        let mut members = Vec::new();
        for number in 0..2 * tolerated + 1 {
            let mut instance = Instance::new(&stop).await;
            let disk = instance.start().await;
            members.push(Member {
                instance: format!("ledger-{number}").into(),
                disk,
                address: instance.proxy,
                centre: format!("centre-{}", number % 3).into(),
            });
            instances.push(instance);
        }
        let set = LedgerSet { epoch: 1, tolerated, members, next: None };
        let layout = Layout { partitions: vec![set] };
        let cluster =
            Cluster { instances, layout, stop: stop.clone(), _guard: stop.clone().drop_guard() };
        cluster.announce();
        cluster
    }

    fn announce(&self) {
        let running = self.instances.iter().flat_map(|instance| &instance.running);
        running.for_each(|(node, _)| node.set_layout(self.layout.clone()));
    }

    /// Creates a client that is connected to all instances.
    pub async fn connect(&self, name: &str) -> Ledger {
        let ledger = Ledger::new(name.into(), "centre-0".into(), self.stop.clone());
        ledger.set_layout(self.layout.clone());
        wait_connected(&ledger, self.instances.len()).await;
        ledger
    }

    /// Number of connections that clients have opened to all instances.
    pub fn connections(&self) -> usize {
        let connections = self.instances.iter().map(|instance| &instance.connections);
        connections.map(|connections| connections.load(Ordering::Relaxed)).sum()
    }

    /// Stops an instance. It keeps its disk.
    pub async fn stop(&mut self, number: usize) {
        let (node, stop) = self.instances[number].running.take().expect("running");
        stop.cancel();
        node.log_closed().await;
    }

    /// Starts a stopped instance again.
    pub async fn restart(&mut self, number: usize) {
        self.instances[number].start().await;
        self.announce();
    }

    /// Bytes that the turns and accounts of an instance take in its log, a
    /// measure of how many it holds.
    pub fn needed_bytes(&self, number: usize) -> u64 {
        let (node, _) = self.instances[number].running.as_ref().expect("running");
        node.usage().needed
    }

    /// Starts a stopped instance with an empty disk, which is not a member.
    pub async fn restart_empty(&mut self, number: usize) {
        self.instances[number].folder = TempDir::new().expect("folder");
        self.restart(number).await;
    }
}

/// Waits until a client is connected to this many instances.
pub async fn wait_connected(ledger: &Ledger, count: usize) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while ledger.connected() != count {
        assert!(Instant::now() < deadline, "{} of {count} connected", ledger.connected());
        time::sleep(POLL_INTERVAL).await;
    }
}

/// Forwards connections; data is held back while silenced.
async fn forward(
    proxy: TcpListener,
    to: SocketAddr,
    (silenced, connections): (watch::Receiver<bool>, Arc<AtomicUsize>),
) {
    while let Ok((near, _)) = proxy.accept().await {
        connections.fetch_add(1, Ordering::Relaxed);
        let Ok(far) = TcpStream::connect(to).await else { continue };
        let (near_in, near_out) = near.into_split();
        let (far_in, far_out) = far.into_split();
        tokio::spawn(copy_bytes(near_in, far_out, silenced.clone()));
        tokio::spawn(copy_bytes(far_in, near_out, silenced.clone()));
    }
}

async fn copy_bytes(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut silenced: watch::Receiver<bool>,
) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        let _ = silenced.wait_for(|is_silent| !is_silent).await;
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
