//! Records the bytes that this version writes: a log folder, and requests with
//! their replies. `tests/formats.rs` holds later versions to them.
//!
//! `cargo run -p gg-ledger --example record_formats -- FOLDER`

use std::{
    env, fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    time::Duration,
};

use gg_ledger::{
    Capacity, CrashFact, LastRun, Layout, Ledger, LedgerSet, LimitReport, LogEntry, Member, Node,
    NodeSettings, OpenRequest, PermitRequest, PollTunnels, RequestFingerprint, TunnelOffer,
    TurnKey, TurnRecord,
};
use gg_metrics::{Metrics, Registry};
use gg_platform::Kind;
use gg_protocol::{Name, OverloadStats};
use serde::Serialize;
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::{self, Instant},
};
use tokio_util::sync::CancellationToken;

/// Identity of the recorded disk.
const DISK: u64 = 7_354_040_001;

/// Identity of a disk that takes over a partition.
const OTHER_DISK: u64 = 7_354_040_002;

/// Address of the instance in the layouts that the instance knows.
const LISTED_ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 7_354);

/// Retention of turns and accounts in milliseconds; replays finish sooner.
const KEEP_MS: u32 = 24 * 3_600_000;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Positions of operations among those of a request.
const OP_OPEN: u32 = 0;
const OP_MIRROR: u32 = 8;
const OP_STATUS: u32 = 12;
const OP_PULL: u32 = 13;

/// Size of a frame's length, big-endian.
const LENGTH_BYTES: usize = 4;

type Recording = Arc<Mutex<Vec<u8>>>;

#[tokio::main]
async fn main() -> io::Result<()> {
    let target = PathBuf::from(env::args().nth(1).expect("the folder to write to"));
    let disk = TempDir::new()?;
    write_log(disk.path()).await?;
    copy_folder(disk.path(), &target.join("log"))?;
    let wire = target.join("wire");
    fs::create_dir_all(&wire)?;
    record_clients(disk.path(), &wire).await?;
    record_instance(disk.path(), &wire).await?;
    record_full(disk.path(), &wire).await
}

/// Writes a log of three segments: entries of earlier versions, and those of two
/// runs.
async fn write_log(folder: &Path) -> io::Result<()> {
    fs::write(folder.join("identity"), format!("{DISK}\n"))?;
    let crash = LogEntry::Crash { content: 17, upstream: "replica-0".into() };
    let mut segment = Vec::new();
    append_entry(&mut segment, &(0_u16, crash));
    append_entry(&mut segment, &(0_u16, LogEntry::Retention(60_000)));
    fs::write(folder.join("00000001.log"), segment)?;
    first_run(folder).await;
    second_run(folder).await;
    Ok(())
}

/// Appends an entry as it stands in a segment: length, checksum and content.
fn append_entry(segment: &mut Vec<u8>, entry: &(u16, LogEntry)) {
    let content = postcard::to_allocvec(entry).expect("encoded");
    segment.extend_from_slice(&(content.len() as u32).to_le_bytes());
    segment.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    segment.extend_from_slice(&content);
}

/// Stores turns, accounts and crash facts, and loses partition 2.
async fn first_run(folder: &Path) {
    let stop = CancellationToken::new();
    let _stop = stop.clone().drop_guard();
    let (node, address) = start(folder, usize::MAX, &stop).await;
    node.set_layout(layout(1, DISK, listed()));
    let ledger = connect("writer", layout(1, DISK, address), &stop).await;
    report_crashes(&ledger);
    let program = program_in(0);
    for (turn, previous, text) in [
        ("turn-1", None, "first text. ".to_owned()),
        ("turn-2", Some("turn-1"), "second text. ".repeat(300)),
        ("turn-3", Some("turn-2"), "third text \u{1f980} ".repeat(100)),
    ] {
        ledger.open(&budgeted(&program, turn, previous), deadline()).await.expect("opened");
        close(&ledger, Some(&program), turn, previous, text.into_bytes(), Some(30)).await;
    }
    ledger.open(&budgeted(&program, "reserved", None), deadline()).await.expect("opened");
    let kept = OpenRequest { keep_ms: Some(KEEP_MS), ..budgeted(&program, "settled", None) };
    ledger.open(&kept, deadline()).await.expect("opened");
    ledger.settle(&kept.key, 12, None);
    close(&ledger, Some(&program_in(1)), "no-budget", None, vec![0xff, 0, 0x80], None).await;
    let lost = program_in(2);
    ledger.open(&budgeted(&lost, "dropped", None), deadline()).await.expect("opened");
    close(&ledger, Some(&lost), "dropped", None, b"dropped".to_vec(), Some(5)).await;
    node.set_layout(layout(2, OTHER_DISK, listed()));
    // The reply waits for the disk, and so for all entries before.
    ledger.open(&kept, deadline()).await.expect("opened");
}

