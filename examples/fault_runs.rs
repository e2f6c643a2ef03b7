//! Runs seeded fault scenarios and checks the invariants on their recorded history.
//!
//! `cargo run --release --example fault_runs -- --seeds 200`

use std::{collections::BTreeMap, process::ExitCode};

use argh::FromArgs;
use gg_fakes::{RunReport, ScenarioPlan, run_scenario};
use tokio::{sync::Semaphore, task::JoinSet};

mod support;

/// Runs seeded fault plans against fleets of daemon processes.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// number of seeds (20)
    #[argh(option, default = "20")]
    seeds: u64,

    /// first seed (1)
    #[argh(option, default = "1")]
    first: u64,

    /// number of fleets to run concurrently (6)
    #[argh(option, default = "6")]
    parallel: usize,

    /// settings file; runs this executable as a daemon (used internally)
    #[argh(option)]
    daemon: Option<String>,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    support::run_or_serve(arguments.daemon.clone(), move || run_all(arguments))
}

async fn run_all(arguments: Arguments) -> ExitCode {
    let slots = std::sync::Arc::new(Semaphore::new(arguments.parallel));
    let mut runs = JoinSet::new();
    for seed in arguments.first..arguments.first + arguments.seeds {
        let slots = slots.clone();
        runs.spawn(async move {
            let _slot = slots.acquire_owned().await;
            (seed, run_scenario(support::daemon_command(), seed, ScenarioPlan::seeded(seed)).await)
        });
    }
    let mut totals = Totals::default();
    while let Some(run) = runs.join_next().await {
        let (seed, report) = run.expect("scenario task does not panic");
        println!(
            "seed={seed} violations={} asked={} done={} faults={:?}",
            report.violations.len(),
            report.requested,
            report.done,
            report.injected
        );
        for violation in &report.violations {
            println!("seed={seed} VIOLATION {} logs={}", violation.0, report.folder);
        }
        totals.add(&report);
    }
    totals.print(arguments.seeds);
    if totals.violations == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

#[derive(Default)]
struct Totals {
    violations: usize,
    requested: usize,
    done: usize,
    refused: [usize; 3],
    executed: usize,
    faults: BTreeMap<String, usize>,
}

impl Totals {
    fn add(&mut self, report: &RunReport) {
        self.violations += report.violations.len();
        self.requested += report.requested;
        self.done += report.done;
        self.executed += report.executed;
        for (total, refused) in self.refused.iter_mut().zip(report.refused) {
            *total += refused;
        }
        for fault in &report.injected {
            let name = fault.split(' ').next().unwrap_or_default();
            *self.faults.entry(name.into()).or_insert(0) += 1;
        }
    }

    fn print(&self, seeds: u64) {
        let [no, unknown, yes] = self.refused;
        println!("runs={seeds} violations={}", self.violations);
        println!(
            "calls asked={} done={} not_run={no} unknown={unknown} run_but_failed={yes} \
             actions_executed={}",
            self.requested, self.done, self.executed
        );
        println!("faults {:?}", self.faults);
    }
}
