//! Placement of a call: chooses a replica and waits for a slot on it.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use gg_dispatch::{Candidate, Choice, PlacementSettings, choose, owner};
use gg_peer::{PeerApiClient, PeerError};
use gg_protocol::{
    Code, Failure, JournalId, Name, ProgramId, Rank, Upstream,
    clock::{until_ms, wall_ms},
    peer::{SlotOutcome, SlotRelease, SlotReply, SlotRequest},
};
use tokio::time;

use crate::{lock::lock, shared::Shared};

/// Number of busy replies after which the next placement waits for up to the
/// request's deadline.
const BUSY_ATTEMPTS: usize = 2;

/// Engine time assumed for every call, since its length is unknown.
const DEFAULT_COST_MS: u64 = 1_000;

/// Retry delay given to a refused caller, unless a longer wait is expected.
const RETRY_AFTER_MS: u64 = 1_000;

/// Margin that the RPC timeout adds to the wait limit of a slot request.
const RPC_MARGIN: Duration = Duration::from_secs(2);

/// Properties of a call that placement and the dispatcher use.
pub(crate) struct CallContext<'a> {
    pub(crate) program: &'a ProgramId,
    pub(crate) customer: &'a Name,
    pub(crate) rank: Rank,
    pub(crate) turn: u32,
    /// Whether the program has finished a turn before.
    pub(crate) under_way: bool,
    /// Deadline of the program.
    pub(crate) deadline_ms: u64,
    /// Deadline of the request.
    pub(crate) expiry_ms: u64,
    /// Prompt tokens.
    pub(crate) tokens: u64,
    /// Tokens of the cached prefix that each upstream may hold.
    pub(crate) warm: Vec<(Name, u64)>,
    /// Whether no other call may run on the replica at the same time.
    pub(crate) alone: bool,
}

/// A slot on a replica; released when dropped.
pub(crate) struct Slot {
    shared: Arc<Shared>,
    dispatcher: Name,
    release: Option<SlotRelease>,
    /// The replica.
    pub(crate) upstream: Name,
    /// Its address.
    pub(crate) address: String,
    /// Time spent waiting for the slot.
    pub(crate) waited_ms: u64,
}

