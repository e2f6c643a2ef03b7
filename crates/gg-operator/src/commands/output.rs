//! Printing of results and errors.

use serde::Serialize;
use serde_json::{Value, json};

use crate::OperatorError;

/// Exit status if a request failed or was refused.
const EXIT_FAILED: u8 = 1;

/// Exit status if the command line or a file has faults.
const EXIT_FAULTS: u8 = 2;

/// Exit status if it is unknown whether a change was accepted.
const EXIT_OUTCOME_UNKNOWN: u8 = 3;

/// Error that ends a command.
#[derive(Debug)]
pub(crate) struct CommandError {
    exit: u8,
    message: String,
    help: String,
    details: Value,
}

impl CommandError {
    /// An error in the command line or a file.
    pub(crate) fn faults(message: impl Into<String>) -> Self {
        let message = message.into();
        CommandError { exit: EXIT_FAULTS, message, help: String::new(), details: Value::Null }
    }

    /// A failed request.
    pub(crate) fn request(message: impl Into<String>, help: &str) -> Self {
        let message = message.into();
        CommandError { exit: EXIT_FAILED, message, help: help.into(), details: Value::Null }
    }

    /// Prints the error and returns the exit status.
    pub(crate) fn report(self, as_json: bool) -> u8 {
        if as_json {
            let error = json!({"message": self.message, "help": self.help});
            println!("{}", json!({"error": error, "details": self.details}));
            return self.exit;
        }
        eprintln!("error: {}", self.message.trim_end());
        if !self.help.is_empty() {
            eprintln!("help: {}", self.help);
        }
        if !self.details.is_null() {
            eprintln!("current: {:#}", self.details);
        }
        self.exit
    }
}

impl From<OperatorError> for CommandError {
    fn from(err: OperatorError) -> Self {
        let message = err.to_string();
        match err {
            OperatorError::Http(_) => {
                CommandError::request(message, "check --daemon and that the daemon is running")
            }
            OperatorError::Refused(_, _, help, body) => {
                let exit = match body["outcome"].as_str() {
                    Some("unknown") => EXIT_OUTCOME_UNKNOWN,
                    _ => EXIT_FAILED,
                };
                CommandError { exit, message, help, details: body["current"].clone() }
            }
        }
    }
}

/// Prints a value as indented JSON.
pub(crate) fn print_json<T: Serialize>(value: &T) {
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}

/// Prints rows as aligned columns; the first row holds the column titles.
pub(crate) fn print_table(rows: &[Vec<String>]) {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        rows.iter().filter_map(|row| row.get(column)).map(String::len).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    for row in rows {
        let cells = row.iter().zip(&widths);
        let line: Vec<String> = cells.map(|(cell, width)| format!("{cell:<width$}")).collect();
        println!("{}", line.join("  ").trim_end());
    }
}