/// Gets partition 2 back, and adds a branch to the chain of the first run.
async fn second_run(folder: &Path) {
    let stop = CancellationToken::new();
    let _stop = stop.clone().drop_guard();
    let (node, address) = start(folder, usize::MAX, &stop).await;
    node.set_layout(layout(3, DISK, listed()));
    let ledger = connect("writer", layout(3, DISK, address), &stop).await;
    let text = b"after the drop".to_vec();
    close(&ledger, Some(&program_in(2)), "regained", None, text, Some(7)).await;
    let program = program_in(0);
    close(&ledger, Some(&program), "branch", Some("turn-2"), b"branch".to_vec(), Some(9)).await;
}

fn report_crashes(ledger: &Ledger) {
    let fingerprint = |number| RequestFingerprint { head: number, body: 2, caller: 3 };
    let start = "replica-1/incarnation-1".into();
    let crashed = CrashFact::Crashed { fingerprint: fingerprint(1), start };
    let replied = CrashFact::Replied { start: "replica-2/incarnation-1".into() };
    let completed = CrashFact::Completed { fingerprint: fingerprint(u64::MAX) };
    let refused = CrashFact::Refused { fingerprint: fingerprint(4) };
    for fact in [crashed, replied, completed, refused] {
        ledger.report_crash(fact, Duration::ZERO);
    }
}

/// Records the connections of two gateways.
async fn record_clients(disk: &Path, wire: &Path) -> io::Result<()> {
    let stop = CancellationToken::new();
    let _stop = stop.clone().drop_guard();
    let folder = copy(disk)?;
    let (node, address) = start(folder.path(), usize::MAX, &stop).await;
    node.set_layout(layout(3, DISK, listed()));
    let (proxy, requests, replies) = record(address, &stop).await?;
    let first = connect("gateway-1", layout(3, DISK, proxy), &stop).await;
    call_all(&first).await;
    save(wire, "gateway-1", &requests, &replies)?;
    let (proxy, requests, replies) = record(address, &stop).await?;
    let second = connect("gateway-2", layout(3, DISK, proxy), &stop).await;
    let tunnels = PollTunnels { offer: None, wants_peers: true };
    let known = [(Kind::Configuration, 3), (Kind::Upstreams, 0)];
    let polled = second.poll(&known, &vec![("service-2".into(), stats())], &tunnels).await;
    assert_eq!(polled[0].peers.len(), 1, "the offer of the first gateway");
    save(wire, "gateway-2", &requests, &replies)
}

/// Makes every kind of call that a gateway makes.
async fn call_all(ledger: &Ledger) {
    let fingerprint = RequestFingerprint { head: 5, body: 6, caller: 7 };
    ledger.record_refusal(fingerprint);
    let address = SocketAddr::from(([127, 0, 0, 1], 7_355));
    let offer = TunnelOffer { instance: "gateway-1".into(), centre: "centre-0".into(), address };
    let tunnels = PollTunnels { offer: Some(offer), wants_peers: false };
    let overload = vec![("service-1".into(), stats())];
    assert_eq!(ledger.poll(&[], &overload, &tunnels).await.len(), 1, "a reply");

    let program = program_in(0);
    let branched = OpenRequest { branch: Some("b".into()), ..budgeted(&program, "run-1", None) };
    ledger.open(&branched, deadline()).await.expect("opened");
    let run = LastRun { branch: "b".into(), upstream: "replica-4".into() };
    ledger.settle(&branched.key, 8, Some(run));
    let again = OpenRequest { branch: Some("b".into()), ..budgeted(&program, "run-2", None) };
    ledger.open(&again, deadline()).await.expect("opened");
    let next = budgeted(&program, "turn-4", Some("turn-3"));
    ledger.open(&next, deadline()).await.expect("opened");
    close(ledger, Some(&program), "turn-4", Some("turn-3"), b"fourth".to_vec(), Some(6)).await;
    let kept = OpenRequest { keep_ms: Some(KEEP_MS), ..budgeted(&program, "kept", None) };
    ledger.open(&kept, deadline()).await.expect("opened");

    assert!(ledger.has_account(&program, deadline()).await);
    let spent = OpenRequest { budget: Some((100, 50)), ..budgeted(&program, "refused", None) };
    ledger.open(&spent, deadline()).await.expect_err("the budget is spent");
    let foreign = budgeted(&program_in(1), "foreign", Some("turn-3"));
    ledger.open(&foreign, deadline()).await.expect("opened");
    let unknown = budgeted(&program, "orphan", Some("never"));
    ledger.open(&unknown, deadline()).await.expect_err("no such turn");

    let limit = |rate| LimitReport { rate, age_ms: 0 };
    let permit = |replica: &str, rate| PermitRequest {
        replica: replica.into(),
        limit: limit(rate),
        max_wait_ms: 0,
    };
    // One permit in ten seconds: the second request is denied.
    ledger.request_permit(&permit("replica-1", Some(0.1))).await;
    ledger.request_permit(&permit("replica-1", Some(0.1))).await;
    ledger.request_permit(&permit("replica-2", None)).await;
    ledger.report_limit("replica-3", limit(None));
    let start = "replica-5/incarnation-1".into();
    ledger.report_crash(CrashFact::Crashed { fingerprint, start }, Duration::ZERO);
    let absent = Name::from("absent");
    assert!(!ledger.has_account(&absent, deadline()).await);
}

