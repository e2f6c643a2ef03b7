//! `trace`: collects the log lines of one request from the logs of several
//! processes.

use argh::FromArgs;
use serde_json::{Map, Value, json};

use super::{
    cli::Context,
    log_lines::{LogLine, read_lines},
    output::{CommandError, print_json, print_table},
};

/// Shows the log lines of one request, in order of time, from the logs of any
/// number of processes.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "trace",
    example = "From files:\n  greengagefork trace 9c41d07be2a35f68 gateway-1.log gateway-2.log",
    example = "From standard input:\n  collect-logs | greengagefork trace 9c41d07be2a35f68"
)]
pub(crate) struct TraceCommand {
    /// identifier of the request
    #[argh(positional)]
    request: String,

    /// log files; standard input if left out
    #[argh(positional)]
    files: Vec<String>,
}

impl TraceCommand {
    pub(crate) fn run(self, context: &Context) -> Result<(), CommandError> {
        let mut lines: Vec<LogLine> = Vec::new();
        read_lines(&self.files, |line| {
            if line.get("request") == Some(self.request.as_str()) {
                lines.push(line);
            }
        })?;
        if lines.is_empty() {
            return Err(CommandError::faults(format!("no log lines of request {}", self.request)));
        }
        lines.sort_by_key(|line| line.time_ms);
        match context.json {
            true => print_json(&json!(lines.iter().map(to_json).collect::<Vec<_>>())),
            false => print_lines(&lines),
        }
        Ok(())
    }
}

/// All pairs of the line but the identifier of the request, which is the same on
/// every line.
fn details(line: &LogLine) -> impl Iterator<Item = &(String, String)> {
    line.details.iter().filter(|(key, _)| key != "request")
}

fn to_json(line: &LogLine) -> Value {
    let mut object = Map::new();
    object.insert("time_ms".into(), line.time_ms.into());
    object.insert("instance".into(), line.instance.clone().into());
    object.insert("event".into(), line.event.clone().into());
    object.extend(details(line).map(|(key, value)| (key.clone(), value.clone().into())));
    object.into()
}

fn print_lines(lines: &[LogLine]) {
    let start = lines.first().map_or(0, |line| line.time_ms);
    let mut rows = vec![["ms", "instance", "event", "details"].map(String::from).to_vec()];
    for line in lines {
        let pairs = details(line).filter(|(key, _)| key != "level");
        let pairs: Vec<String> = pairs.map(|(key, value)| format!("{key}={value}")).collect();
        rows.push(vec![
            (line.time_ms - start).to_string(),
            line.instance.clone(),
            line.event.clone(),
            pairs.join(" "),
        ]);
    }
    print_table(&rows);
}
