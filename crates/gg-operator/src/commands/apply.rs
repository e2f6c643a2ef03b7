//! `apply`: changes configuration documents.

use std::time::Duration;

use argh::FromArgs;
use gg_protocol::Name;
use gg_settings::parse_configuration;
use indexmap::IndexMap;
use serde_json::json;
use tokio::time::{self, Instant};

use super::{
    check::read_file,
    cli::Context,
    output::{CommandError, print_json, print_table},
};
use crate::{Accepted, DaemonStatus, OperatorClient};

/// Applies the configuration documents in a file.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "apply",
    example = "Apply a file and wait until its documents are in force on all daemons:\n  \
               greengagefork apply --wait profiles.ini"
)]
pub(crate) struct ApplyCommand {
    /// apply the documents without checking the versions that they are based on
    #[argh(switch)]
    force: bool,

    /// wait until the change is in force on every live daemon
    #[argh(switch)]
    wait: bool,

    /// file of configuration documents
    #[argh(positional)]
    file: String,
}

/// Timeout of `--wait`.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval at which `--wait` polls the versions of the daemons.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

impl ApplyCommand {
    pub(crate) async fn run(self, context: &Context) -> Result<(), CommandError> {
        let text = read_file(&self.file)?;
        parse_configuration(&self.file, &text)
            .map_err(|faults| CommandError::faults(faults.to_string()))?;
        apply(context, &text, self.force, self.wait).await
    }
}

/// Applies documents and prints what was accepted.
pub(crate) async fn apply(
    context: &Context,
    text: &str,
    force: bool,
    wait: bool,
) -> Result<(), CommandError> {
    let accepted = context.client.apply(text, force).await?;
    let in_force = match wait {
        true => wait_in_force(&context.client, &accepted).await?,
        false => IndexMap::new(),
    };
    if context.json {
        print_json(&json!({"accepted": accepted, "in_force": in_force}));
        return Ok(());
    }
    for change in &accepted {
        println!("accepted {} version {}", change.key, change.version);
    }
    let mut rows = vec![vec!["daemon".into(), "in force".into()]];
    rows.extend(in_force.iter().map(|(name, version)| vec![name.to_string(), version.to_string()]));
    if wait {
        print_table(&rows);
    }
    Ok(())
}

/// Waits until every live daemon reports the highest accepted version or a later
/// one.
async fn wait_in_force(
    client: &OperatorClient,
    accepted: &[Accepted],
) -> Result<IndexMap<Name, u64>, CommandError> {
    let target = accepted.iter().map(|change| change.version).max().unwrap_or(0);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let status = client.status().await?;
        let versions = live_versions(&status);
        if versions.values().all(|version| *version >= target) {
            return Ok(versions);
        }
        if Instant::now() >= deadline {
            let outdated: Vec<&Name> = versions
                .iter()
                .filter(|(_, version)| **version < target)
                .map(|(name, _)| name)
                .collect();
            let message =
                format!("accepted, but not yet in force on {outdated:?} when the wait timed out");
            return Err(CommandError::request(message, "see greengagefork status"));
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

fn live_versions(status: &DaemonStatus) -> IndexMap<Name, u64> {
    let live = status.peers.iter().filter(|peer| !peer.suspected);
    live.map(|peer| (peer.name.clone(), peer.config)).collect()
}
