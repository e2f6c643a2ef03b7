//! The daemon of greengagefork.

use std::{fs, process::ExitCode};

use argh::FromArgs;
use gg_daemon::{init_logs, run_until_signal};
use gg_settings::{DaemonSettings, SAMPLE};
use mimalloc::MiMalloc;
use tokio::runtime::Builder;

/// A request makes many short-lived pieces of JSON.
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// Exit status of faulty settings.
const EXIT_FAULTS: u8 = 2;

/// Runs one greengagefork daemon.
#[derive(Debug, FromArgs)]
#[argh(
    example = "Write an annotated settings file:\n  {command_name} --sample > daemon.ini",
    example = "Run with it:\n  {command_name} daemon.ini",
    error_code(1, "an address can't be listened on, or the log can't be opened"),
    error_code(2, "the settings have faults; nothing was started")
)]
struct Arguments {
    /// print an annotated sample of the settings
    #[argh(switch)]
    sample: bool,

    /// settings file
    #[argh(positional)]
    file: Option<String>,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.sample {
        print!("{SAMPLE}");
        return ExitCode::SUCCESS;
    }
    let Some(settings) = arguments.file.as_deref().and_then(load) else {
        return ExitCode::from(EXIT_FAULTS);
    };
    if let Err(err) = init_logs(&settings.log, &settings.instance) {
        eprintln!("error: the log can't be opened: {err}");
        return ExitCode::FAILURE;
    }
    serve(settings)
}

/// Reads the settings; prints all faults if there are any.
fn load(file: &str) -> Option<DaemonSettings> {
    let text = match fs::read_to_string(file) {
        Ok(text) => text,
        Err(err) => {
            eprintln!("error: can't read {file}: {err}");
            return None;
        }
    };
    match DaemonSettings::parse(file, &text) {
        Ok(settings) => Some(settings),
        Err(faults) => {
            eprint!("{faults}");
            None
        }
    }
}

fn serve(settings: DaemonSettings) -> ExitCode {
    let runtime = Builder::new_multi_thread().worker_threads(settings.workers).enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(err) => {
            eprintln!("error: threads can't be started: {err}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run_until_signal(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error: {err}");
            ExitCode::FAILURE
        }
    }
}
