//! The process of a greengagefork daemon, gateway or ledger.

use std::{ffi::c_long, fmt::Display, fs, process::ExitCode};

use argh::FromArgs;
use gg_adapter::{Adapter, AdapterSettings};
use gg_daemon::{run_until_signal, stop_on_signal};
use gg_gateway::{run_gateway, run_ledger};
use gg_log::init_logs;
use gg_settings::{DirectorySettings, Faults, KeyValue, LogSettings, SAMPLE, Settings};
use libmimalloc_sys::{mi_option_set, mi_option_t};
use mimalloc::MiMalloc;
use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
};
use tokio_util::sync::CancellationToken;

/// Requests allocate many short-lived JSON values.
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// Number of the allocator's option for the time after which freed memory is returned to the
/// kernel (`mi_option_purge_delay`).
const RETURN_DELAY_OPTION: mi_option_t = 15;

/// Time, in ms, after which freed memory is returned to the kernel. By default it takes a
/// second, in which clients can make the process hold their part of the memory twice.
const RETURN_DELAY_MS: c_long = 100;

/// Number of the allocator's option for the largest object that shares its memory with others
/// (`mi_option_arena_max_object_size`).
const SHARED_OBJECT_OPTION: mi_option_t = 45;

/// Size, in KiB, above which an object has memory of its own, which is returned at once when
/// it is freed.
const SHARED_OBJECT_KB: c_long = 1024;

/// Exit status if the settings have faults.
const EXIT_FAULTS: u8 = 2;

/// Runs a greengagefork daemon, gateway or ledger.
#[derive(Debug, FromArgs)]
#[argh(
    example = "Write an annotated settings file:\n  {command_name} --sample > daemon.ini",
    example = "Run with it:\n  {command_name} daemon.ini",
    error_code(1, "can't listen on an address or open the log"),
    error_code(2, "the settings have faults; nothing was started")
)]
struct Arguments {
    /// print an annotated sample of the settings
    #[argh(switch)]
    sample: bool,

    /// key of the settings as SECTION.KEY=VALUE, in place of the file's; without a
    /// value it is ignored
    #[argh(option)]
    set: Vec<KeyValue>,

    /// settings file
    #[argh(positional)]
    file: Option<String>,
}

/// Where the settings come from.
#[derive(Clone, Debug)]
struct Source {
    file: String,
    keys: Vec<KeyValue>,
}

impl Source {
    fn parse(&self, text: &str) -> Result<Settings, Faults> {
        Settings::parse_with(&self.file, text, &self.keys)
    }
}

fn main() -> ExitCode {
    // SAFETY: only this thread runs, and the function takes only integers.
    unsafe {
        mi_option_set(RETURN_DELAY_OPTION, RETURN_DELAY_MS);
        mi_option_set(SHARED_OBJECT_OPTION, SHARED_OBJECT_KB);
    }
    let arguments: Arguments = argh::from_env();
    if arguments.sample {
        print!("{SAMPLE}");
        return ExitCode::SUCCESS;
    }
    let Some(file) = arguments.file else {
        eprintln!("error: specify a settings file or --sample");
        return ExitCode::from(EXIT_FAULTS);
    };
    let source = Source { file, keys: arguments.set };
    match load_settings(&source) {
        Some(settings) => serve(settings, source),
        None => ExitCode::from(EXIT_FAULTS),
    }
}

/// Loads the settings. On failure prints all faults.
fn load_settings(source: &Source) -> Option<Settings> {
    let file = &source.file;
    let text = match fs::read_to_string(file) {
        Ok(text) => text,
        Err(err) => {
            eprintln!("error: can't read {file}: {err}");
            return None;
        }
    };
    match source.parse(&text) {
        Ok(settings) => Some(settings),
        Err(faults) => {
            eprint!("{faults}");
            None
        }
    }
}

/// Runs the process in the role that the settings select.
fn serve(settings: Settings, source: Source) -> ExitCode {
    let in_force = settings.clone();
    match settings {
        Settings::Daemon(settings) => {
            let mut runtime_builder = Builder::new_multi_thread();
            runtime_builder.worker_threads(settings.workers);
            let (log, instance) = (settings.log.clone(), settings.instance.clone());
            run(runtime_builder, &log, &instance, run_until_signal(*settings))
        }
        Settings::Gateway(settings, directory, log) => {
            let instance = settings.instance.clone();
            let gateway = async move {
                let stop = handle_signals(source, in_force);
                run_gateway(settings, adapter(directory), stop).await
            };
            run(Builder::new_current_thread(), &log, &instance, gateway)
        }
        Settings::Ledger(settings, directory, log) => {
            let instance = settings.instance.clone();
            let ledger = async move {
                let stop = handle_signals(source, in_force);
                run_ledger(settings, adapter(directory), stop).await
            };
            run(Builder::new_current_thread(), &log, &instance, ledger)
        }
    }
}

/// Starts the tasks that handle signals. Returns a token that is cancelled on
/// SIGTERM and SIGINT.
fn handle_signals(source: Source, in_force: Settings) -> CancellationToken {
    let stop = CancellationToken::new();
    tokio::spawn(stop_on_signal(stop.clone()));
    tokio::spawn(reload_on_hangup(source, in_force));
    stop
}

/// Reads the settings again on SIGHUP and logs the result. The process keeps its
/// settings; changes take effect at the next start.
async fn reload_on_hangup(source: Source, in_force: Settings) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(err) => {
            log::error!("event=signals_failed error={err}");
            return;
        }
    };
    while hangup.recv().await.is_some() {
        let result = match fs::read_to_string(&source.file) {
            Err(err) => format!("unreadable error={err}"),
            Ok(text) => match source.parse(&text) {
                Err(faults) => format!("faulty faults={:?}", faults.to_string()),
                Ok(settings) if settings == in_force => "unchanged".into(),
                Ok(_) => "changed, takes effect at the next start".into(),
            },
        };
        log::info!("event=settings_read result={result}");
    }
}

fn adapter(settings: DirectorySettings) -> Adapter {
    Adapter::new(AdapterSettings { address: settings.address, timeout: settings.timeout })
}

fn run<E: Display>(
    mut runtime_builder: Builder,
    log: &LogSettings,
    instance: &str,
    process: impl Future<Output = Result<(), E>>,
) -> ExitCode {
    if let Err(err) = init_logs(log, instance) {
        eprintln!("error: can't open the log: {err}");
        return ExitCode::FAILURE;
    }
    let runtime = match runtime_builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(err) => {
            eprintln!("error: can't start threads: {err}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(process) {
        Ok(()) => {
            log::logger().flush();
            ExitCode::SUCCESS
        }
        Err(err) => {
            log::error!("event=failed error={err}");
            eprintln!("error: {err}");
            ExitCode::FAILURE
        }
    }
}
