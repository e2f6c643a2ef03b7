//! `drain`: starts a planned stop of a daemon.

use argh::FromArgs;
use serde_json::json;

use super::{
    cli::Context,
    output::{CommandError, print_json},
};

/// Starts a planned stop: the daemon accepts no new work, finishes requests in
/// flight, and hands its programs over to other daemons.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "drain",
    example = "Stop one daemon before its instance is replaced:\n  \
               greengagefork --daemon 127.0.0.1:7102 drain"
)]
pub(crate) struct DrainCommand {}

impl DrainCommand {
    pub(crate) async fn run(self, context: &Context) -> Result<(), CommandError> {
        context.client.drain().await?;
        match context.json {
            true => print_json(&json!({"draining": true})),
            false => println!("draining"),
        }
        Ok(())
    }
}
