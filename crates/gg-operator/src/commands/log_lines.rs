//! Reading of log lines from files or standard input.

use std::io::{self, BufRead, BufReader};

use super::output::CommandError;

/// One log line of `key=value` pairs.
#[derive(Clone, Debug)]
pub(crate) struct LogLine {
    /// Time of the event, in Unix milliseconds.
    pub(crate) time_ms: u64,
    /// Instance that wrote the line.
    pub(crate) instance: String,
    /// Name of the event.
    pub(crate) event: String,
    /// All other pairs, in the order of the line.
    pub(crate) details: Vec<(String, String)>,
}

impl LogLine {
    /// Parses a line. Skips any prefix before the time, as log collectors add
    /// one.
    fn parse(line: &str) -> Option<Self> {
        let line = &line[line.find("time_ms=")?..];
        let mut pairs: Vec<(String, String)> = Vec::new();
        for word in line.split(' ') {
            match (word.split_once('='), pairs.last_mut()) {
                (Some((key, value)), _) => pairs.push((key.into(), value.into())),
                // The previous value contains spaces.
                (None, Some((_, value))) => {
                    value.push(' ');
                    value.push_str(word);
                }
                (None, None) => {}
            }
        }
        let mut remove_pair = |name: &str| {
            let index = pairs.iter().position(|(key, _)| key == name)?;
            Some(pairs.remove(index).1)
        };
        let time_ms = remove_pair("time_ms")?.parse().ok()?;
        let (instance, event) = (remove_pair("instance")?, remove_pair("event")?);
        Some(LogLine { time_ms, instance, event, details: pairs })
    }

    /// Value of the pair with the key `name`.
    pub(crate) fn get(&self, name: &str) -> Option<&str> {
        self.details.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Value of the pair with the key `name` if it is a number.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.parse().ok()
    }
}

/// Calls `on_line` for each log line of the files, or of standard input if there are
/// none.
pub(crate) fn read_lines(
    files: &[String],
    mut on_line: impl FnMut(LogLine),
) -> Result<(), CommandError> {
    if files.is_empty() {
        return read(io::stdin().lock(), &mut on_line);
    }
    for file in files {
        let opened = std::fs::File::open(file)
            .map_err(|err| CommandError::faults(format!("can't read {file}: {err}")))?;
        read(BufReader::new(opened), &mut on_line)?;
    }
    Ok(())
}

fn read(lines: impl BufRead, on_line: &mut impl FnMut(LogLine)) -> Result<(), CommandError> {
    for line in lines.lines() {
        let line =
            line.map_err(|err| CommandError::faults(format!("can't read the log: {err}")))?;
        if let Some(line) = LogLine::parse(&line) {
            on_line(line);
        }
    }
    Ok(())
}
