//! Lets an example executable also run as a daemon, so that one command starts
//! a whole fleet.

use std::process::ExitCode;

use gg_fakes::DaemonCommand;
use gg_settings::DaemonSettings;
use mimalloc::MiMalloc;
use tokio::runtime::Builder;

/// Returns the command that runs this executable as a daemon.
pub fn daemon_command() -> DaemonCommand {
    let program = std::env::current_exe().expect("path of this executable");
    DaemonCommand { program, arguments: vec!["--daemon".into()] }
}

/// The same allocator as in the daemon binary.
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// Runs an example, or a daemon if `daemon` names a settings file.
pub fn run_or_serve<F: Future<Output = ExitCode>>(
    daemon: Option<String>,
    run: impl FnOnce() -> F,
) -> ExitCode {
    match daemon {
        Some(file) => run_daemon(&file),
        None => tokio::runtime::Runtime::new().expect("start runtime").block_on(run()),
    }
}

/// Runs a daemon with the settings in `file`.
fn run_daemon(file: &str) -> ExitCode {
    let text = std::fs::read_to_string(file).expect("read settings file");
    let settings = match DaemonSettings::parse(file, &text) {
        Ok(settings) => settings,
        Err(faults) => {
            eprint!("{faults}");
            return ExitCode::FAILURE;
        }
    };
    gg_log::init_logs(&settings.log, &settings.instance).expect("initialize log");
    let runtime = Builder::new_multi_thread()
        .worker_threads(settings.workers)
        .enable_all()
        .build()
        .expect("start runtime");
    match runtime.block_on(gg_daemon::run_until_signal(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error: {err}");
            ExitCode::FAILURE
        }
    }
}
