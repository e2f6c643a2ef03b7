//! Log lines of any number of processes, as commands read them.

use std::io::{self, BufRead, BufReader};

use super::output::Failed;

/// One line of key=value pairs.
#[derive(Clone, Debug)]
pub(crate) struct LogLine {
    /// Unix milliseconds.
    pub(crate) time_ms: u64,
    /// Instance that wrote it.
    pub(crate) instance: String,
    /// What happened.
    pub(crate) event: String,
    /// All other pairs, in order.
    pub(crate) details: Vec<(String, String)>,
}

impl LogLine {
    /// Reads a line. What stands before its time, as collectors put it there,
    /// is passed over.
    fn parse(line: &str) -> Option<Self> {
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
        let time_ms = take("time_ms")?.parse().ok()?;
        let (instance, event) = (take("instance")?, take("event")?);
        Some(LogLine { time_ms, instance, event, details: pairs })
    }

    /// Value of a pair.
    pub(crate) fn get(&self, name: &str) -> Option<&str> {
        self.details.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Value of a pair that is a number.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.parse().ok()
    }
}

/// Passes each line of the files on, or of standard input if none is named.
pub(crate) fn read_lines(files: &[String], mut take: impl FnMut(LogLine)) -> Result<(), Failed> {
    if files.is_empty() {
        return read(io::stdin().lock(), &mut take);
    }
    for file in files {
        let opened = std::fs::File::open(file)
            .map_err(|err| Failed::faults(format!("can't read {file}: {err}")))?;
        read(BufReader::new(opened), &mut take)?;
    }
    Ok(())
}

fn read(lines: impl BufRead, take: &mut impl FnMut(LogLine)) -> Result<(), Failed> {
    for line in lines.lines() {
        let line = line.map_err(|err| Failed::faults(format!("the log can't be read: {err}")))?;
        if let Some(line) = LogLine::parse(&line) {
            take(line);
        }
    }
    Ok(())
}
