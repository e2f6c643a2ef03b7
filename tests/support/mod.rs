//! Helpers shared by tests that run whole fleets.

// Each test file uses only some of the helpers.
#![allow(dead_code)]

use gg_fakes::{Fleet, FleetSettings, Starter};

/// Returns a starter for the daemon binary built from this workspace.
pub fn starter() -> Starter {
    Starter::binary(env!("CARGO_BIN_EXE_greengageforkd"))
}

/// Starts a fleet of daemons built from this workspace.
pub async fn fleet(settings: FleetSettings) -> Fleet {
    Fleet::start(starter(), settings).await
}
