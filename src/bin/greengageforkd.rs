//! The daemon of greengagefork.

use std::{fmt::Display, fs, process::ExitCode};

use argh::FromArgs;
use gg_adapter::{Adapter, AdapterSettings};
use gg_daemon::{init_logs, run_until_signal};
use gg_gateway::{run_gateway, run_ledger};
use gg_settings::{DirectorySettings, LogSettings, SAMPLE, Settings};
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
    match arguments.file.as_deref().and_then(load) {
        Some(settings) => serve(settings),
        None => ExitCode::from(EXIT_FAULTS),
    }
}

/// Reads the settings; prints all faults if there are any.
fn load(file: &str) -> Option<Settings> {
    let text = match fs::read_to_string(file) {
        Ok(text) => text,
        Err(err) => {
            eprintln!("error: can't read {file}: {err}");
            return None;
        }
    };
    match Settings::parse(file, &text) {
        Ok(settings) => Some(settings),
        Err(faults) => {
            eprint!("{faults}");
            None
        }
    }
}

/// Runs the part that the settings name.
fn serve(settings: Settings) -> ExitCode {
    match settings {
        Settings::Daemon(settings) => {
            let mut threads = Builder::new_multi_thread();
            threads.worker_threads(settings.workers);
            let (log, instance) = (settings.log.clone(), settings.instance.clone());
            run(threads, &log, &instance, run_until_signal(*settings))
        }
        Settings::Gateway(settings, directory, log) => {
            let instance = settings.instance.clone();
            let gateway = run_gateway(settings, adapter(directory));
            run(Builder::new_current_thread(), &log, &instance, gateway)
        }
        Settings::Ledger(settings, directory, log) => {
            let instance = settings.instance.clone();
            let ledger = run_ledger(settings, adapter(directory));
            run(Builder::new_current_thread(), &log, &instance, ledger)
        }
    }
}

fn adapter(settings: DirectorySettings) -> Adapter {
    Adapter::new(AdapterSettings { address: settings.address, timeout: settings.timeout })
}

fn run<E: Display>(
    mut threads: Builder,
    log: &LogSettings,
    instance: &str,
    program: impl Future<Output = Result<(), E>>,
) -> ExitCode {
    if let Err(err) = init_logs(log, instance) {
        eprintln!("error: the log can't be opened: {err}");
        return ExitCode::FAILURE;
    }
    let runtime = match threads.enable_all().build() {
        Ok(runtime) => runtime,
        Err(err) => {
            eprintln!("error: threads can't be started: {err}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(program) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error: {err}");
            ExitCode::FAILURE
        }
    }
}
