//! Definition of the command line and dispatch to the commands.

use argh::FromArgs;

use super::{
    apply::ApplyCommand, check::CheckCommand, digest::DigestCommand, drain::DrainCommand,
    explain::ExplainCommand, profile::ProfileCommand, program::ProgramCommand,
    report::ReportCommand, status::StatusCommand, trace::TraceCommand,
};
use crate::OperatorClient;

/// Operates greengagefork daemons.
#[derive(Debug, FromArgs)]
#[argh(
    example = "Check a settings file before a start:\n  {command_name} check daemon.ini",
    example = "See the fleet:\n  {command_name} --daemon 127.0.0.1:7102 status",
    error_code(1, "the request failed or was refused"),
    error_code(2, "the command line or a file has faults"),
    error_code(3, "it is unknown whether a change was accepted")
)]
pub struct CommandLine {
    /// operator address of a daemon, ip:port (127.0.0.1:7102)
    #[argh(option, default = "String::from(\"127.0.0.1:7102\")")]
    pub daemon: String,

    /// operator key; the environment variable GREENGAGEFORK_KEY if left out
    #[argh(option)]
    pub key: Option<String>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,

    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Apply(ApplyCommand),
    Check(CheckCommand),
    Digest(DigestCommand),
    Drain(DrainCommand),
    Explain(ExplainCommand),
    Profile(ProfileCommand),
    Program(ProgramCommand),
    Report(ReportCommand),
    Status(StatusCommand),
    Trace(TraceCommand),
}

/// Context shared by all commands.
pub(crate) struct Context {
    pub(crate) client: OperatorClient,
    pub(crate) key: String,
    pub(crate) json: bool,
}

/// Runs a command and returns the exit status.
pub async fn run(line: CommandLine) -> u8 {
    let key = line.key.or_else(|| std::env::var("GREENGAGEFORK_KEY").ok()).unwrap_or_default();
    let client = OperatorClient::new(&line.daemon, &key);
    let context = Context { client, key, json: line.json };
    let result = match line.command {
        Command::Apply(command) => command.run(&context).await,
        Command::Check(command) => command.run(&context),
        Command::Digest(command) => command.run(&context),
        Command::Drain(command) => command.run(&context).await,
        Command::Explain(command) => command.run(&context).await,
        Command::Profile(command) => command.run(&context).await,
        Command::Program(command) => command.run(&context).await,
        Command::Report(command) => command.run(&context),
        Command::Status(command) => command.run(&context).await,
        Command::Trace(command) => command.run(&context),
    };
    match result {
        Ok(()) => 0,
        Err(err) => err.report(context.json),
    }
}
