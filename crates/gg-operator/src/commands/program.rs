//! `program`: shows, follows or ends a program.

use std::time::Duration;

use argh::FromArgs;
use gg_protocol::{ProgramId, ProgramView, clock::wall_ms};
use serde_json::json;
use tokio::time;

use super::{
    cli::Context,
    output::{CommandError, print_json, print_table},
};

/// Shows, follows or ends a program.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "program",
    example = "Follow a program until it ends:\n  greengagefork program follow a1.3.42"
)]
pub(crate) struct ProgramCommand {
    #[argh(subcommand)]
    action: Action,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Action {
    Show(ShowCommand),
    Follow(FollowCommand),
    End(EndCommand),
}

/// Shows a program.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
struct ShowCommand {
    /// identifier of the program
    #[argh(positional)]
    program: ProgramId,
}

/// Prints a line for each turn until the program ends.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "follow")]
struct FollowCommand {
    /// identifier of the program
    #[argh(positional)]
    program: ProgramId,
}

/// Ends a program.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "end")]
struct EndCommand {
    /// identifier of the program
    #[argh(positional)]
    program: ProgramId,
}

/// Interval at which `follow` polls the state of a program.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

impl ProgramCommand {
    pub(crate) async fn run(self, context: &Context) -> Result<(), CommandError> {
        match self.action {
            Action::Show(command) => show(context, &command.program).await,
            Action::Follow(command) => follow(context, &command.program).await,
            Action::End(command) => {
                context.client.end(&command.program).await?;
                match context.json {
                    true => print_json(&json!({"ended": command.program})),
                    false => println!("ended {}", command.program),
                }
                Ok(())
            }
        }
    }
}

async fn show(context: &Context, program: &ProgramId) -> Result<(), CommandError> {
    let view = context.client.program(program).await?;
    if context.json {
        print_json(&view);
        return Ok(());
    }
    print_summary(&view);
    Ok(())
}

/// Prints the state of a program without its turns.
pub(crate) fn print_summary(view: &ProgramView) {
    let remaining_ms = view.deadline_ms as i64 - wall_ms() as i64;
    let parent = view.parent.as_ref().map_or("-".into(), ToString::to_string);
    print_table(&[
        vec!["program".into(), view.program.to_string()],
        vec!["customer".into(), view.customer.to_string()],
        vec!["profile".into(), view.profile.to_string()],
        vec!["parent".into(), parent],
        vec!["state".into(), view.state.clone()],
        vec!["home".into(), view.home.to_string()],
        vec!["turns".into(), view.next_turn.to_string()],
        vec!["spent".into(), format!("{} of {} tokens", view.spent, view.budget)],
        vec!["left".into(), format!("{remaining_ms} ms to the deadline")],
        vec!["history".into(), format!("{} messages", view.history.len())],
    ]);
}

async fn follow(context: &Context, program: &ProgramId) -> Result<(), CommandError> {
    let mut printed = 0;
    loop {
        let view = context.client.program(program).await?;
        for turn in view.turns.iter().skip(printed) {
            match context.json {
                true => println!("{}", json!(turn)),
                false => println!(
                    "turn {} took {} ms, waited {} ms, {} tokens",
                    turn.turn, turn.took_ms, turn.waited_ms, turn.spent
                ),
            }
        }
        printed = view.turns.len();
        if view.state == "ended" {
            return Ok(());
        }
        time::sleep(POLL_INTERVAL).await;
    }
}
