//! Measures what the histories of a ledger instance take in memory and on disk,
//! how long a restart takes, and how long it takes to open a turn whose chain is
//! in the log only. Prints a row for each size. Needs `dd` to empty the page
//! cache of the log.

mod accounts;
mod histories;

use std::{
    env, fs,
    net::TcpListener,
    path::Path,
    process::{Command, Stdio},
    sync::Arc,
    time::Duration,
};

use futures::future::join_all;
use gg_ledger::{
    Capacity, Layout, Ledger, LedgerSet, Member, Node, NodeSettings, OpenRequest, TurnKey,
};
use gg_metrics::{Metrics, Registry};
use gg_protocol::Name;
use histories::{
    LONG_TEXT_BYTES, LONG_TURNS, TEXT_BYTES, TURNS_PER_PROGRAM, name, programs, record, turn_name,
    write_log,
};
use tempfile::TempDir;
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;

/// The allocator of the product's binaries.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

const SIZES_MB: [usize; 4] = [1, 10, 100, 400];
const CHAINS: usize = 200;
const LONG_CHAINS: usize = 50;
const OPEN_DEADLINE: Duration = Duration::from_secs(10);
/// Unit of processor times in /proc.
const TICK_MS: u64 = 10;

const STREAM_TURNS_PER_SECOND: u64 = 300;
const STREAM_KEEP_MS: u32 = 1_000;
const STREAM_SECONDS: u64 = 70;
/// Seconds until the log is twice as large as what is needed of it.
const STREAM_LEAD_SECONDS: u64 = 45;

type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

// Like the ledger command, on one thread.
#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let args: Vec<String> = env::args().skip(1).collect();
    match args.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] => measure_all(),
        ["stream"] => measure_stream().await,
        ["accounts"] => accounts::measure_accounts().await,
        [megabytes, folder] => measure(megabytes.parse()?, Path::new(folder)).await,
        _ => Err("usage: ledger_capacity [stream|accounts]".into()),
    }
}

/// Prepares the logs, and measures each size in a process of its own.
fn measure_all() -> Result<()> {
    println!(
        "| histories MB | turns | needed MB | memory MB before, after | counted MB | B a turn \
         | start s, CPU s | 6 turns, disk: median, most ms | cached | 580 turns, disk, cached ms \
         | 200 at once, disk: median, most ms, refused | cached \
         | 580 turns, 50 at once, cached | memory MB at the end |"
    );
    for megabytes in SIZES_MB {
        let folder = TempDir::new()?;
        write_log(folder.path(), programs(megabytes))?;
        empty_page_cache(folder.path())?;
        let arguments = [megabytes.to_string().into(), folder.path().as_os_str().to_owned()];
        let status = Command::new(env::current_exe()?).args(arguments).status()?;
        if !status.success() {
            return Err(format!("{megabytes} MB: {status}").into());
        }
    }
    Ok(())
}

async fn measure(megabytes: usize, folder: &Path) -> Result<()> {
    let (memory_before, cpu_before, began) = (resident_bytes()?, cpu_ms()?, Instant::now());
    let (node, ledger) = start(folder).await?;
    let (started, cpu) = (began.elapsed(), cpu_ms()? - cpu_before);
    let (memory, usage, turns) = (resident_bytes()?, node.usage(), node.len().0);
    connect(&ledger).await;

    let count = CHAINS.min(programs(megabytes));
    let stride = programs(megabytes) / count;
    let chains: Vec<usize> = (0..count).map(|number| number * stride).collect();
    empty_page_cache(folder)?;
    let long_cold = open(&ledger, None, "long-cold").await?;
    let mut single = Vec::new();
    for round in ["cold", "warm"] {
        let mut times = Vec::new();
        for program in &chains {
            times.push(open(&ledger, Some(*program), round).await?);
        }
        single.push(median_most(times));
    }
    let long_warm = open(&ledger, None, "long-warm").await?;
    empty_page_cache(folder)?;
    let mut at_once = Vec::new();
    for round in ["cold at once", "warm at once"] {
        let opening = chains.iter().map(|program| open(&ledger, Some(*program), round));
        at_once.push(summary(join_all(opening).await));
    }
    let turns_at_once: Vec<_> = (0..LONG_CHAINS).map(|number| format!("long-{number}")).collect();
    let opening = turns_at_once.iter().map(|turn| open(&ledger, None, turn));
    let long_at_once = summary(join_all(opening).await);
    println!(
        "| {megabytes} | {turns} | {:.1} | {:.1}, {:.1} | {:.1} | {} | {:.2}, {:.2} | {} | {} \
         | {:.1}, {:.1} | {} | {} | {long_at_once} | {:.1} |",
        mega(usage.needed),
        mega(memory_before),
        mega(memory),
        mega(usage.memory),
        (memory - memory_before) / turns as u64,
        started.as_secs_f64(),
        cpu as f64 / 1e3,
        single[0],
        single[1],
        millis(long_cold),
        millis(long_warm),
        at_once[0],
        at_once[1],
        mega(resident_bytes()?)
    );
    Ok(())
}

