//! Measures what it costs that a member lacks settled turns of programs: what
//! the first turn of each program takes, and what is sent for it.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use gg_ledger::{
    Capacity, Layout, Ledger, LedgerSet, LogEntry, LogFile, LogTime, Member, Node, NodeSettings,
    OpenRequest, TurnKey, encode_entry,
};
use gg_metrics::{Metrics, Registry};
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp},
    time::{self, Instant},
};
use tokio_util::sync::CancellationToken;

use crate::{Result, cpu_ms, median_most};

const TOLERATED: usize = 2;
const PROGRAMS: usize = 200;
/// Turns of each program, and how many of them the first member lacks.
const CASES: [(usize, usize); 5] = [(6, 0), (6, 3), (290, 3), (580, 3), (580, 580)];
const TURN_TOKENS: u32 = 480;

/// Prints a row for each case.
pub async fn measure_accounts() -> Result<()> {
    println!(
        "| turns, lacking | first turn ms: median, most | bytes of it | CPU ms of it \
         | the same if accounts are merged first | next turn ms | bytes |"
    );
    for (turns, lacking) in CASES {
        let roomy = measure(turns, lacking, u64::MAX).await?;
        let tight = measure(turns, lacking, u64::from(TURN_TOKENS) * (turns as u64 + 2)).await?;
        println!(
            "| {turns}, {lacking} | {} | {} | {:.2} | {} | {} | {:.2} | {} | {} |",
            roomy[0].times,
            roomy[0].bytes,
            roomy[0].cpu,
            tight[0].times,
            tight[0].bytes,
            tight[0].cpu,
            roomy[1].times,
            roomy[1].bytes
        );
    }
    Ok(())
}

/// Times, bytes of all messages and processor time for one turn.
struct Row {
    times: String,
    bytes: u64,
    cpu: f64,
}

/// Opens two turns of each program, one after the other.
async fn measure(turns: usize, lacking: usize, budget: u64) -> Result<Vec<Row>> {
    let stop = CancellationToken::new();
    let _stop = stop.clone().drop_guard();
    let bytes = Arc::new(AtomicU64::new(0));
    let mut folders = Vec::new();
    let mut nodes = Vec::new();
    let mut members = Vec::new();
    for number in 0..2 * TOLERATED + 1 {
        let folder = TempDir::new()?;
        write_accounts(folder.path(), turns - if number == 0 { lacking } else { 0 })?;
        let (node, member) = start(number, folder.path(), &bytes, &stop).await?;
        folders.push(folder);
        nodes.push(node);
        members.push(member);
    }
    let set = LedgerSet { epoch: 1, tolerated: TOLERATED, members, next: None };
    let layout = Layout { partitions: vec![set] };
    nodes.iter().for_each(|node| node.set_layout(layout.clone()));
    let ledger = Ledger::new("client".into(), "centre-0".into(), stop);
    ledger.set_layout(layout);
    while ledger.connected() < nodes.len() {
        time::sleep(Duration::from_millis(5)).await;
    }
    let mut rows = Vec::new();
    for round in 0..2 {
        let (before, cpu) = (bytes.load(Ordering::Relaxed), cpu_ms()?);
        let mut times = Vec::new();
        for number in 0..PROGRAMS {
            let key = TurnKey {
                turn: turn_name(number, turns + round),
                program: Some(program_name(number)),
            };
            let budget = Some((budget, TURN_TOKENS));
            let request = OpenRequest {
                key: key.clone(),
                previous: None,
                budget,
                branch: None,
                keep_ms: None,
            };
            let began = Instant::now();
            ledger.open(&request, began + Duration::from_secs(10)).await?;
            times.push(began.elapsed());
            ledger.settle(&key, TURN_TOKENS, None);
            // Accounts are reconciled a few at a time.
            time::sleep(Duration::from_millis(5)).await;
        }
        time::sleep(Duration::from_millis(500)).await;
        let programs = PROGRAMS as u64;
        let bytes = (bytes.load(Ordering::Relaxed) - before) / programs;
        let cpu = (cpu_ms()? - cpu) as f64 / programs as f64;
        rows.push(Row { times: median_most(times), bytes, cpu });
    }
    Ok(rows)
}

async fn start(
    number: usize,
    folder: &Path,
    bytes: &Arc<AtomicU64>,
    stop: &CancellationToken,
) -> Result<(Node, Member)> {
    let proxy = TcpListener::bind("127.0.0.1:0").await?;
    let address = proxy.local_addr()?;
    let listen = std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let capacity = Capacity { memory_bytes: 1 << 30, disk_bytes: u64::MAX, log_bytes_min: 1 << 20 };
    let settings = NodeSettings {
        listen,
        folder: folder.into(),
        capacity,
        memory: gg_http::MemoryBudget::default(),
    };
    let metrics = Metrics::new(&Registry::default());
    let node = Node::start(settings, metrics, stop.clone()).await?;
    let forwarding = forward(proxy, listen, bytes.clone());
    tokio::spawn(stop.clone().run_until_cancelled_owned(forwarding));
    let (instance, centre) = (format!("ledger-{number}"), format!("centre-{}", number % 3));
    let member =
        Member { instance: instance.into(), disk: node.disk(), address, centre: centre.into() };
    Ok((node, member))
}

fn program_name(number: usize) -> gg_protocol::Name {
    format!("program-{number:08}").into()
}

/// As long as the names of requests are.
fn turn_name(program: usize, turn: usize) -> gg_protocol::Name {
    format!("{program:08x}{turn:08x}").into()
}

fn write_accounts(folder: &Path, turns: usize) -> Result<()> {
    let (mut log, _) = LogFile::open(folder, |_| ())?;
    let mut encoded = Vec::new();
    encode_entry(&(0, LogEntry::Retention(600_000)), LogTime::BEGIN, &mut encoded);
    for number in 0..PROGRAMS {
        for turn in 0..turns {
            let (program, turn) = (program_name(number), turn_name(number, turn));
            let entry = LogEntry::Settle { program, turn, tokens: TURN_TOKENS };
            encode_entry(&(0, entry), LogTime::BEGIN, &mut encoded);
        }
    }
    log.append(&encoded)?;
    Ok(())
}

/// Forwards connections and counts what they carry.
async fn forward(proxy: TcpListener, to: SocketAddr, bytes: Arc<AtomicU64>) {
    while let Ok((near, _)) = proxy.accept().await {
        let Ok(far) = TcpStream::connect(to).await else { continue };
        if near.set_nodelay(true).and(far.set_nodelay(true)).is_err() {
            continue;
        }
        let (near_in, near_out) = near.into_split();
        let (far_in, far_out) = far.into_split();
        tokio::spawn(copy(near_in, far_out, bytes.clone()));
        tokio::spawn(copy(far_in, near_out, bytes.clone()));
    }
}

async fn copy(mut from: tcp::OwnedReadHalf, mut to: tcp::OwnedWriteHalf, bytes: Arc<AtomicU64>) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        bytes.fetch_add(count as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
