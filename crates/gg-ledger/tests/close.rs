//! Turns that are closed while the member set changes.

mod support;

use std::{net::SocketAddr, time::Duration};

use gg_ledger::{Layout, Ledger, LedgerSet, Member, Node, OpenRequest, TurnKey, TurnRecord};
use gg_metrics::{Metrics, Registry};
use tempfile::TempDir;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{self, Instant},
};
use tokio_util::sync::CancellationToken;

/// Timeout for events that must occur. Nothing is asserted about how long they
/// take.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// An instance behind a proxy that can stop forwarding.
struct Instance {
    node: Node,
    member: Member,
    silence: watch::Sender<bool>,
    _folder: TempDir,
}

impl Instance {
    async fn start(name: &str, stop: &CancellationToken) -> Self {
        let folder = TempDir::new().expect("folder");
        let listen = free_address();
        let settings = support::settings(listen, folder.path(), usize::MAX);
        let node = Node::start(settings, Metrics::new(&Registry::default()), stop.clone())
            .await
            .expect("a node");
        let proxy = TcpListener::bind("127.0.0.1:0").await.expect("loopback port");
        let address = proxy.local_addr().expect("bound address");
        let (silence, silenced) = watch::channel(false);
        tokio::spawn(stop.clone().run_until_cancelled_owned(forward(proxy, listen, silenced)));
        let member =
            Member { instance: name.into(), disk: node.disk(), address, centre: name.into() };
        Instance { node, member, silence, _folder: folder }
    }
}

/// Forwards connections; data is held back while silenced.
async fn forward(proxy: TcpListener, to: SocketAddr, silenced: watch::Receiver<bool>) {
    while let Ok((near, _)) = proxy.accept().await {
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
    let mut buffer = [0; 4096];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        let _ = silenced.wait_for(|is_silent| !is_silent).await;
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

fn free_address() -> SocketAddr {
    gg_fakes::free_address().parse().expect("an address")
}

fn layout(epoch: u64, members: &[&Instance]) -> Layout {
    let members = members.iter().map(|instance| instance.member.clone()).collect();
    Layout { partitions: vec![LedgerSet { epoch, tolerated: 1, members, next: None }] }
}

fn key(turn: &str) -> TurnKey {
    TurnKey { turn: turn.into(), program: Some("p".into()) }
}

fn record(turn: &str) -> TurnRecord {
    TurnRecord {
        turn: turn.into(),
        previous: None,
        text: "text".into(),
        upstream: "replica".into(),
        keep_ms: 60_000,
    }
}

/// Closes a turn on members a, b and c after `silent` stopped responding and d
/// replaced `replaced`. The client does not know of the change yet.
async fn close_during_change(silent: usize, replaced: usize) {
    let stop = CancellationToken::new();
    let _stop = stop.clone().drop_guard();
    let mut instances = Vec::new();
    for name in ["a", "b", "c", "d"] {
        instances.push(Instance::start(name, &stop).await);
    }
    let [a, b, c, d] = &instances[..] else { unreachable!() };
    let before = layout(1, &[a, b, c]);
    let mut members = [a, b, c];
    members[replaced] = d;
    let after = layout(3, &members);
    instances.iter().for_each(|instance| instance.node.set_layout(before.clone()));
    let ledger = Ledger::new("client".into(), "a".into(), stop.clone());
    ledger.set_layout(before);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while ledger.connected() < 3 {
        assert!(Instant::now() < deadline, "the members are not connected");
        time::sleep(Duration::from_millis(10)).await;
    }
    instances[silent].silence.send_replace(true);
    instances.iter().for_each(|instance| instance.node.set_layout(after.clone()));
    let closed = ledger.close(&key("t"), Some(10), record("t")).await;
    closed.expect("two members of the new set hold the turn");
    let (key, previous) = (key("u"), Some("t".into()));
    let next = OpenRequest { key, previous, budget: None, branch: None, keep_ms: None };
    let opened = ledger.open(&next, Instant::now() + WAIT_TIMEOUT).await.expect("an answer");
    assert_eq!(opened.history, "text");
}

/// Guards against waiting for a member that is silent and has left the set: its
/// link is closed, so no reply arrives.
#[tokio::test]
async fn silent_member_is_replaced() {
    close_during_change(1, 1).await;
}

/// One member is silent and another one is replaced: the two preferred members
/// are the silent one and one that refuses the old epoch.
#[tokio::test]
async fn other_member_is_replaced() {
    close_during_change(1, 2).await;
}

/// Settlements must be accepted from a client that does not know of the latest
/// change of the set, because they are not retried.
#[tokio::test]
async fn settlements_of_older_epoch_count() {
    let stop = CancellationToken::new();
    let _stop = stop.clone().drop_guard();
    let mut instances = Vec::new();
    for name in ["a", "b", "c"] {
        instances.push(Instance::start(name, &stop).await);
    }
    let [a, b, c] = &instances[..] else { unreachable!() };
    let before = layout(1, &[a, b, c]);
    instances.iter().for_each(|instance| instance.node.set_layout(before.clone()));
    let ledger = Ledger::new("client".into(), "a".into(), stop.clone());
    ledger.set_layout(before);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while ledger.connected() < 3 {
        assert!(Instant::now() < deadline, "the members are not connected");
        time::sleep(Duration::from_millis(10)).await;
    }
    let open = async |turn: &str| {
        let (key, budget) = (key(turn), Some((200, 100)));
        let request =
            OpenRequest { key, previous: None, budget, branch: None, keep_ms: Some(60_000) };
        ledger.open(&request, Instant::now() + WAIT_TIMEOUT).await
    };
    open("t").await.expect("100 of 200");
    open("u").await.expect("200 of 200");
    let after = layout(3, &[a, b, c]);
    instances.iter().for_each(|instance| instance.node.set_layout(after.clone()));
    ledger.settle(&key("t"), 10, None);
    ledger.settle(&key("u"), 10, None);
    open("v").await.expect("20 of 200 are spent");
}
