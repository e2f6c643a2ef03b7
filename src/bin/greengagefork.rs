//! The command line tool of greengagefork.

use std::process::ExitCode;

use gg_operator::{CommandLine, run};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let line: CommandLine = argh::from_env();
    ExitCode::from(run(line).await)
}
