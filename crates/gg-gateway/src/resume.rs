//! Goes on with a stream at another replica after one broke off.

use std::sync::Arc;

use bytes::Bytes;
use gg_ledger::Opened;
use gg_route::{Deployment, UpstreamId};
use http::StatusCode;
use tokio::time::Instant;

use crate::{
    place::place,
    proxy::Job,
    retry::{Next, Outcome, Tries},
    send::{Outgoing, Sent, send},
    state::State,
};

/// What it takes to send a turn once more.
#[derive(Debug)]
pub(crate) struct Resume {
    pub(crate) prompt: Bytes,
    pub(crate) opened: Opened,
    pub(crate) tries: Tries,
    /// Replicas that had it.
    pub(crate) tried: Vec<UpstreamId>,
}

impl Resume {
    /// The answer of another replica that goes on after event `last`; `None`
    /// if none may be asked or none takes it.
    pub(crate) async fn go_on<D: Deployment>(
        &mut self,
        state: &Arc<State<D>>,
        job: &Arc<Job>,
        last: Option<&str>,
    ) -> Option<Sent<D>> {
        let mut outcome = Outcome::Unknown;
        loop {
            let is_late = Instant::now() >= job.deadline;
            if self.tries.note(outcome, is_late) != Next::Retry {
                return None;
            }
            let place = place(state, job, &self.tried, &self.tries, &self.opened).await.ok()?;
            let replica = place.replica.upstream.id.clone();
            log::info!(
                "event=resumed request={} replica={} after={}",
                job.id(),
                replica.name,
                last.unwrap_or("-")
            );
            state.metrics.count("resumed", &[]);
            self.tried.push(replica);
            self.tries.begin();
            let outgoing = Outgoing { body: &self.prompt, after: last };
            outcome = match send(state, job, outgoing, place).await {
                Ok(sent) if sent.response.status() == StatusCode::OK => return Some(sent),
                // A failure that the replica answers can't follow events.
                Ok(_) => return None,
                Err(outcome) => outcome,
            };
        }
    }
}
