//! `digest`: prints the digest of a key for use in the configuration.

use argh::FromArgs;
use serde_json::json;

use super::{
    cli::Context,
    output::{CommandError, print_json},
};

/// Prints the digest of the key given by --key or GREENGAGEFORK_KEY.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "digest",
    example = "Digest of a customer's new key:\n  GREENGAGEFORK_KEY=secret greengagefork digest"
)]
pub(crate) struct DigestCommand {}

impl DigestCommand {
    pub(crate) fn run(self, context: &Context) -> Result<(), CommandError> {
        if context.key.is_empty() {
            return Err(CommandError::faults("no key given; set GREENGAGEFORK_KEY or --key"));
        }
        let digest = blake3::hash(context.key.as_bytes()).to_hex();
        match context.json {
            true => print_json(&json!({"digest": digest.as_str()})),
            false => println!("{digest}"),
        }
        Ok(())
    }
}