/// Records the requests that instances send to each other, and refusals.
async fn record_instance(disk: &Path, wire: &Path) -> io::Result<()> {
    let stop = CancellationToken::new();
    let _stop = stop.clone().drop_guard();
    let folder = copy(disk)?;
    let (node, address) = start(folder.path(), usize::MAX, &stop).await;
    node.set_layout(layout(3, DISK, listed()));
    let known: Vec<(Kind, u64)> = vec![(Kind::Ledgers, 3)];
    let requests = [
        encode(&(1_u64, 0_u16, 0_u64, DISK, OP_MIRROR, known)),
        encode(&(2_u64, 0_u16, 1_u64, DISK, OP_STATUS)),
        encode(&(3_u64, 0_u16, 1_u64, OTHER_DISK, OP_STATUS)),
        encode(&(4_u64, 2_u16, 1_u64, DISK, OP_STATUS)),
        encode(&(5_u64, 0_u16, 4_u64, DISK, OP_PULL)),
    ];
    // A chunk and the end answer the last request.
    exchange(address, &requests, requests.len() + 1, wire, "instance").await
}

/// Records a turn that is refused because memory is exhausted.
async fn record_full(disk: &Path, wire: &Path) -> io::Result<()> {
    let stop = CancellationToken::new();
    let _stop = stop.clone().drop_guard();
    let folder = copy(disk)?;
    let (_node, address) = start(folder.path(), 0, &stop).await;
    let (reserve, none) = (Some((program_in(0), 10_u32)), None::<Name>);
    let open = ("turn", reserve, None::<u32>, none.clone(), none);
    let requests = [encode(&(1_u64, 0_u16, 1_u64, DISK, OP_OPEN, open))];
    exchange(address, &requests, 1, wire, "full").await
}

fn encode<T: Serialize>(request: &T) -> Vec<u8> {
    let content = postcard::to_allocvec(request).expect("encoded");
    [&(content.len() as u32).to_be_bytes()[..], &content].concat()
}

/// Sends requests and saves them with that many replies.
async fn exchange(
    address: SocketAddr,
    requests: &[Vec<u8>],
    count: usize,
    wire: &Path,
    name: &str,
) -> io::Result<()> {
    let mut socket = TcpStream::connect(address).await?;
    socket.write_all(&requests.concat()).await?;
    let mut replies = Vec::new();
    for _ in 0..count {
        let mut length = [0; LENGTH_BYTES];
        socket.read_exact(&mut length).await?;
        let mut content = vec![0; u32::from_be_bytes(length) as usize];
        socket.read_exact(&mut content).await?;
        replies.extend_from_slice(&length);
        replies.extend_from_slice(&content);
    }
    fs::write(wire.join(format!("{name}.requests")), requests.concat())?;
    fs::write(wire.join(format!("{name}.replies")), replies)
}

