//! Logging: one line of key=value pairs for each event.

use std::io;

use gg_protocol::clock::wall_ms;
use gg_settings::LogSettings;
use log::LevelFilter;

/// Sends log lines to standard error, or to the file in the settings.
pub fn init_logs(settings: &LogSettings, instance: &str) -> Result<(), fern::InitError> {
    let instance = instance.to_owned();
    let level = settings.level.parse().unwrap_or(LevelFilter::Info);
    let dispatch = fern::Dispatch::new()
        .format(move |out, message, record| {
            let level = record.level().as_str().to_ascii_lowercase();
            out.finish(format_args!(
                "time_ms={} level={level} instance={instance} {message}",
                wall_ms()
            ));
        })
        // Lines of libraries have no event; they are of use only as warnings.
        .level(LevelFilter::Error)
        .level_for("gg_daemon", level)
        .level_for("gg_journal", level)
        .level_for("gg_gateway", level)
        .level_for("gg_ledger", level)
        .level_for("gg_platform", level)
        .level_for("greengageforkd", level);
    let dispatch = match settings.file.is_empty() {
        true => dispatch.chain(io::stderr()),
        false => dispatch.chain(fern::log_file(&settings.file)?),
    };
    dispatch.apply()?;
    Ok(())
}
