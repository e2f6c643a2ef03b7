//! Measures added latency, CPU time and platform writes per call, compared with
//! direct calls to the same engine, for several commit intervals.
//!
//! `cargo run --release --example latency`

use std::{process::ExitCode, time::Duration};

use argh::FromArgs;
use bytes::Bytes;
use gg_fakes::{CallerClient, EngineCosts, Faults, Fleet, FleetSettings, StreamTimes, read_stream};
use gg_http::Client;
use hdrhistogram::Histogram;
use http::Request;
use serde_json::json;
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};

mod support;

/// Measures the overhead that the system adds to a call.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// commit intervals to measure, in ms (0,5,30,100)
    #[argh(option, default = "String::from(\"0,5,30,100\")")]
    intervals: String,

    /// calls per second in the open-loop measurement (2000)
    #[argh(option, default = "2000")]
    rate: u64,

    /// length of each measurement, in seconds (8)
    #[argh(option, default = "8")]
    seconds: u64,

    /// number of daemons (3)
    #[argh(option, default = "3")]
    daemons: usize,

    /// latency of each platform call, in ms (2)
    #[argh(option, default = "2")]
    platform_ms: u64,

    /// settings file; runs this executable as a daemon (used internally)
    #[argh(option)]
    daemon: Option<String>,
}

/// Concurrent programs in the closed-loop measurement.
const SEQUENTIAL_PROGRAMS: usize = 4;

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    support::run_or_serve(arguments.daemon.clone(), move || measure_all(arguments))
}

async fn measure_all(arguments: Arguments) -> ExitCode {
    println!(
        "interval  load       calls  first text: added us p50, p99   whole: added us p50, p99      \
         cpu us    writes  (per call)"
    );
    for interval in arguments.intervals.split(',') {
        measure(&arguments, interval.trim()).await;
    }
    ExitCode::SUCCESS
}

async fn measure(arguments: &Arguments, interval: &str) {
    let settings = FleetSettings {
        daemons: arguments.daemons,
        engines: 3,
        slots: 512,
        costs: EngineCosts {
            token: Duration::ZERO,
            per_sequence: Duration::ZERO,
            prefill_per_ms: 1e9,
            cache_tokens: u64::MAX,
            ..EngineCosts::default()
        },
        journal: format!("commit_interval_ms = {interval}\n"),
        timing: String::new(),
        log_level: "warn".into(),
        ..FleetSettings::default()
    };
    let fleet = Fleet::start(support::daemon_command(), settings).await;
    let delay = Duration::from_millis(arguments.platform_ms);
    fleet.platform.set_faults(Faults { delay, ..Faults::default() });
    let length = Duration::from_secs(arguments.seconds);
    let direct = measure_direct(&fleet, length / 4).await;
    let closed_loop = Load { turn_interval: None, programs: SEQUENTIAL_PROGRAMS, length };
    report(&fleet, interval, "in turn", &direct, closed_loop).await;
    let programs = (arguments.rate / 10).max(1) as usize;
    let turn_interval = Duration::from_secs_f64(programs as f64 / arguments.rate as f64);
    let open_loop = Load { turn_interval: Some(turn_interval), programs, length };
    let name = format!("{}/s", arguments.rate);
    report(&fleet, interval, &name, &direct, open_loop).await;
}

#[derive(Clone, Copy)]
struct Load {
    /// Interval between the turns of a program; `None` sends each turn as soon
    /// as the previous one ends.
    turn_interval: Option<Duration>,
    programs: usize,
    length: Duration,
}

/// Latency histograms of streamed responses, in microseconds.
struct Latencies {
    first: Histogram<u64>,
    whole: Histogram<u64>,
}

impl Default for Latencies {
    fn default() -> Self {
        Latencies { first: histogram(), whole: histogram() }
    }
}

