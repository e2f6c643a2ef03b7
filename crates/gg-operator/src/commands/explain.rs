//! `explain`: shows how a program spent its time.

use argh::FromArgs;
use gg_protocol::ProgramId;
use serde_json::json;

use super::{
    cli::Context,
    output::{CommandError, print_json, print_table},
    program::print_summary,
};

/// Shows for each turn of a program the pause before it, its time in the queue and
/// its working time.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "See why a program was late:\n  greengagefork explain a1.3.42"
)]
pub(crate) struct ExplainCommand {
    /// identifier of the program
    #[argh(positional)]
    program: ProgramId,
}

impl ExplainCommand {
    pub(crate) async fn run(self, context: &Context) -> Result<(), CommandError> {
        let view = context.client.program(&self.program).await?;
        let mut previous_end_ms = view.start_ms;
        let mut rows = vec![column_titles()];
        let mut turns = Vec::new();
        for turn in &view.turns {
            let start_ms = turn.at_ms.saturating_sub(turn.took_ms);
            let pause_ms = start_ms.saturating_sub(previous_end_ms);
            let working_ms = turn.took_ms.saturating_sub(turn.waited_ms);
            previous_end_ms = turn.at_ms;
            rows.push(vec![
                turn.turn.to_string(),
                pause_ms.to_string(),
                turn.waited_ms.to_string(),
                working_ms.to_string(),
                turn.upstream.as_ref().map_or("-".into(), ToString::to_string),
                turn.spent.to_string(),
                if turn.failed { "unknown".into() } else { "done".into() },
            ]);
            turns.push(json!({
                "turn": turn.turn,
                "pause_ms": pause_ms,
                "waited_ms": turn.waited_ms,
                "working_ms": working_ms,
                "replica": turn.upstream,
            }));
        }
        if context.json {
            print_json(&json!({"program": view.program, "state": view.state, "turns": turns}));
            return Ok(());
        }
        print_summary(&view);
        println!();
        print_table(&rows);
        Ok(())
    }
}

fn column_titles() -> Vec<String> {
    let column_titles = ["turn", "pause ms", "queue ms", "work ms", "replica", "tokens", "result"];
    column_titles.map(String::from).to_vec()
}
