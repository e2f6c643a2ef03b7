//! Added latency, processor time and platform writes per call, against
//! calling the same engine directly, for several commit intervals.
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

/// Measures what the system adds to a call.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// commit intervals to measure, in ms (0,5,30,100)
    #[argh(option, default = "String::from(\"0,5,30,100\")")]
    intervals: String,

    /// calls a second in the second part (2000)
    #[argh(option, default = "2000")]
    rate: u64,

    /// length of each measurement, in seconds (8)
    #[argh(option, default = "8")]
    seconds: u64,

    /// daemons (3)
    #[argh(option, default = "3")]
    daemons: usize,

    /// time that each call to the platform takes, in ms (2)
    #[argh(option, default = "2")]
    platform_ms: u64,

    /// settings file of one daemon; used when this example starts itself
    #[argh(option)]
    daemon: Option<String>,
}

/// Programs that take turns in the first part.
const SEQUENTIAL: usize = 4;

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    support::run_or_serve(arguments.daemon.clone(), move || measure_all(arguments))
}

async fn measure_all(arguments: Arguments) -> ExitCode {
    println!(
        "interval  load       calls  first text: added us p50, p99   whole: added us p50, p99      \
         cpu us    writes  (a call)"
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
    let fleet = Fleet::start(support::starter(), settings).await;
    let delay = Duration::from_millis(arguments.platform_ms);
    fleet.platform.set_faults(Faults { delay, ..Faults::default() });
    let length = Duration::from_secs(arguments.seconds);
    let direct = direct(&fleet, length / 4).await;
    let one_by_one = Load { pause: None, programs: SEQUENTIAL, length };
    report(&fleet, interval, "in turn", &direct, one_by_one).await;
    let programs = (arguments.rate / 10).max(1) as usize;
    let pause = Duration::from_secs_f64(programs as f64 / arguments.rate as f64);
    let steady = Load { pause: Some(pause), programs, length };
    let name = format!("{}/s", arguments.rate);
    report(&fleet, interval, &name, &direct, steady).await;
}

#[derive(Clone, Copy)]
struct Load {
    /// Time between the turns of a program; none for one after the other.
    pause: Option<Duration>,
    programs: usize,
    length: Duration,
}

/// Times of many streamed answers, in us.
struct Times {
    first: Histogram<u64>,
    whole: Histogram<u64>,
}

impl Default for Times {
    fn default() -> Self {
        Times { first: histogram(), whole: histogram() }
    }
}

impl Times {
    fn record(&mut self, times: StreamTimes, late: Duration) {
        self.first.saturating_record((times.first + late).as_micros() as u64);
        self.whole.saturating_record((times.whole + late).as_micros() as u64);
    }
}

async fn report(fleet: &Fleet, interval: &str, name: &str, direct: &Times, load: Load) {
    let before = cpu(fleet);
    let writes = fleet.platform.counts().writes;
    let times = through(fleet, load).await;
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

/// Calls the engine without anything in between.
async fn direct(fleet: &Fleet, length: Duration) -> Times {
    let address = fleet.engines[0].address;
    let client = Client::default();
    let body = json!({
        "model": "m1",
        "messages": [{"role": "user", "content": "how much hide glue is left"}],
        "max_tokens": 4,
        "user": "direct",
        "stream": true,
    });
    let mut times = Times::default();
    let end = Instant::now() + length;
    while Instant::now() < end {
        let request = Request::post(format!("http://{address}/v1/chat/completions"))
            .body(Bytes::from(body.to_string()))
            .expect("a request");
        let began = Instant::now();
        let streamed = read_stream(&client, request, began.into_std()).await;
        times.record(streamed.expect("an answer"), Duration::ZERO);
    }
    times
}

/// Plays programs through the daemons.
async fn through(fleet: &Fleet, load: Load) -> Times {
    let mut programs = JoinSet::new();
    let end = Instant::now() + load.length;
    for number in 0..load.programs {
        let caller = fleet.caller("ukhozi");
        let phase = load.pause.unwrap_or_default() * number as u32 / load.programs as u32;
        programs.spawn(async move {
            time::sleep(phase).await;
            play(caller, load.pause, end).await
        });
    }
    let mut times = Times::default();
    for part in programs.join_all().await {
        times.first.add(part.first).expect("same shape");
        times.whole.add(part.whole).expect("same shape");
    }
    times
}

async fn play(caller: CallerClient, pause: Option<Duration>, end: Instant) -> Times {
    let mut times = Times::default();
    let mut due = Instant::now();
    let mut program = caller.start("urgent", None).await.expect("a program");
    let mut turn = 0;
    while due < end {
        let content = format!("how much hide glue of lot {turn} is left");
        // A call held up by the one before it counts the wait; the timer's
        // own delay of up to a millisecond does not.
        let late = due.elapsed();
        if late.is_zero() {
            time::sleep_until(due).await;
        }
        let streamed = caller.stream(&program, turn, &content, 4).await;
        times.record(streamed.expect("an answer"), late);
        turn += 1;
        if turn == 20 {
            let _ = caller.end(&program).await;
            program = caller.start("urgent", None).await.expect("a program");
            turn = 0;
        }
        due = match pause {
            Some(pause) => due + pause,
            None => Instant::now(),
        };
    }
    times
}