impl Latencies {
    fn record(&mut self, times: StreamTimes, late: Duration) {
        self.first.saturating_record((times.first + late).as_micros() as u64);
        self.whole.saturating_record((times.total + late).as_micros() as u64);
    }
}

async fn report(fleet: &Fleet, interval: &str, name: &str, direct: &Latencies, load: Load) {
    let before = cpu(fleet);
    let writes = fleet.platform.counts().writes;
    let times = run_programs(fleet, load).await;
    let calls = times.whole.len().max(1);
    let used = (cpu(fleet) - before).as_micros() as u64 / calls;
    let writes = (fleet.platform.counts().writes - writes) as f64 / calls as f64;
    let added = |through: &Histogram<u64>, direct: &Histogram<u64>| {
        let at = |quantile| {
            let (through, direct) =
                (through.value_at_quantile(quantile), direct.value_at_quantile(quantile));
            format!("{} ({:.1}x)", through.saturating_sub(direct), through as f64 / direct as f64)
        };
        format!("{:>14} {:>14}", at(0.5), at(0.99))
    };
    println!(
        "{interval:>5} ms  {name:<8} {calls:>7}  {}  {}  {used:>8}  {writes:>8.3}",
        added(&times.first, &direct.first),
        added(&times.whole, &direct.whole),
    );
}

fn cpu(fleet: &Fleet) -> Duration {
    fleet.daemons.iter().map(|daemon| daemon.cpu()).sum()
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds are in order")
}

/// Calls the engine directly, without daemons in between.
async fn measure_direct(fleet: &Fleet, length: Duration) -> Latencies {
    let address = fleet.engines[0].address;
    let client = Client::default();
    let body = json!({
        "model": "m1",
        "messages": [{"role": "user", "content": "how much hide glue is left"}],
        "max_tokens": 4,
        "user": "direct",
        "stream": true,
    });
    let mut times = Latencies::default();
    let end = Instant::now() + length;
    while Instant::now() < end {
        let request = Request::post(format!("http://{address}/v1/chat/completions"))
            .body(Bytes::from(body.to_string()))
            .expect("valid request");
        let began = Instant::now();
        let streamed = read_stream(&client, request, began.into_std()).await;
        times.record(streamed.expect("complete response"), Duration::ZERO);
    }
    times
}

/// Runs programs through the daemons.
async fn run_programs(fleet: &Fleet, load: Load) -> Latencies {
    let mut programs = JoinSet::new();
    let end = Instant::now() + load.length;
    for number in 0..load.programs {
        let caller = fleet.caller("ukhozi");
        let phase = load.turn_interval.unwrap_or_default() * number as u32 / load.programs as u32;
        programs.spawn(async move {
            time::sleep(phase).await;
            run_program(caller, load.turn_interval, end).await
        });
    }
    let mut times = Latencies::default();
    for part in programs.join_all().await {
        times.first.add(part.first).expect("same histogram bounds");
        times.whole.add(part.whole).expect("same histogram bounds");
    }
    times
}

async fn run_program(
    caller: CallerClient,
    turn_interval: Option<Duration>,
    end: Instant,
) -> Latencies {
    let mut times = Latencies::default();
    let mut due = Instant::now();
    let mut program = caller.start("urgent", None).await.expect("start program");
    let mut turn = 0;
    while due < end {
        let content = format!("how much hide glue of lot {turn} is left");
        // The latency includes the delay caused by a previous call that ran
        // late, but not the timer's own delay of up to a millisecond.
        let late = due.elapsed();
        if late.is_zero() {
            time::sleep_until(due).await;
        }
        let streamed = caller.stream(&program, turn, &content, 4).await;
        times.record(streamed.expect("complete response"), late);
        turn += 1;
        if turn == 20 {
            let _ = caller.end(&program).await;
            program = caller.start("urgent", None).await.expect("start program");
            turn = 0;
        }
        due = match turn_interval {
            Some(turn_interval) => due + turn_interval,
            None => Instant::now(),
        };
    }
    times
}
