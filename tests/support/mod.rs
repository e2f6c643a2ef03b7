//! Helpers shared by the tests of whole fleets.

use gg_fakes::{Fleet, FleetSettings, Starter};

/// Starts a fleet of daemons built from this workspace.
pub async fn fleet(settings: FleetSettings) -> Fleet {
    Fleet::start(Starter::binary(env!("CARGO_BIN_EXE_greengageforkd")), settings).await
}
