//! Summary of a played trace, by rank.

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{EngineStats, Outcome};

/// What came of the programs of one profile.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Row {
    /// The profile.
    pub profile: String,
    /// Programs that arrived.
    pub programs: usize,
    /// Programs finished within their target.
    pub in_target: usize,
    /// Programs refused at their start.
    pub refused: usize,
    /// Programs that failed after their start.
    pub failed: usize,
    /// Median of the whole-program latency, in ms.
    pub p50_ms: u64,
    /// Its 95th percentile, in ms.
    pub p95_ms: u64,
    /// Its 99th percentile, in ms.
    pub p99_ms: u64,
    /// Finished turns.
    pub turns: u32,
}

/// Rows by profile, in the order of their names given.
pub fn summarize(outcomes: &[Outcome], profiles: &[&str]) -> Vec<Row> {
    profiles.iter().map(|profile| summarize_one(outcomes, profile)).collect()
}

fn summarize_one(outcomes: &[Outcome], profile: &str) -> Row {
    let mut row = Row { profile: profile.into(), ..Row::default() };
    let mut latencies =
        Histogram::<u64>::new_with_bounds(1, 86_400_000, 3).expect("bounds are in order");
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

/// Prompt tokens that engines computed, as a multiple of what had to be
/// computed once.
pub fn recomputed(stats: &[EngineStats], ideal_prompt: u64) -> f64 {
    let computed: u64 = stats.iter().map(|stats| stats.prompt_tokens - stats.cached_tokens).sum();
    computed as f64 / ideal_prompt.max(1) as f64
}
