//! Overload runs: a steady load of urgent and background work, then three times
//! the fleet's capacity of background work, then of urgent work, while the load of
//! the other profile stays steady.
//!
//! `cargo run --release --example flood`

use std::{process::ExitCode, time::Duration};

use argh::FromArgs;
use gg_fakes::{
    CUSTOMERS, EngineCosts, Fleet, FleetSettings, Outcome, ProgramTrace, Random, TurnTrace,
    print_rows, replay, summarize,
};
use gg_protocol::clock::wall_ms;

mod support;

/// Runs overload scenarios and prints the throughput of each profile.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// number of seeds to run (1)
    #[argh(option, default = "1")]
    seeds: u64,

    /// period in which programs arrive, in seconds (10)
    #[argh(option, default = "10")]
    seconds: u64,

    /// settings file; runs this executable as a daemon (used internally)
    #[argh(option)]
    daemon: Option<String>,
}

/// Profiles with latency targets that match the scaled costs of the engines.
const PROFILES: &str = "
[profile urgent]
rank = 0
target_ms = 3000
budget_tokens = 1000000
floor_percent = 0

[profile background]
rank = 1
target_ms = 20000
budget_tokens = 1000000
floor_percent = 20
";

/// Turns per second that the engines complete within the token latency targets
/// once their concurrency limits have grown.
const CAPACITY_TURNS_PER_S: f64 = 660.0;

/// Workload of one profile: latency target and turns per program.
struct Workload {
    profile: &'static str,
    target_ms: u64,
    turns: u64,
}

const URGENT: Workload = Workload { profile: "urgent", target_ms: 3_000, turns: 3 };
const BACKGROUND: Workload = Workload { profile: "background", target_ms: 20_000, turns: 6 };

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    support::run_or_serve(arguments.daemon.clone(), move || run_scenarios(arguments))
}

async fn run_scenarios(arguments: Arguments) -> ExitCode {
    for seed in 1..=arguments.seeds {
        for (name, urgent, background) in
            [("steady", 0.3, 0.3), ("flood of background", 0.3, 3.0), ("flood of urgent", 3.0, 0.3)]
        {
            println!("seed {seed}: {name} (urgent {urgent}x, background {background}x capacity)");
            run_scenario(&arguments, seed, urgent, background).await;
        }
    }
    ExitCode::SUCCESS
}

async fn run_scenario(arguments: &Arguments, seed: u64, urgent: f64, background: f64) {
    let settings = FleetSettings {
        daemons: 3,
        engines: 4,
        slots: 4,
        costs: EngineCosts {
            token: Duration::from_millis(2),
            per_sequence: Duration::from_micros(100),
            prefill_per_ms: 50.0,
            ..EngineCosts::default()
        },
        config: PROFILES.into(),
        log_level: "warn".into(),
        seed,
        ..FleetSettings::default()
    };
    let fleet = Fleet::start(support::daemon_command(), settings).await;
    let callers: Vec<_> =
        CUSTOMERS.iter().map(|name| ((*name).to_owned(), fleet.caller(name))).collect();
    let length_ms = arguments.seconds * 1000;
    let mut traces = arrivals(seed * 2, &URGENT, urgent, length_ms);
    traces.extend(arrivals(seed * 2 + 1, &BACKGROUND, background, length_ms));
    let began_ms = wall_ms();
    let outcomes = replay(&callers, traces).await;
    print_rows(&summarize(&outcomes, &[URGENT.profile, BACKGROUND.profile]));
    // Excludes the first third, in which the queues fill up.
    let window = began_ms + length_ms / 3..began_ms + length_ms;
    let turns = |profile: &str| turns_within(&outcomes, profile, &window) as f64;
    let (urgent, background) = (turns(URGENT.profile), turns(BACKGROUND.profile));
    let share = background / (urgent + background).max(1.0);
    let seconds = (window.end - window.start) as f64 / 1000.0;
    println!(
        "during arrivals: {:.0} turns/s, background {:.1} % of them\n",
        (urgent + background) / seconds,
        share * 100.0
    );
}

/// Counts the turns of a profile that ended within the window.
fn turns_within(outcomes: &[Outcome], profile: &str, window: &std::ops::Range<u64>) -> usize {
    let outcomes = outcomes.iter().filter(|outcome| outcome.profile == profile);
    outcomes.flat_map(|outcome| &outcome.ends_ms).filter(|end| window.contains(end)).count()
}

/// Generates programs with random arrival times at `load` times the capacity.
fn arrivals(seed: u64, workload: &Workload, load: f64, length_ms: u64) -> Vec<ProgramTrace> {
    let mut random = Random::new(seed);
    let interval_ms = 1000.0 * workload.turns as f64 / (CAPACITY_TURNS_PER_S * load);
    let mut traces = Vec::new();
    // Kept as a float: rounding each interval to whole milliseconds would lose
    // the fractions and change the arrival rate.
    let mut arrival_ms = 0.0;
    loop {
        arrival_ms += random.pause_ms(interval_ms * 1000.0) as f64 / 1000.0;
        if arrival_ms as u64 >= length_ms {
            return traces;
        }
        let turn = || TurnTrace { prompt: 40, generate: 24, ..TurnTrace::default() };
        let customer = CUSTOMERS[traces.len() % CUSTOMERS.len()];
        traces.push(ProgramTrace {
            at_ms: arrival_ms as u64,
            customer: customer.into(),
            profile: workload.profile.into(),
            target_ms: workload.target_ms,
            turns: (0..workload.turns).map(|_| turn()).collect(),
        });
    }
}
