//! Helpers shared by tests that run whole fleets.

// Each test file uses only some of the helpers.
#![allow(dead_code)]

use gg_fakes::{DaemonCommand, Fleet, FleetSettings};

/// Returns the command for the daemon binary built from this workspace.
pub fn daemon_command() -> DaemonCommand {
    DaemonCommand::binary(env!("CARGO_BIN_EXE_greengageforkd"))
}

/// Starts a fleet of daemons built from this workspace.
pub async fn fleet(settings: FleetSettings) -> Fleet {
    Fleet::start(daemon_command(), settings).await
}