/// Prints how large the log is while turns expire as fast as they are stored.
async fn measure_stream() -> Result<()> {
    let folder = TempDir::new()?;
    let (node, ledger) = start(folder.path()).await?;
    let ledger = Arc::new(ledger);
    connect(&ledger).await;
    println!("| s | turns | needed MB | log MB | memory MB |");
    let mut interval = time::interval(Duration::from_secs(1) / STREAM_TURNS_PER_SECOND as u32);
    for number in 0..STREAM_SECONDS * STREAM_TURNS_PER_SECOND {
        interval.tick().await;
        let ledger = ledger.clone();
        tokio::spawn(async move {
            let (program, turn) =
                (name("program", number as usize, 0), name("turn", number as usize, 0));
            let mut stored = record(turn.clone(), None, TEXT_BYTES);
            stored.keep_ms = STREAM_KEEP_MS;
            let key = TurnKey { turn, program: Some(program) };
            if let Err(err) = ledger.close(&key, Some(7), stored).await {
                println!("turn {number}: {err}");
            }
        });
        let (second, is_start) =
            (number / STREAM_TURNS_PER_SECOND, number % STREAM_TURNS_PER_SECOND == 0);
        if is_start && (second >= STREAM_LEAD_SECONDS || second % 5 == 0) {
            let (usage, turns) = (node.usage(), node.len().0);
            let (needed, log) = (mega(usage.needed), mega(node.log_bytes()));
            println!(
                "| {second} | {turns} | {needed:.1} | {log:.1} | {:.1} |",
                mega(resident_bytes()?)
            );
        }
    }
    Ok(())
}

async fn start(folder: &Path) -> Result<(Node, Ledger)> {
    let listen = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let capacity = Capacity { memory_bytes: 1 << 30, disk_bytes: u64::MAX, log_bytes_min: 1 << 20 };
    let settings = NodeSettings {
        listen,
        folder: folder.into(),
        capacity,
        memory: gg_http::MemoryBudget::default(),
    };
    let (metrics, stop) = (Metrics::new(&Registry::default()), CancellationToken::new());
    let node = Node::start(settings, metrics, stop.clone()).await?;
    let (instance, centre): (Name, Name) = ("ledger".into(), "centre".into());
    let member = Member { instance, disk: node.disk(), address: listen, centre: centre.clone() };
    let set = LedgerSet { epoch: 1, tolerated: 0, members: vec![member], next: None };
    let layout = Layout { partitions: vec![set] };
    node.set_layout(layout.clone());
    let ledger = Ledger::new("client".into(), centre, stop);
    ledger.set_layout(layout);
    Ok((node, ledger))
}

async fn connect(ledger: &Ledger) {
    while ledger.connected() == 0 {
        time::sleep(Duration::from_millis(5)).await;
    }
}

/// Opens a turn that continues a program, or the long chain.
async fn open(ledger: &Ledger, program: Option<usize>, turn: &str) -> Result<Duration> {
    let (owner, last, expected) = match program {
        Some(number) => {
            let last = turn_name(number, TURNS_PER_PROGRAM - 1);
            (name("program", number, 0), last, TURNS_PER_PROGRAM * TEXT_BYTES)
        }
        None => ("long".into(), name("long", LONG_TURNS - 1, 0), LONG_TURNS * LONG_TEXT_BYTES),
    };
    let key = TurnKey { turn: format!("{turn}-{owner}").into(), program: Some(owner) };
    let budget = Some((1_000_000, 10));
    let request = OpenRequest { key, previous: Some(last), budget, branch: None, keep_ms: None };
    let began = Instant::now();
    let opened = ledger.open(&request, began + OPEN_DEADLINE).await?;
    match opened.history.len() == expected {
        true => Ok(began.elapsed()),
        false => Err(format!("{} of {expected} bytes of history", opened.history.len()).into()),
    }
}

fn empty_page_cache(folder: &Path) -> Result<()> {
    for entry in fs::read_dir(folder)? {
        let input = format!("if={}", entry?.path().display());
        let arguments = [input.as_str(), "iflag=nocache", "count=0"];
        Command::new("dd").args(arguments).stderr(Stdio::null()).status()?;
    }
    Ok(())
}

fn resident_bytes() -> Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).ok_or("no VmRSS")?;
    Ok(line.split_whitespace().nth(1).ok_or("no value")?.parse::<u64>()? << 10)
}

/// Processor time of this process.
fn cpu_ms() -> Result<u64> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let times = after_name.split_whitespace().skip(11).take(2);
    Ok(times.map(str::parse::<u64>).sum::<std::result::Result<u64, _>>()? * TICK_MS)
}

fn median_most(mut times: Vec<Duration>) -> String {
    times.sort();
    let at = |index: usize| times.get(index).copied().map_or(f64::NAN, millis);
    format!("{:.1}, {:.1}", at(times.len() / 2), at(times.len().saturating_sub(1)))
}

/// Median, maximum and number of refusals.
fn summary(results: Vec<Result<Duration>>) -> String {
    let count = results.len();
    let times: Vec<_> = results.into_iter().flatten().collect();
    let refused = count - times.len();
    format!("{}, {refused}", median_most(times))
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

fn mega(bytes: u64) -> f64 {
    bytes as f64 / 1e6
}
