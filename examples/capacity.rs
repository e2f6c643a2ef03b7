//! Measures resource use for docs/CAPACITY.md: control-plane cost by fleet size,
//! and the cost of idle programs, long histories and many replicas for one daemon.
//!
//! `cargo run --release --example capacity -- fleet`
//! `cargo run --release --example capacity -- programs`
//! `cargo run --release --example capacity -- history`
//! `cargo run --release --example capacity -- replicas`
//! `cargo run --release --example capacity -- config`
//! `cargo run --release --example capacity -- failover`

use std::{fs, process::ExitCode, time::Duration};

use argh::FromArgs;
use gg_fakes::{CallResult, CallerClient, EngineCosts, Faults, Fleet, FleetSettings};
use gg_operator::OperatorClient;
use hdrhistogram::Histogram;
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};

mod support;

/// Measures resource use by fleet size, program count, history length or replica count.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// measurement to run: fleet, programs, history, replicas, config or failover
    #[argh(positional, default = "String::from(\"fleet\")")]
    part: String,

    /// sizes to measure, separated by commas
    #[argh(option)]
    sizes: Option<String>,

    /// length of each measurement, in seconds (20)
    #[argh(option, default = "20")]
    seconds: u64,

    /// settings file; runs this executable as a daemon (used internally)
    #[argh(option)]
    daemon: Option<String>,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    support::run_or_serve(arguments.daemon.clone(), move || measure(arguments))
}

