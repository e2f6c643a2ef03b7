//! `check`: validates a settings or configuration file without starting a
//! process.

use std::fs;

use argh::FromArgs;
use gg_settings::{Settings, parse_configuration};
use serde_json::json;

use super::{
    cli::Context,
    output::{CommandError, print_json},
};

/// Checks a file and lists all its faults.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "Check a daemon's settings:\n  greengagefork check daemon.ini",
    example = "Check profiles before they are applied:\n  greengagefork check --config profiles.ini"
)]
pub(crate) struct CheckCommand {
    /// the file holds configuration documents instead of the settings of a process
    #[argh(switch)]
    config: bool,

    /// file to check
    #[argh(positional)]
    file: String,
}

impl CheckCommand {
    pub(crate) fn run(self, context: &Context) -> Result<(), CommandError> {
        let text = read_file(&self.file)?;
        let result = match self.config {
            true => parse_configuration(&self.file, &text).map(drop),
            false => Settings::parse(&self.file, &text).map(drop),
        };
        result.map_err(|faults| CommandError::faults(faults.to_string()))?;
        match context.json {
            true => print_json(&json!({"file": self.file, "faults": []})),
            false => println!("{}: no faults", self.file),
        }
        Ok(())
    }
}

/// Reads a file given on the command line.
pub(crate) fn read_file(file: &str) -> Result<String, CommandError> {
    fs::read_to_string(file)
        .map_err(|err| CommandError::faults(format!("can't read {file}: {err}")))
}
