//! Seeded concurrent runs under injected faults; the invariants are checked on
//! the recorded history.
//!
//! `cargo run --release --example fault_runs -- --seeds 2000` runs more seeds.

mod support;

use gg_fakes::{Fault, ScenarioPlan, run_scenario};

async fn run(seed: u64, plan: ScenarioPlan) {
    let report = run_scenario(support::daemon_command(), seed, plan).await;
    assert!(report.violations.is_empty(), "seed {seed}: {report:#?}");
    assert!(report.done > 0, "seed {seed}: {report:#?}");
}

async fn run_with(seed: u64, faults: &[Fault]) {
    run(seed, ScenarioPlan { faults: faults.to_vec(), ..ScenarioPlan::seeded(seed) }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn kill_and_restart() {
    run_with(101, &[Fault::Kill, Fault::Kill]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn kill_without_restart() {
    run_with(102, &[Fault::Remove]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn freeze_past_adoption() {
    run_with(103, &[Fault::Freeze, Fault::Freeze]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop() {
    run_with(104, &[Fault::Drain]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_outage() {
    run_with(105, &[Fault::Outage, Fault::Hang]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_platform_responses() {
    run_with(106, &[Fault::LostResponses, Fault::Kill]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn outage_and_kill() {
    run_with(107, &[Fault::Outage, Fault::Kill]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_crash() {
    run_with(108, &[Fault::EngineCrash, Fault::EngineCrash, Fault::Kill]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn seeded_plans() {
    for seed in 1..=3 {
        run(seed, ScenarioPlan::seeded(seed)).await;
    }
}
