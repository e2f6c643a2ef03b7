//! `report`: a day's answers, refusals and latencies by kind of request, from
//! the logs of several gateways.

use std::{collections::BTreeMap, fs};

use argh::FromArgs;
use serde_json::{Value, json};

use super::{
    line::Context,
    log_lines::{LogLine, read_lines},
    output::{Failed, print_json, print_table},
    page,
};

/// Sums up answers, refusals and latencies by kind of request, from the logs
/// of any number of gateways.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "report",
    example = "As a table, and as a page with plots:\n  \
               greengagefork report --page day.html gateway-1.log gateway-2.log"
)]
pub(crate) struct ReportCommand {
    /// file for a page with plots, as HTML
    #[argh(option)]
    page: Option<String>,

    /// log files; standard input if none is named
    #[argh(positional)]
    files: Vec<String>,
}

/// Codes of answers after which the client may come back: nothing ran.
const REFUSALS: [&str; 5] =
    ["overloaded", "home_unavailable", "platform_unavailable", "stopping", "quarantined"];

/// The part of a reason that is the same for all requests.
fn code(reason: &str) -> &str {
    reason.split(':').next().unwrap_or(reason)
}

/// How a request or stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Ending {
    /// A replica's answer was passed on, or its head, on streams.
    Answered,
    /// It has not run; the client may come back.
    Refused,
    /// It may have run, or can't be served at all.
    Failed,
    /// A stream was cut off.
    Cut,
    /// The client closed its connection first.
    Left,
}

impl Ending {
    pub(crate) const ALL: [Ending; 5] =
        [Ending::Answered, Ending::Refused, Ending::Failed, Ending::Cut, Ending::Left];

    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Ending::Answered => "answered",
            Ending::Refused => "refused",
            Ending::Failed => "failed",
            Ending::Cut => "cut",
            Ending::Left => "left",
        }
    }

    fn of(line: &LogLine) -> Option<Self> {
        match line.event.as_str() {
            "answered" => Some(Ending::Answered),
            "failed" if REFUSALS.contains(&code(line.get("reason")?)) => Some(Ending::Refused),
            "failed" => Some(Ending::Failed),
            "stream_cut" => Some(Ending::Cut),
            "client_left" => Some(Ending::Left),
            _ => None,
        }
    }
}

/// Requests of one kind and rank.
#[derive(Clone, Debug, Default)]
pub(crate) struct Group {
    pub(crate) endings: BTreeMap<Ending, u64>,
    /// Times to the head of an answer, in ms.
    pub(crate) answered_ms: Vec<u64>,
}

impl Group {
    pub(crate) fn count(&self, ending: Ending) -> u64 {
        self.endings.get(&ending).copied().unwrap_or(0)
    }

    /// Quantile of the times to the head of an answer, in ms.
    pub(crate) fn quantile(&self, share: f64) -> u64 {
        let mut sorted = self.answered_ms.clone();
        sorted.sort_unstable();
        let index = (sorted.len() as f64 * share) as usize;
        sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0)
    }
}

/// What the logs tell.
#[derive(Clone, Debug, Default)]
pub(crate) struct Day {
    /// By kind and rank; "-" where a line doesn't say.
    pub(crate) groups: BTreeMap<(String, String), Group>,
    /// All requests by second.
    pub(crate) seconds: BTreeMap<u64, Group>,
    /// Reasons of failures and refusals, without what differs by request.
    pub(crate) reasons: BTreeMap<String, u64>,
}

impl Day {
    fn take(&mut self, line: &LogLine) {
        let Some(ending) = Ending::of(line) else { return };
        // Collectors may cut lines apart; what is left of one names no kind.
        let is_word =
            |word: &&str| word.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'_');
        let named = |name: &str| line.get(name).filter(is_word).unwrap_or("-").to_owned();
        let group = self.groups.entry((named("kind"), named("rank"))).or_default();
        let second = self.seconds.entry(line.time_ms / 1000).or_default();
        for group in [group, second] {
            *group.endings.entry(ending).or_default() += 1;
            if ending == Ending::Answered {
                group.answered_ms.extend(line.number("ms"));
            }
        }
        if let Some(reason) = line.get("reason") {
            let name = format!("{} {}", ending.as_str(), code(reason));
            *self.reasons.entry(name).or_default() += 1;
        }
    }
}

const QUANTILES: [(&str, f64); 3] = [("p50_ms", 0.5), ("p95_ms", 0.95), ("p99_ms", 0.99)];

impl ReportCommand {
    pub(crate) fn run(self, context: &Context) -> Result<(), Failed> {
        let mut day = Day::default();
        read_lines(&self.files, |line| day.take(&line))?;
        if day.groups.is_empty() {
            return Err(Failed::faults("no line tells how a request ended"));
        }
        if let Some(path) = &self.page {
            fs::write(path, page::html(&day))
                .map_err(|err| Failed::faults(format!("can't write {path}: {err}")))?;
        }
        match context.json {
            true => print_json(&to_json(&day)),
            false => print_table(&rows(&day)),
        }
        Ok(())
    }
}

/// The table of kinds and ranks, its head first.
pub(crate) fn rows(day: &Day) -> Vec<Vec<String>> {
    let mut head: Vec<String> = vec!["kind".into(), "rank".into()];
    head.extend(Ending::ALL.map(|ending| ending.as_str().to_owned()));
    head.extend(QUANTILES.map(|(name, _)| name.to_owned()));
    let mut rows = vec![head];
    for ((kind, rank), group) in &day.groups {
        let mut row = vec![kind.clone(), rank.clone()];
        row.extend(Ending::ALL.map(|ending| group.count(ending).to_string()));
        row.extend(QUANTILES.map(|(_, share)| group.quantile(share).to_string()));
        rows.push(row);
    }
    rows
}

fn to_json(day: &Day) -> Value {
    let groups = day.groups.iter().map(|((kind, rank), group)| {
        let mut object = json!({"kind": kind, "rank": rank});
        for ending in Ending::ALL {
            object[ending.as_str()] = group.count(ending).into();
        }
        for (name, share) in QUANTILES {
            object[name] = group.quantile(share).into();
        }
        object
    });
    json!({"kinds": groups.collect::<Vec<_>>(), "reasons": day.reasons})
}
