//! Initialization of logging.

use std::{fs::OpenOptions, io, io::Write, sync::Mutex};

use gg_protocol::clock::wall_ms;
use gg_settings::LogSettings;
use log::LevelFilter;

use crate::LineWriter;

/// Packages of this workspace whose events are logged. Log records of libraries
/// have no event name, so only their errors are logged.
const PACKAGES: [&str; 6] =
    ["gg_daemon", "gg_gateway", "gg_journal", "gg_ledger", "gg_platform", "greengageforkd"];

/// Starts logging to the file in the settings, or to standard output.
pub fn init_logs(settings: &LogSettings, instance: &str) -> Result<(), fern::InitError> {
    let instance = instance.to_owned();
    let level = settings.level.parse().unwrap_or(LevelFilter::Info);
    let writer = match settings.file.is_empty() {
        true => LineWriter::new(io::stdout())?,
        false => {
            LineWriter::new(OpenOptions::new().create(true).append(true).open(&settings.file)?)?
        }
    };
    let writer = Mutex::new(writer);
    let output = fern::Output::call(move |record| {
        let line = format!(
            "time_ms={} level={} instance={instance} {}\n",
            wall_ms(),
            record.level().as_str().to_ascii_lowercase(),
            record.args()
        );
        let mut writer = writer.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        // The writer buffers the line or counts it as dropped; it never fails.
        let _ = writer.write(line.as_bytes());
        if record.level() == LevelFilter::Error {
            let _ = writer.flush();
        }
    });
    let dispatch = fern::Dispatch::new().level(LevelFilter::Error);
    let dispatch =
        PACKAGES.iter().fold(dispatch, |dispatch, package| dispatch.level_for(*package, level));
    dispatch.chain(output).apply()?;
    Ok(())
}
