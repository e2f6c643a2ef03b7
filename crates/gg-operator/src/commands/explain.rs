//! `explain`: tells where a program's time went.

use argh::FromArgs;
use gg_protocol::ProgramId;
use serde_json::json;

use super::{
    line::Context,
    output::{Failed, print_json, print_table},
    program::print_head,
};

/// Tells where a program's time went, turn by turn.
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
    pub(crate) async fn run(self, context: &Context) -> Result<(), Failed> {
        let view = context.client.program(&self.program).await?;
        let mut last_ms = view.start_ms;
        let mut rows = vec![titles()];
        let mut turns = Vec::new();
        for turn in &view.turns {
            let began = turn.at_ms.saturating_sub(turn.took_ms);
            let pause = began.saturating_sub(last_ms);
            let working = turn.took_ms.saturating_sub(turn.waited_ms);
            last_ms = turn.at_ms;
            rows.push(vec![
                turn.turn.to_string(),
                pause.to_string(),
                turn.waited_ms.to_string(),
                working.to_string(),
                turn.upstream.as_ref().map_or("-".into(), ToString::to_string),
                turn.spent.to_string(),
                if turn.failed { "unknown".into() } else { "done".into() },
            ]);
            turns.push(json!({
                "turn": turn.turn,
                "pause_ms": pause,
                "waited_ms": turn.waited_ms,
                "working_ms": working,
                "replica": turn.upstream,
            }));
        }
        if context.json {
            print_json(&json!({"program": view.program, "state": view.state, "turns": turns}));
            return Ok(());
        }
        print_head(&view);
        println!();
        print_table(&rows);
        Ok(())
    }
}

fn titles() -> Vec<String> {
    let titles = ["turn", "pause ms", "queue ms", "work ms", "replica", "tokens", "result"];
    titles.map(String::from).to_vec()
}
