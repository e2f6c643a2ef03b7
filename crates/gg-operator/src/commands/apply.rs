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
    line::Context,
    output::{Failed, print_json, print_table},
};
use crate::{Accepted, DaemonStatus, OperatorClient};

/// Applies the documents of a file.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "apply",
    example = "Change what a file says, and wait until it is in force everywhere:\n  \
               greengagefork apply --wait profiles.ini"
)]
pub(crate) struct ApplyCommand {
    /// change documents whatever version the file is based on
    #[argh(switch)]
    force: bool,

    /// wait until every live daemon has the change in force
    #[argh(switch)]
    wait: bool,

    /// file of documents
    #[argh(positional)]
    file: String,
}

/// Longest wait of `--wait`.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// Pause between two looks at the daemons' versions.
const WAIT_PAUSE: Duration = Duration::from_millis(200);

impl ApplyCommand {
    pub(crate) async fn run(self, context: &Context) -> Result<(), Failed> {
        let text = read_file(&self.file)?;
        parse_configuration(&self.file, &text)
            .map_err(|faults| Failed::faults(faults.to_string()))?;
        apply(context, &text, self.force, self.wait).await
    }
}

/// Applies documents and prints what was accepted.
pub(crate) async fn apply(
    context: &Context,
    text: &str,
    force: bool,
    wait: bool,
) -> Result<(), Failed> {
    let accepted = context.client.apply(text, force).await?;
    let in_force = match wait {
        true => wait_for(&context.client, &accepted).await?,
        false => IndexMap::new(),
    };
    if context.json {
        print_json(&json!({"accepted": accepted, "in_force": in_force}));
        return Ok(());
    }
    for one in &accepted {
        println!("accepted {} version {}", one.key, one.version);
    }
    let mut rows = vec![vec!["daemon".into(), "in force".into()]];
    rows.extend(in_force.iter().map(|(name, version)| vec![name.to_string(), version.to_string()]));
    if wait {
        print_table(&rows);
    }
    Ok(())
}

/// Waits until every live daemon reports the highest accepted version.
async fn wait_for(
    client: &OperatorClient,
    accepted: &[Accepted],
) -> Result<IndexMap<Name, u64>, Failed> {
    let wanted = accepted.iter().map(|one| one.version).max().unwrap_or(0);
    let give_up = Instant::now() + WAIT_MAX;
    loop {
        let status = client.status().await?;
        let versions = live_versions(&status);
        if versions.values().all(|version| *version >= wanted) {
            return Ok(versions);
        }
        if Instant::now() >= give_up {
            let behind: Vec<&Name> = versions
                .iter()
                .filter(|(_, version)| **version < wanted)
                .map(|(name, _)| name)
                .collect();
            let message = format!("accepted, but not yet reported in force by {behind:?}");
            return Err(Failed::request(message, "see greengagefork status"));
        }
        time::sleep(WAIT_PAUSE).await;
    }
}

fn live_versions(status: &DaemonStatus) -> IndexMap<Name, u64> {
    let live = status.peers.iter().filter(|peer| !peer.suspected);
    live.map(|peer| (peer.name.clone(), peer.config)).collect()
}
