//! Helpers shared by the tests of whole fleets.

// Each test file uses some of them.
#![allow(dead_code)]

use gg_fakes::{Fleet, FleetSettings, Starter};

/// Runs the daemon built from this workspace.
pub fn starter() -> Starter {
    Starter::binary(env!("CARGO_BIN_EXE_greengageforkd"))
}

/// Starts a fleet of daemons built from this workspace.
pub async fn fleet(settings: FleetSettings) -> Fleet {
    Fleet::start(starter(), settings).await
}
