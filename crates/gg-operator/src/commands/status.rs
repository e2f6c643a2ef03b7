//! `status`: shows a daemon, its peers and its queues.

use argh::FromArgs;

use super::{
    cli::Context,
    output::{CommandError, print_json, print_table},
};
use crate::DaemonStatus;

/// Shows the daemon, its peers, and its queues.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "See the fleet as one daemon sees it:\n  greengagefork status"
)]
pub(crate) struct StatusCommand {}

impl StatusCommand {
    pub(crate) async fn run(self, context: &Context) -> Result<(), CommandError> {
        let status = context.client.status().await?;
        if context.json {
            print_json(&status);
            return Ok(());
        }
        print_daemon(&status);
        println!();
        print_peers(&status);
        println!();
        print_queues(&status);
        Ok(())
    }
}

fn print_daemon(status: &DaemonStatus) {
    let state = match (status.draining, status.stalled, status.ready) {
        (true, _, _) => "draining",
        (_, true, _) => "platform unreachable",
        (_, _, true) => "ready",
        _ => "not ready",
    };
    println!(
        "{} in {}: {state}, journal {}, {} programs, {} busy, config {}",
        status.instance, status.centre, status.journal, status.programs, status.busy, status.config
    );
}

fn print_peers(status: &DaemonStatus) {
    let mut rows =
        vec![["daemon", "data centre", "journal", "config", "state"].map(String::from).to_vec()];
    for peer in &status.peers {
        let state = if peer.suspected { "suspected" } else { "live" };
        rows.push(vec![
            peer.name.to_string(),
            peer.centre.to_string(),
            peer.journal.clone().unwrap_or_else(|| "-".into()),
            peer.config.to_string(),
            state.into(),
        ]);
    }
    print_table(&rows);
}

fn print_queues(status: &DaemonStatus) {
    let mut rows = vec![
        ["replica", "in flight", "limit", "waiting by rank", "wait ms"].map(String::from).to_vec(),
    ];
    for queue in &status.queues {
        let join = |counts: &[String]| counts.join("/");
        let waiting: Vec<String> = queue.waiting.iter().map(ToString::to_string).collect();
        let wait: Vec<String> = queue.wait_ms.iter().map(ToString::to_string).collect();
        rows.push(vec![
            queue.upstream.to_string(),
            queue.in_flight.to_string(),
            queue.limit.to_string(),
            join(&waiting),
            join(&wait),
        ]);
    }
    print_table(&rows);
}
