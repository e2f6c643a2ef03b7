//! Quick start in one command: fake upstreams, three daemon processes, and a
//! recorded trace of programs from both customers.
//!
//! `cargo run --release --example quickstart`

use std::{path::Path, process::ExitCode};

use argh::FromArgs;
use gg_fakes::{
    CUSTOMERS, EngineCosts, Fleet, FleetSettings, print_rows, read_trace, recompute_ratio, replay,
    summarize,
};

mod support;

/// Starts a fleet, replays the trace and prints the results.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// settings file; runs this executable as a daemon (used internally)
    #[argh(option)]
    daemon: Option<String>,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    support::run_or_serve(arguments.daemon.clone(), replay_trace)
}

async fn replay_trace() -> ExitCode {
    let settings = FleetSettings {
        daemons: 3,
        engines: 4,
        services: 2,
        costs: EngineCosts::default(),
        ..FleetSettings::default()
    };
    let fleet = Fleet::start(support::daemon_command(), settings).await;
    let trace = Path::new(env!("CARGO_MANIFEST_DIR")).join("traces/both-users.jsonl");
    let traces = read_trace(&trace);
    println!("replaying {} programs against 3 daemons and 4 engines", traces.len());
    let callers: Vec<_> =
        CUSTOMERS.iter().map(|name| ((*name).to_owned(), fleet.caller(name))).collect();
    let outcomes = replay(&callers, traces).await;
    print_rows(&summarize(&outcomes, &["urgent", "background"]));
    let stats: Vec<_> = fleet.engines.iter().map(|engine| engine.stats()).collect();
    let ideal = outcomes.iter().map(|outcome| outcome.ideal_tokens).sum();
    println!("prompt tokens computed: {:.2} times the ideal", recompute_ratio(&stats, ideal));
    for outcome in outcomes.iter().filter(|outcome| !outcome.failed.is_empty()) {
        println!("{} program at {} ms: {}", outcome.profile, outcome.at_ms, outcome.failed);
    }
    match outcomes.iter().all(|outcome| outcome.failed.is_empty()) {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
