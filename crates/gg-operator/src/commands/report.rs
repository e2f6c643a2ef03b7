//! `report`: statistics of outcomes and latencies by kind of request, from the
//! logs of several gateways.

use std::{collections::BTreeMap, fs};

use argh::FromArgs;
use serde_json::{Value, json};

use super::{
    cli::Context,
    log_lines::{LogLine, read_lines},
    output::{CommandError, print_json, print_table},
    page,
};

/// Shows outcomes and latencies by kind of request, from the logs of any number
/// of gateways.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "report",
    example = "As a table, and as a page with plots:\n  \
               greengagefork report --page report.html gateway-1.log gateway-2.log"
)]
pub(crate) struct ReportCommand {
    /// write an HTML page with plots to this file
    #[argh(option)]
    page: Option<String>,

    /// log files; standard input if left out
    #[argh(positional)]
    files: Vec<String>,
}

/// Failure codes after which the client may retry, as the request was not
/// executed.
const REFUSALS: [&str; 5] =
    ["overloaded", "home_unavailable", "platform_unavailable", "stopping", "quarantined"];

/// The failure code at the start of a reason, without the details of the request.
fn code(reason: &str) -> &str {
    reason.split(':').next().unwrap_or(reason)
}

/// Outcome of a request or stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Outcome {
    /// The response of a replica was forwarded; for streams, its head.
    Answered,
    /// The request was not executed; the client may retry.
    Refused,
    /// The request may have been executed, or can't be served at all.
    Failed,
    /// A stream ended early.
    Cut,
    /// The client closed its connection first.
    Left,
}

impl Outcome {
    pub(crate) const ALL: [Outcome; 5] =
        [Outcome::Answered, Outcome::Refused, Outcome::Failed, Outcome::Cut, Outcome::Left];

    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::Refused => "refused",
            Outcome::Failed => "failed",
            Outcome::Cut => "cut",
            Outcome::Left => "left",
        }
    }

    fn from_line(line: &LogLine) -> Option<Self> {
        match line.event.as_str() {
            "answered" => Some(Outcome::Answered),
            "failed" if REFUSALS.contains(&code(line.get("reason")?)) => Some(Outcome::Refused),
            "failed" => Some(Outcome::Failed),
            "stream_cut" => Some(Outcome::Cut),
            "client_left" => Some(Outcome::Left),
            _ => None,
        }
    }
}

/// Statistics of a group of requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestStats {
    pub(crate) outcomes: BTreeMap<Outcome, u64>,
    /// Times to the head of the response, in ms.
    pub(crate) latencies_ms: Vec<u64>,
}

impl RequestStats {
    pub(crate) fn count(&self, outcome: Outcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }

    /// Quantile of the times to the head of the response, in ms.
    pub(crate) fn quantile(&self, fraction: f64) -> u64 {
        let mut sorted = self.latencies_ms.clone();
        sorted.sort_unstable();
        let index = (sorted.len() as f64 * fraction) as usize;
        sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0)
    }
}

/// Statistics of all log lines read.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    /// Requests by kind and rank; "-" if a line lacks the value.
    pub(crate) groups: BTreeMap<(String, String), RequestStats>,
    /// All requests by second of Unix time.
    pub(crate) seconds: BTreeMap<u64, RequestStats>,
    /// Number of requests by outcome and failure code.
    pub(crate) reasons: BTreeMap<String, u64>,
}

impl Report {
    fn record(&mut self, line: &LogLine) {
        let Some(outcome) = Outcome::from_line(line) else { return };
        // Log collectors may split a line; a value that is not a word is a
        // fragment of one and counts as missing.
        let is_word =
            |word: &&str| word.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'_');
        let label = |name: &str| line.get(name).filter(is_word).unwrap_or("-").to_owned();
        let group = self.groups.entry((label("kind"), label("rank"))).or_default();
        let second = self.seconds.entry(line.time_ms / 1000).or_default();
        for group in [group, second] {
            *group.outcomes.entry(outcome).or_default() += 1;
            if outcome == Outcome::Answered {
                group.latencies_ms.extend(line.number("ms"));
            }
        }
        if let Some(reason) = line.get("reason") {
            let name = format!("{} {}", outcome.as_str(), code(reason));
            *self.reasons.entry(name).or_default() += 1;
        }
    }
}

const QUANTILES: [(&str, f64); 3] = [("p50_ms", 0.5), ("p95_ms", 0.95), ("p99_ms", 0.99)];

impl ReportCommand {
    pub(crate) fn run(self, context: &Context) -> Result<(), CommandError> {
        let mut report = Report::default();
        read_lines(&self.files, |line| report.record(&line))?;
        if report.groups.is_empty() {
            return Err(CommandError::faults("no log line contains the outcome of a request"));
        }
        if let Some(path) = &self.page {
            fs::write(path, page::html(&report))
                .map_err(|err| CommandError::faults(format!("can't write {path}: {err}")))?;
        }
        match context.json {
            true => print_json(&to_json(&report)),
            false => print_table(&rows(&report)),
        }
        Ok(())
    }
}

/// Rows of the table by kind and rank, with the column titles first.
pub(crate) fn rows(report: &Report) -> Vec<Vec<String>> {
    let mut titles: Vec<String> = vec!["kind".into(), "rank".into()];
    titles.extend(Outcome::ALL.map(|outcome| outcome.as_str().to_owned()));
    titles.extend(QUANTILES.map(|(name, _)| name.to_owned()));
    let mut rows = vec![titles];
    for ((kind, rank), group) in &report.groups {
        let mut row = vec![kind.clone(), rank.clone()];
        row.extend(Outcome::ALL.map(|outcome| group.count(outcome).to_string()));
        row.extend(QUANTILES.map(|(_, fraction)| group.quantile(fraction).to_string()));
        rows.push(row);
    }
    rows
}

fn to_json(report: &Report) -> Value {
    let groups = report.groups.iter().map(|((kind, rank), group)| {
        let mut object = json!({"kind": kind, "rank": rank});
        for outcome in Outcome::ALL {
            object[outcome.as_str()] = group.count(outcome).into();
        }
        for (name, fraction) in QUANTILES {
            object[name] = group.quantile(fraction).into();
        }
        object
    });
    json!({"kinds": groups.collect::<Vec<_>>(), "reasons": report.reasons})
}