impl Slot {
    /// Releases the slot and reports the outcome of the call.
    pub(crate) fn finish(mut self, outcome: SlotOutcome) {
        if let Some(release) = self.release.as_mut() {
            release.outcome = outcome;
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(release) = self.release.take() {
            send_release(&self.shared, &self.dispatcher, release);
        }
    }
}

fn send_release(shared: &Arc<Shared>, dispatcher: &Name, release: SlotRelease) {
    if *dispatcher == shared.settings.instance {
        shared.dispatcher.release(&release);
        return;
    }
    let shared = shared.clone();
    let dispatcher = dispatcher.clone();
    tokio::spawn(async move {
        if let Some(peer) = shared.membership.peer(&dispatcher)
            && let Ok(client) = shared.peers.get(&peer.address).await
        {
            let _ = client.release(release).await;
        }
    });
}

/// Chooses one of `upstreams` and waits for a slot on it.
pub(crate) async fn acquire(
    shared: &Arc<Shared>,
    upstreams: Vec<(Name, Upstream)>,
    context: &CallContext<'_>,
    excluded: &[Name],
) -> Result<Slot, Failure> {
    let mut unavailable: Vec<Name> = excluded.to_vec();
    unavailable.extend(shared.membership.draining_upstreams());
    let mut busy = 0;
    loop {
        let available: Vec<&(Name, Upstream)> =
            upstreams.iter().filter(|(name, _)| !unavailable.contains(name)).collect();
        let candidates: Vec<Candidate> = available
            .iter()
            .map(|(name, upstream)| candidate(shared, name, upstream, context))
            .collect();
        let settings = PlacementSettings::default();
        let Some(mut choice) = choose(&candidates, context.tokens, &settings) else {
            return Err(no_upstream());
        };
        if busy >= BUSY_ATTEMPTS || context.alone {
            choice.max_wait_ms = None;
        }
        let upstream = available.iter().find(|(name, _)| *name == choice.name);
        let Some((_, upstream)) = upstream else { return Err(no_upstream()) };
        let (dispatcher, ticket, reply) = request_slot(shared, upstream, &choice, context).await;
        match reply {
            SlotReply::Granted { waited_ms } => {
                lock(&shared.slot_waits).insert(choice.name.clone(), waited_ms);
                shared.forecast.record_wait(context.rank, waited_ms);
                shared.metrics.time("slot_wait", waited_ms);
                log_placement(context, &choice, waited_ms, &dispatcher);
                return Ok(new_slot(shared, dispatcher, ticket, &choice, upstream, waited_ms));
            }
            SlotReply::Busy { wait_ms } => {
                lock(&shared.slot_waits).insert(choice.name.clone(), wait_ms);
                busy += 1;
            }
            SlotReply::Closed => unavailable.push(choice.name),
            SlotReply::Expired => {
                shared.forecast.record_wait(context.rank, timeout_ms(context));
                return Err(expired(shared, context));
            }
        }
    }
}

fn candidate(
    shared: &Shared,
    name: &Name,
    upstream: &Upstream,
    context: &CallContext<'_>,
) -> Candidate {
    let warm = context.warm.iter().find(|(known, _)| known == name);
    Candidate {
        name: name.clone(),
        wait_ms: lock(&shared.slot_waits).get(name).copied().unwrap_or(0),
        cached_tokens: warm.map_or(0, |(_, tokens)| *tokens),
        is_remote: *upstream.centre != *shared.settings.centre,
    }
}

fn log_placement(context: &CallContext<'_>, choice: &Choice, waited_ms: u64, dispatcher: &Name) {
    log::info!(
        "event=place program={} turn={} rank={} replica={} reason={} wait_ms={waited_ms} \
         tokens={} dispatcher={dispatcher}",
        context.program,
        context.turn,
        context.rank,
        choice.name,
        choice.reason.as_str(),
        context.tokens,
    );
}

fn new_slot(
    shared: &Arc<Shared>,
    dispatcher: Name,
    ticket: Ticket,
    choice: &Choice,
    upstream: &Upstream,
    waited_ms: u64,
) -> Slot {
    let release = SlotRelease {
        ticket: ticket.number,
        home: ticket.home,
        upstream: choice.name.clone(),
        outcome: SlotOutcome::Cancelled,
    };
    Slot {
        shared: shared.clone(),
        dispatcher,
        release: Some(release),
        upstream: choice.name.clone(),
        address: upstream.address.clone(),
        waited_ms,
    }
}

struct Ticket {
    home: JournalId,
    number: u64,
}

/// Requests a slot from the replica's dispatcher. If that dispatcher is
/// unreachable, the local one is used, which may admit too many calls for a
/// short time.
async fn request_slot(
    shared: &Arc<Shared>,
    upstream: &Upstream,
    choice: &Choice,
    context: &CallContext<'_>,
) -> (Name, Ticket, SlotReply) {
    static TICKETS: AtomicU64 = AtomicU64::new(1);
    let ticket =
        Ticket { home: shared.journal_id(), number: TICKETS.fetch_add(1, Ordering::Relaxed) };
    let request = SlotRequest {
        ticket: ticket.number,
        home: ticket.home.clone(),
        upstream: choice.name.clone(),
        program: context.program.clone(),
        customer: context.customer.clone(),
        rank: context.rank,
        under_way: context.under_way,
        deadline_ms: context.deadline_ms,
        patience_ms: timeout_ms(context),
        max_wait_ms: choice.max_wait_ms,
        cost_ms: DEFAULT_COST_MS,
        alone: context.alone,
    };
    let members = shared.members();
    let dispatcher = owner(&choice.name, Some(&upstream.centre), &members);
    let local = shared.settings.instance.clone();
    let dispatcher = dispatcher.map_or(local.clone(), |member| member.name.clone());
    if dispatcher != local {
        match request_peer_slot(shared, &dispatcher, request.clone()).await {
            Ok(reply) => return (dispatcher, ticket, reply),
            Err(err) => {
                log::warn!("event=dispatcher_unreachable peer={dispatcher} error={err:?}");
                shared.membership.record_failure(&dispatcher);
            }
        }
    }
    let reply = shared.dispatcher.acquire(request).await;
    (local, ticket, reply)
}

/// Requests a slot from a peer. Leaves the peer's queue if this future is
/// dropped.
async fn request_peer_slot(
    shared: &Arc<Shared>,
    dispatcher: &Name,
    request: SlotRequest,
) -> Result<SlotReply, PeerError> {
    let Some(peer) = shared.membership.peer(dispatcher) else {
        return Err(PeerError::Connect("the peer is not listed".into()));
    };
    let client = shared.peers.get(&peer.address).await?;
    let timeout = Duration::from_millis(request.patience_ms) + RPC_MARGIN;
    let mut release_guard = ReleaseGuard {
        shared,
        dispatcher,
        release: Some(SlotRelease {
            ticket: request.ticket,
            home: request.home.clone(),
            upstream: request.upstream.clone(),
            outcome: SlotOutcome::Cancelled,
        }),
    };
    let suspected = wait_until_suspected(shared, dispatcher);
    let reply = tokio::select! {
        reply = time::timeout(timeout, client.acquire(request)) => reply,
        () = suspected => return Err(PeerError::Timeout),
    };
    match reply {
        Ok(Ok(reply)) => {
            release_guard.release = None;
            Ok(reply)
        }
        Ok(Err(err)) => Err(err.into()),
        Err(_) => Err(PeerError::Timeout),
    }
}

/// Resolves once `peer` is suspected.
async fn wait_until_suspected(shared: &Shared, peer: &Name) {
    loop {
        time::sleep(shared.settings.timing.probe).await;
        if shared.membership.suspects().contains(peer) {
            return;
        }
    }
}

/// Releases a requested slot, or leaves its queue, when dropped.
struct ReleaseGuard<'a> {
    shared: &'a Arc<Shared>,
    dispatcher: &'a Name,
    release: Option<SlotRelease>,
}

impl Drop for ReleaseGuard<'_> {
    fn drop(&mut self) {
        if let Some(release) = self.release.take() {
            send_release(self.shared, self.dispatcher, release);
        }
    }
}

fn timeout_ms(context: &CallContext<'_>) -> u64 {
    until_ms(context.expiry_ms).as_millis() as u64
}

fn no_upstream() -> Failure {
    Failure::unexecuted(Code::UpstreamFailed, "no replica is available for this call")
        .help("check that the model or service is configured and its replicas are up")
        .retry_in(RETRY_AFTER_MS)
}

fn expired(shared: &Shared, context: &CallContext<'_>) -> Failure {
    let wait = shared.forecast.wait_ms(context.rank) as u64;
    let message =
        format!("no slot became available before the request's deadline, at {}", wall_ms());
    Failure::unexecuted(Code::DeadlineExceeded, message)
        .help("the call waited in its rank's queue and was not executed")
        .retry_in(wait.max(RETRY_AFTER_MS))
}