async fn measure(arguments: Arguments) -> ExitCode {
    let length = Duration::from_secs(arguments.seconds);
    let sizes = |default: &str| -> Vec<usize> {
        let text = arguments.sizes.clone().unwrap_or_else(|| default.into());
        text.split(',').filter_map(|size| size.trim().parse().ok()).collect()
    };
    match arguments.part.as_str() {
        "fleet" => measure_fleets(sizes("3,6,9,18,36"), length).await,
        "programs" => programs(sizes("1000,10000,35000,70000"), length).await,
        "history" => measure_histories(sizes("1000,10000,70000,280000")).await,
        "replicas" => replicas(sizes("10,100,500,2300")).await,
        "config" => measure_config(sizes("3,9,18")).await,
        "failover" => failover(sizes("3,9")).await,
        other => {
            eprintln!("error: unknown measurement {other}; see --help for the list");
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}

/// Profile with limits that no measurement reaches.
const PROFILE: &str = "[profile background]\nrank = 1\ntarget_ms = 600000000\n\
                       budget_tokens = 1000000000000\n";

/// Fleet settings with the default timing, as in production.
fn settings(daemons: usize) -> FleetSettings {
    FleetSettings {
        daemons,
        timing: String::new(),
        config: PROFILE.into(),
        log_level: "warn".into(),
        costs: EngineCosts {
            token: Duration::ZERO,
            per_sequence: Duration::ZERO,
            prefill_per_ms: 1e9,
            cache_tokens: u64::MAX,
            ..EngineCosts::default()
        },
        ..FleetSettings::default()
    }
}

/// Returns the total bytes sent over loopback, headers included.
fn loopback_bytes() -> u64 {
    let text = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find(|line| line.trim_start().starts_with("lo:"));
    let sent = line.and_then(|line| line.split_whitespace().nth(9));
    sent.and_then(|sent| sent.parse().ok()).unwrap_or(0)
}

/// Measures the control-plane cost of an idle daemon: bytes sent, platform
/// calls, CPU time and memory.
async fn measure_fleets(sizes: Vec<usize>, length: Duration) {
    println!(
        "daemons  bytes/s each  calls/s each: get list watch instances  cpu % each  rss MB each"
    );
    for size in sizes {
        let fleet = Fleet::start(support::daemon_command(), settings(size)).await;
        // Lets daemons connect and read the initial lists before counting starts.
        time::sleep(Duration::from_secs(10)).await;
        let (bytes, calls, cpu) = (loopback_bytes(), fleet.platform.counts(), total_cpu(&fleet));
        let began = Instant::now();
        time::sleep(length).await;
        let seconds = began.elapsed().as_secs_f64() * size as f64;
        let bytes = (loopback_bytes() - bytes) as f64 / seconds;
        let now = fleet.platform.counts();
        let rate = |now: u64, before: u64| (now - before) as f64 / seconds;
        let cpu = (total_cpu(&fleet) - cpu).as_secs_f64() * 100.0 / seconds;
        let memory: u64 = fleet.daemons.iter().map(|daemon| daemon.memory()).sum();
        println!(
            "{size:>7}  {bytes:>12.0}  {:>17.2} {:>5.2} {:>5.2} {:>5.2}  {cpu:>10.2}  {:>11.1}",
            rate(now.gets, calls.gets),
            rate(now.lists, calls.lists),
            rate(now.watches, calls.watches),
            rate(now.instances, calls.instances),
            memory as f64 / size as f64 / 1e6,
        );
    }
}

fn total_cpu(fleet: &Fleet) -> Duration {
    fleet.daemons.iter().map(|daemon| daemon.cpu()).sum()
}

/// Measures the cost of idle programs for one home: memory, idle CPU time,
/// journal size and adoption time.
async fn programs(sizes: Vec<usize>, length: Duration) {
    println!("programs  rss MB  cpu % idle  journal MB  adoption s");
    for size in sizes {
        let mut fleet = Fleet::start(support::daemon_command(), settings(1)).await;
        start_programs(&fleet, size).await;
        time::sleep(Duration::from_secs(2)).await;
        let cpu = total_cpu(&fleet);
        time::sleep(length / 4).await;
        let cpu = (total_cpu(&fleet) - cpu).as_secs_f64() * 100.0 / (length / 4).as_secs_f64();
        let memory = fleet.daemons[0].memory() as f64 / 1e6;
        let journal = fleet.platform.bytes() as f64 / 1e6;
        let began = Instant::now();
        fleet.restart(0);
        let caller = fleet.caller("ukhozi");
        let last = format!("a0.1.{size}");
        while caller.read(&last).await.is_err() {
            time::sleep(Duration::from_millis(50)).await;
        }
        let adoption = began.elapsed().as_secs_f64();
        println!("{size:>8}  {memory:>6.1}  {cpu:>10.1}  {journal:>10.1}  {adoption:>10.2}");
    }
}

/// Starts `count` programs and runs one turn in each.
async fn start_programs(fleet: &Fleet, count: usize) {
    const CALLERS: usize = 200;
    let mut callers = JoinSet::new();
    for number in 0..CALLERS.min(count) {
        let caller = fleet.caller("ukhozi");
        let share = count / CALLERS.min(count) + usize::from(number < count % CALLERS.min(count));
        callers.spawn(async move {
            for _ in 0..share {
                let program = caller.start("background", None).await.expect("start program");
                run_turn(&caller, &program, 0, &"glue ".repeat(40)).await;
            }
        });
    }
    callers.join_all().await;
}

async fn run_turn(caller: &CallerClient, program: &str, turn: u32, content: &str) -> Duration {
    let began = Instant::now();
    let outcome = caller.turn(program, turn, content, 16).await;
    assert!(matches!(outcome, CallResult::Done(_)), "{outcome:?}");
    began.elapsed()
}

/// Measures the cost of a long history: memory, and the latency and CPU time
/// of one more turn.
async fn measure_histories(sizes: Vec<usize>) {
    println!("tokens  rss MB  turn ms  cpu ms/turn");
    for size in sizes {
        let fleet = Fleet::start(support::daemon_command(), settings(1)).await;
        let caller = fleet.caller("ukhozi");
        let program = caller.start("background", None).await.expect("start program");
        const TURNS: u32 = 20;
        let content = "glue".repeat(size / TURNS as usize);
        for turn in 0..TURNS {
            run_turn(&caller, &program, turn, &format!("{turn} {content}")).await;
        }
        let cpu = total_cpu(&fleet);
        let mut took = Duration::ZERO;
        for turn in TURNS..TURNS * 2 {
            took += run_turn(&caller, &program, turn, &format!("and lot {turn}")).await;
        }
        let cpu = (total_cpu(&fleet) - cpu).as_secs_f64() * 1000.0 / f64::from(TURNS);
        let memory = fleet.daemons[0].memory() as f64 / 1e6;
        let took = took.as_secs_f64() * 1000.0 / f64::from(TURNS);
        println!("{size:>6}  {memory:>6.1}  {took:>7.2}  {cpu:>11.2}");
    }
}

/// Measures the cost of many configured replicas for one daemon: memory, the
/// CPU time of a call, and idle CPU time.
async fn replicas(sizes: Vec<usize>) {
    println!("replicas  rss MB  cpu us/call  cpu % idle");
    for size in sizes {
        let fleet = Fleet::start(support::daemon_command(), settings(1)).await;
        let mut config = String::new();
        for index in 0..size {
            config.push_str(&format!(
                "[upstream x{index}]\naddress = 127.0.0.1:9\ndata_centre = north\nmodels = other{}\n",
                index % 30
            ));
        }
        fleet.apply(&config).await;
        time::sleep(Duration::from_secs(2)).await;
        let idle = total_cpu(&fleet);
        time::sleep(Duration::from_secs(5)).await;
        let idle = (total_cpu(&fleet) - idle).as_secs_f64() * 100.0 / 5.0;
        let cpu = total_cpu(&fleet);
        let calls = 2_000;
        start_programs(&fleet, calls).await;
        let cpu = (total_cpu(&fleet) - cpu).as_micros() as usize / calls;
        let memory = fleet.daemons[0].memory() as f64 / 1e6;
        println!("{size:>8}  {memory:>6.1}  {cpu:>11}  {idle:>10.1}");
    }
}

/// Configuration changes measured for each fleet size. Without watch events, only
/// a quarter of them are measured.
const CHANGES: u64 = 60;

/// Measures the time from an accepted change until it is in force on all
/// daemons, both with all watch events delivered and with none.
async fn measure_config(sizes: Vec<usize>) {
    println!("daemons  fault        p50 ms  p99 ms");
    for size in sizes {
        let fleet = Fleet::start(support::daemon_command(), settings(size)).await;
        time::sleep(Duration::from_secs(5)).await;
        for (name, drop_events) in [("none", 0.0), ("no events", 1.0)] {
            fleet.platform.set_faults(Faults { drop_events, ..Faults::default() });
            let mut times =
                Histogram::<u64>::new_with_bounds(1, 600_000, 3).expect("valid histogram bounds");
            let changes = if drop_events > 0.0 { CHANGES / 4 } else { CHANGES };
            for change in 0..changes {
                let took = apply_change(&fleet, change).await;
                times.saturating_record(took.as_millis() as u64);
            }
            let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
            println!("{size:>7}  {name:<11}  {p50:>6}  {p99:>6}");
        }
    }
}

/// Changes one profile and returns the time until it is in force on every daemon.
async fn apply_change(fleet: &Fleet, number: u64) -> Duration {
    let daemon = &fleet.daemons[number as usize % fleet.daemons.len()];
    let client = OperatorClient::new(&daemon.operators, "");
    let text = format!("[profile changing]\nrank = 2\ntarget_ms = {}\n", 1000 + number);
    let accepted = client.apply(&text, true).await.expect("change is accepted");
    let version = accepted[0].version;
    let began = Instant::now();
    for daemon in &fleet.daemons {
        let client = OperatorClient::new(&daemon.operators, "");
        loop {
            let versions = client.versions().await.unwrap_or_default();
            let seen = versions.iter().find(|seen| &*seen.key == "profile/changing");
            if seen.is_some_and(|seen| seen.version >= version) {
                break;
            }
            time::sleep(Duration::from_millis(1)).await;
        }
    }
    began.elapsed()
}

/// Kills measured for each fleet size and method of detection.
const KILLS: usize = 20;

/// Measures the time from the kill of a home to the first turn that its
/// adopter serves, without a restart of the killed daemon. The failure is
/// detected by peer probes, or by the platform's instance list if the killed
/// instance is removed from it.
async fn failover(sizes: Vec<usize>) {
    println!("daemons  noticed by        p50 ms  p99 ms");
    for size in sizes {
        for is_listed in [true, false] {
            let mut times =
                Histogram::<u64>::new_with_bounds(1, 600_000, 3).expect("valid histogram bounds");
            let mut fleet = Fleet::start(support::daemon_command(), settings(size)).await;
            time::sleep(Duration::from_secs(5)).await;
            for number in 0..KILLS {
                let took = kill_home(&mut fleet, number % size, is_listed).await;
                times.saturating_record(took.as_millis() as u64);
            }
            let name = if is_listed { "probes" } else { "platform's list" };
            let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
            println!("{size:>7}  {name:<15}  {p50:>6}  {p99:>6}");
        }
    }
}

async fn kill_home(fleet: &mut Fleet, index: usize, is_listed: bool) -> Duration {
    let caller = fleet.daemon_caller("ukhozi", index);
    let program = caller.start("background", None).await.expect("start program");
    run_turn(&caller, &program, 0, "before").await;
    fleet.daemons[index].kill();
    if !is_listed {
        let name = fleet.daemons[index].name.clone();
        fleet.platform.remove_instance(&name);
    }
    let others = fleet.caller("ukhozi");
    let began = Instant::now();
    while !matches!(others.turn(&program, 1, "after", 4).await, CallResult::Done(_)) {
        time::sleep(Duration::from_millis(10)).await;
    }
    let took = began.elapsed();
    fleet.restart(index);
    fleet.wait_ready().await;
    time::sleep(Duration::from_secs(2)).await;
    took
}