/// Forwards one connection to an instance. Returns the address to connect to,
/// and the bytes of both directions.
async fn record(
    to: SocketAddr,
    stop: &CancellationToken,
) -> io::Result<(SocketAddr, Recording, Recording)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let (requests, replies) = (Recording::default(), Recording::default());
    let (sent, received) = (requests.clone(), replies.clone());
    tokio::spawn(stop.clone().run_until_cancelled_owned(async move {
        let (near, _) = listener.accept().await?;
        let (near_in, near_out) = near.into_split();
        let (far_in, far_out) = TcpStream::connect(to).await?.into_split();
        tokio::try_join!(forward(near_in, far_out, sent), forward(far_in, near_out, received))?;
        io::Result::Ok(())
    }));
    Ok((address, requests, replies))
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    recording: Recording,
) -> io::Result<()> {
    let mut buffer = [0; 4096];
    while let count @ 1.. = from.read(&mut buffer).await? {
        recording.lock().expect("not poisoned").extend_from_slice(&buffer[..count]);
        to.write_all(&buffer[..count]).await?;
    }
    Ok(())
}

fn save(wire: &Path, name: &str, requests: &Recording, replies: &Recording) -> io::Result<()> {
    let bytes = |recording: &Recording| recording.lock().expect("not poisoned").clone();
    fs::write(wire.join(format!("{name}.requests")), bytes(requests))?;
    fs::write(wire.join(format!("{name}.replies")), bytes(replies))
}

async fn start(folder: &Path, memory_limit: usize, stop: &CancellationToken) -> (Node, SocketAddr) {
    let listen: SocketAddr = gg_fakes::free_address().parse().expect("an address");
    let capacity =
        Capacity { memory_bytes: memory_limit, disk_bytes: u64::MAX, log_bytes_min: 1 << 20 };
    let settings = NodeSettings {
        listen,
        folder: folder.into(),
        capacity,
        memory: gg_http::MemoryBudget::default(),
    };
    let metrics = Metrics::new(&Registry::default());
    (Node::start(settings, metrics, stop.clone()).await.expect("a node"), listen)
}

async fn connect(client: &str, layout: Layout, stop: &CancellationToken) -> Ledger {
    let ledger = Ledger::new(client.into(), "centre-0".into(), stop.clone());
    ledger.set_layout(layout);
    let deadline = deadline();
    while ledger.connected() == 0 {
        assert!(Instant::now() < deadline, "the instance is not connected");
        time::sleep(Duration::from_millis(10)).await;
    }
    ledger
}

/// Three partitions of one member each. Partition 2 has `epoch` and is on `disk`.
fn layout(epoch: u64, disk: u64, address: SocketAddr) -> Layout {
    let set = |epoch, disk| {
        let (instance, centre) = ("ledger-0".into(), "centre-0".into());
        let members = vec![Member { instance, disk, address, centre }];
        LedgerSet { epoch, tolerated: 0, members, next: None }
    };
    Layout { partitions: vec![set(1, DISK), set(1, DISK), set(epoch, disk)] }
}

fn listed() -> SocketAddr {
    LISTED_ADDRESS.into()
}

/// The first program that belongs to a partition.
fn program_in(partition: u16) -> Name {
    let layout = layout(1, DISK, listed());
    let mut programs = (0..).map(|number| format!("program-{number}"));
    programs.find(|program| layout.partition(program) == partition).expect("a program").into()
}

fn budgeted(program: &Name, turn: &str, previous: Option<&str>) -> OpenRequest {
    OpenRequest {
        key: TurnKey { turn: turn.into(), program: Some(program.clone()) },
        previous: previous.map(Into::into),
        budget: Some((1_000_000, 40)),
        branch: None,
        keep_ms: None,
    }
}

async fn close(
    ledger: &Ledger,
    program: Option<&Name>,
    turn: &str,
    previous: Option<&str>,
    text: Vec<u8>,
    tokens: Option<u32>,
) {
    let key = TurnKey { turn: turn.into(), program: program.cloned() };
    let record = TurnRecord {
        turn: turn.into(),
        previous: previous.map(Into::into),
        text: text.into(),
        upstream: "replica-3".into(),
        keep_ms: KEEP_MS,
    };
    ledger.close(&key, tokens, record).await.expect("closed");
}

fn stats() -> OverloadStats {
    OverloadStats { started: 9.5, late: 1.0, timed: 8.0, slow: 2.0, in_flight: 4.0, reporters: 1.0 }
}

fn deadline() -> Instant {
    Instant::now() + TIMEOUT
}

fn copy(folder: &Path) -> io::Result<TempDir> {
    let copied = TempDir::new()?;
    copy_folder(folder, copied.path())?;
    Ok(copied)
}

fn copy_folder(from: &Path, to: &Path) -> io::Result<()> {
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        fs::copy(entry.path(), to.join(entry.file_name()))?;
    }
    Ok(())
}
