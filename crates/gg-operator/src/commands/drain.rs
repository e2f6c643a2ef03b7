//! `drain`: stops a daemon in order.

use argh::FromArgs;
use serde_json::json;

use super::{
    line::Context,
    output::{Failed, print_json},
};

/// Stops the daemon: no new work, nothing under way is cut off, its programs
/// move to others.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "drain",
    example = "Stop one daemon before its instance is replaced:\n  \
               greengagefork --daemon 127.0.0.1:7102 drain"
)]
pub(crate) struct DrainCommand {}

impl DrainCommand {
    pub(crate) async fn run(self, context: &Context) -> Result<(), Failed> {
        context.client.drain().await?;
        match context.json {
            true => print_json(&json!({"draining": true})),
            false => println!("draining"),
        }
        Ok(())
    }
}
