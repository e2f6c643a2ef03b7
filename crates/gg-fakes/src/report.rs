//! Summary of a replayed trace by profile.

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{EngineStats, Outcome};

/// Outcomes of the programs of one profile.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Row {
    /// Name of the profile.
    pub profile: String,
    /// Programs that arrived.
    pub programs: usize,
    /// Programs finished within their target.
    pub in_target: usize,
    /// Programs whose start was refused.
    pub refused: usize,
    /// Programs that failed after their start.
    pub failed: usize,
    /// Median whole-program latency of finished programs, in ms.
    pub p50_ms: u64,
    /// 95th percentile of the latency, in ms.
    pub p95_ms: u64,
    /// 99th percentile of the latency, in ms.
    pub p99_ms: u64,
    /// Finished turns.
    pub turns: u32,
}

/// Summarizes the outcomes in a row for each profile, in the given order.
pub fn summarize(outcomes: &[Outcome], profiles: &[&str]) -> Vec<Row> {
    profiles.iter().map(|profile| summarize_one(outcomes, profile)).collect()
}

fn summarize_one(outcomes: &[Outcome], profile: &str) -> Row {
    let mut row = Row { profile: profile.into(), ..Row::default() };
    let mut latencies =
        Histogram::<u64>::new_with_bounds(1, 86_400_000, 3).expect("invalid histogram bounds");
    for outcome in outcomes.iter().filter(|outcome| outcome.profile == profile) {
        row.programs += 1;
        row.turns += outcome.turns;
        row.in_target += usize::from(outcome.in_target);
        row.refused += usize::from(outcome.refused);
        row.failed += usize::from(!outcome.refused && !outcome.failed.is_empty());
        if outcome.failed.is_empty() {
            latencies.saturating_record(outcome.took_ms.max(1));
        }
    }
    row.p50_ms = latencies.value_at_quantile(0.5);
    row.p95_ms = latencies.value_at_quantile(0.95);
    row.p99_ms = latencies.value_at_quantile(0.99);
    row
}

/// Prints rows as a table.
pub fn print_rows(rows: &[Row]) {
    println!("profile      programs  in target  p50 ms  p95 ms  p99 ms  refused  failed  turns");
    for row in rows {
        println!(
            "{:<12} {:>8}  {:>9}  {:>6}  {:>6}  {:>6}  {:>7}  {:>6}  {:>5}",
            row.profile,
            row.programs,
            row.in_target,
            row.p50_ms,
            row.p95_ms,
            row.p99_ms,
            row.refused,
            row.failed,
            row.turns
        );
    }
}

/// Prompt tokens that engines computed, as a multiple of the minimum that was
/// necessary.
pub fn recompute_ratio(stats: &[EngineStats], ideal_prompt: u64) -> f64 {
    let computed: u64 = stats.iter().map(|stats| stats.prompt_tokens - stats.cached_tokens).sum();
    computed as f64 / ideal_prompt.max(1) as f64
}
