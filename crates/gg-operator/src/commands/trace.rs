//! `trace`: tells one request's story from the logs of several processes.

use std::io::{self, BufRead, BufReader};

use argh::FromArgs;
use serde_json::{Map, Value, json};

use super::{
    line::Context,
    output::{Failed, print_json, print_table},
};

/// Tells one request's story, in order, from the logs of any number of
/// processes.
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

    /// log files; standard input if none is named
    #[argh(positional)]
    files: Vec<String>,
}

/// One line that names the request.
struct Event {
    time_ms: u64,
    instance: String,
    name: String,
    details: Vec<(String, String)>,
}

impl TraceCommand {
    pub(crate) fn run(self, context: &Context) -> Result<(), Failed> {
        let mut events = Vec::new();
        if self.files.is_empty() {
            self.read(io::stdin().lock(), &mut events)?;
        }
        for file in &self.files {
            let opened = std::fs::File::open(file)
                .map_err(|err| Failed::faults(format!("can't read {file}: {err}")))?;
            self.read(BufReader::new(opened), &mut events)?;
        }
        if events.is_empty() {
            return Err(Failed::faults(format!("no line names request {}", self.request)));
        }
        events.sort_by_key(|event| event.time_ms);
        match context.json {
            true => print_json(&json!(events.iter().map(Event::to_json).collect::<Vec<_>>())),
            false => print(&events),
        }
        Ok(())
    }

    fn read(&self, lines: impl BufRead, events: &mut Vec<Event>) -> Result<(), Failed> {
        for line in lines.lines() {
            let line =
                line.map_err(|err| Failed::faults(format!("the log can't be read: {err}")))?;
            events.extend(parse(&line, &self.request));
        }
        Ok(())
    }
}

/// Reads a line of key=value pairs if it names the request. What stands
/// before its time, as collectors put it there, is passed over.
fn parse(line: &str, request: &str) -> Option<Event> {
    let line = &line[line.find("time_ms=")?..];
    let mut pairs: Vec<(String, String)> = Vec::new();
    for word in line.split(' ') {
        match (word.split_once('='), pairs.last_mut()) {
            (Some((key, value)), _) => pairs.push((key.into(), value.into())),
            // The last value has spaces.
            (None, Some((_, value))) => {
                value.push(' ');
                value.push_str(word);
            }
            (None, None) => {}
        }
    }
    let mut take = |name: &str| {
        let index = pairs.iter().position(|(key, _)| key == name)?;
        Some(pairs.remove(index).1)
    };
    let named = take("request")?;
    let time_ms = take("time_ms")?.parse().ok()?;
    let (instance, name) = (take("instance")?, take("event")?);
    (named == request).then_some(Event { time_ms, instance, name, details: pairs })
}

impl Event {
    fn to_json(&self) -> Value {
        let mut object = Map::new();
        object.insert("time_ms".into(), self.time_ms.into());
        object.insert("instance".into(), self.instance.clone().into());
        object.insert("event".into(), self.name.clone().into());
        let details = self.details.iter();
        object.extend(details.map(|(key, value)| (key.clone(), value.clone().into())));
        object.into()
    }
}

fn print(events: &[Event]) {
    let start = events.first().map_or(0, |event| event.time_ms);
    let mut rows = vec![["ms", "instance", "event", "details"].map(String::from).to_vec()];
    for event in events {
        let details = event.details.iter().filter(|(key, _)| key != "level");
        let details: Vec<String> = details.map(|(key, value)| format!("{key}={value}")).collect();
        rows.push(vec![
            (event.time_ms - start).to_string(),
            event.instance.clone(),
            event.name.clone(),
            details.join(" "),
        ]);
    }
    print_table(&rows);
}
