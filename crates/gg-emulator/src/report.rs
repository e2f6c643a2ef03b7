//! Results of runs, as tables and plots.

use std::fmt::Write as _;

/// Results of one kind of program.
#[derive(Clone, Debug)]
pub struct KindOutcome {
    /// Name.
    pub name: &'static str,
    /// Rank.
    pub rank: u8,
    /// Programs that arrived.
    pub offered: u32,
    /// Programs that finished within their target.
    pub in_target: u32,
    /// Programs that finished after their target.
    pub late: u32,
    /// Programs that their clients abandoned after refused or failed attempts.
    pub refused: u32,
    /// Refusals by admission.
    pub refusals: u32,
    /// Times to the first event of each turn, in ms.
    pub first_ms: Vec<f64>,
}

impl KindOutcome {
    pub(crate) fn new(name: &'static str, rank: u8) -> Self {
        KindOutcome {
            name,
            rank,
            offered: 0,
            in_target: 0,
            late: 0,
            refused: 0,
            refusals: 0,
            first_ms: Vec::new(),
        }
    }

    /// Share of the programs that finished within their target.
    pub fn share(&self) -> f64 {
        f64::from(self.in_target) / f64::from(self.offered.max(1))
    }

    /// Quantile of the times to the first event, in ms.
    pub fn first_quantile(&self, share: f64) -> f64 {
        let mut sorted = self.first_ms.clone();
        sorted.sort_by(f64::total_cmp);
        let index = (sorted.len() as f64 * share) as usize;
        sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0.0)
    }
}

/// Results of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Name of the policy.
    pub policy: &'static str,
    /// Results by kind.
    pub kinds: Vec<KindOutcome>,
}

impl Outcome {
    /// Merges the results of several runs of the same kinds.
    pub fn sum(runs: &[Outcome]) -> Outcome {
        let mut runs = runs.iter().cloned();
        let mut sum = runs.next().unwrap_or(Outcome { policy: "", kinds: Vec::new() });
        for run in runs {
            for (total, added) in sum.kinds.iter_mut().zip(run.kinds) {
                total.offered += added.offered;
                total.in_target += added.in_target;
                total.late += added.late;
                total.refused += added.refused;
                total.refusals += added.refusals;
                total.first_ms.extend(added.first_ms);
            }
        }
        sum
    }
}

/// A table with a row for each policy and kind.
pub fn table(outcomes: &[Outcome]) -> String {
    let mut text = format!(
        "{:<28} {:<8} {:>4} {:>7} {:>9} {:>6} {:>7} {:>8} {:>8}\n",
        "policy", "kind", "rank", "offered", "in target", "late", "refused", "first 50", "first 95"
    );
    for outcome in outcomes {
        for kind in &outcome.kinds {
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "{:<28} {:<8} {:>4} {:>7} {:>8.1}% {:>6} {:>7} {:>8.0} {:>8.0}",
                outcome.policy,
                kind.name,
                kind.rank,
                kind.offered,
                100.0 * kind.share(),
                kind.late,
                kind.refused,
                kind.first_quantile(0.5),
                kind.first_quantile(0.95),
            );
        }
    }
    text
}

const BAR_HEIGHT: f64 = 18.0;
const LABEL_WIDTH: f64 = 300.0;
const BAR_WIDTH: f64 = 400.0;

/// An SVG bar chart with the shares of programs that finished in target, finished
/// late and were refused.
pub fn plot(title: &str, outcomes: &[Outcome]) -> String {
    let rows: Vec<(&Outcome, &KindOutcome)> = outcomes
        .iter()
        .flat_map(|outcome| outcome.kinds.iter().map(move |kind| (outcome, kind)))
        .collect();
    let height = BAR_HEIGHT * (rows.len() as f64 + 2.0);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n<text x=\"4\" y=\"14\">{title}: in target \
         (green), late (orange), refused (grey)</text>\n",
        LABEL_WIDTH + BAR_WIDTH + 10.0
    );
    for (row, (outcome, kind)) in rows.iter().enumerate() {
        let y = BAR_HEIGHT * (row as f64 + 1.5);
        let _ = writeln!(
            svg,
            "<text x=\"4\" y=\"{}\">{}, {}</text>",
            y + 12.0,
            outcome.policy,
            kind.name
        );
        let mut x = LABEL_WIDTH;
        for (count, colour) in
            [(kind.in_target, "#2a9d4a"), (kind.late, "#e69f00"), (kind.refused, "#aaaaaa")]
        {
            let width = BAR_WIDTH * f64::from(count) / f64::from(kind.offered.max(1));
            let _ = writeln!(
                svg,
                "<rect x=\"{x:.1}\" y=\"{y}\" width=\"{width:.1}\" height=\"{}\" fill=\"{colour}\"/>",
                BAR_HEIGHT - 4.0
            );
            x += width;
        }
    }
    svg.push_str("</svg>\n");
    svg
}
