//! Continues a stream at another replica after the first one disconnected.

use std::sync::Arc;

use gg_http::Blocks;
use gg_ledger::OpenedTurn;
use gg_route::{Deployment, UpstreamId};
use http::StatusCode;
use tokio::time::Instant;

use crate::{
    place::place,
    proxy::Job,
    retry::{Attempts, Outcome, RetryDecision},
    send::{Outgoing, Sent, send},
    state::State,
};

/// State needed to send a turn again.
#[derive(Debug)]
pub(crate) struct Resume {
    pub(crate) prompt: Blocks,
    pub(crate) opened: OpenedTurn,
    pub(crate) attempts: Attempts,
    /// Replicas that received the turn.
    pub(crate) tried: Vec<UpstreamId>,
}

impl Resume {
    /// Returns the response of another replica that continues after event
    /// `last`; `None` if no retry is allowed or no replica accepts the turn.
    pub(crate) async fn fail_over<D: Deployment>(
        &mut self,
        state: &Arc<State<D>>,
        job: &Arc<Job>,
        last: Option<&str>,
    ) -> Option<Sent<D>> {
        let mut outcome = Outcome::Unknown;
        loop {
            let is_late = Instant::now() >= job.deadline;
            if self.attempts.record(outcome, is_late) != RetryDecision::Retry {
                return None;
            }
            let place = place(state, job, &self.tried, &self.attempts, &self.opened).await.ok()?;
            let replica = place.replica.upstream.id.clone();
            log::info!(
                "event=resumed request={} replica={} after={}",
                job.id(),
                replica.name,
                last.unwrap_or("-")
            );
            state.metrics.count("resumed", &[]);
            self.tried.push(replica);
            self.attempts.begin_send();
            let outgoing = Outgoing { body: &self.prompt, after: last };
            outcome = match send(state, job, outgoing, place).await {
                Ok(sent) if sent.response.status() == StatusCode::OK => return Some(sent),
                // The stream has begun, so an error response can't be
                // forwarded.
                Ok(_) => return None,
                Err(outcome) => outcome,
            };
        }
    }
}
