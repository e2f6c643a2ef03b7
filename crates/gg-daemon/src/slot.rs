//! Placement of a call: choosing a replica and waiting for a slot on it.

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

/// Placements tried before the last one waits however long it takes.
const BUSY_TRIES: usize = 2;

/// Engine time assumed for a call of unknown length, in ms.
const COST_MS: u64 = 1_000;

/// Time after which a refused caller may come back, if nothing better is
/// known, in ms.
const RETRY_MS: u64 = 1_000;

/// Slack on top of the patience of a request for a remote slot.
const RPC_SLACK: Duration = Duration::from_secs(2);

/// What a call needs a slot for.
pub(crate) struct Need<'a> {
    pub(crate) program: &'a ProgramId,
    pub(crate) customer: &'a Name,
    pub(crate) rank: Rank,
    pub(crate) turn: u32,
    pub(crate) under_way: bool,
    pub(crate) deadline_ms: u64,
    pub(crate) request_ms: u64,
    /// Prompt tokens, and those that each upstream may hold.
    pub(crate) tokens: u64,
    pub(crate) warm: Vec<(Name, u64)>,
    pub(crate) alone: bool,
}

/// A slot on a replica; given back when dropped.
pub(crate) struct Slot {
    shared: Arc<Shared>,
    dispatcher: Name,
    release: Option<SlotRelease>,
    /// The replica.
    pub(crate) upstream: Name,
    /// Its address.
    pub(crate) address: String,
    /// Time spent waiting, in ms.
    pub(crate) waited_ms: u64,
}

impl Slot {
    /// Gives the slot back and tells how the call went.
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

/// Chooses among `upstreams` and waits for a slot.
pub(crate) async fn acquire(
    shared: &Arc<Shared>,
    upstreams: Vec<(Name, Upstream)>,
    need: &Need<'_>,
    excluded: &[Name],
) -> Result<Slot, Failure> {
    let mut closed: Vec<Name> = excluded.to_vec();
    closed.extend(shared.membership.leaving_upstreams());
    let mut busy = 0;
    loop {
        let open: Vec<&(Name, Upstream)> =
            upstreams.iter().filter(|(name, _)| !closed.contains(name)).collect();
        let candidates: Vec<Candidate> =
            open.iter().map(|(name, upstream)| candidate(shared, name, upstream, need)).collect();
        let settings = PlacementSettings::default();
        let Some(mut choice) = choose(&candidates, need.tokens, &settings) else {
            return Err(no_upstream());
        };
        if busy >= BUSY_TRIES || need.alone {
            choice.max_wait_ms = None;
        }
        let upstream = open.iter().find(|(name, _)| *name == choice.name);
        let Some((_, upstream)) = upstream else { return Err(no_upstream()) };
        let (dispatcher, ticket, reply) = ask(shared, upstream, &choice, need).await;
        match reply {
            SlotReply::Granted { waited_ms } => {
                lock(&shared.waits).insert(choice.name.clone(), waited_ms);
                shared.forecast.note_wait(need.rank, waited_ms);
                shared.metrics.time("slot_wait", waited_ms);
                log_place(need, &choice, waited_ms, &dispatcher);
                return Ok(granted(shared, dispatcher, ticket, &choice, upstream, waited_ms));
            }
            SlotReply::Busy { wait_ms } => {
                lock(&shared.waits).insert(choice.name.clone(), wait_ms);
                busy += 1;
            }
            SlotReply::Closed => closed.push(choice.name),
            SlotReply::Expired => {
                shared.forecast.note_wait(need.rank, patience_ms(need));
                return Err(expired(shared, need));
            }
        }
    }
}

fn candidate(shared: &Shared, name: &Name, upstream: &Upstream, need: &Need<'_>) -> Candidate {
    let warm = need.warm.iter().find(|(known, _)| known == name);
    Candidate {
        name: name.clone(),
        wait_ms: lock(&shared.waits).get(name).copied().unwrap_or(0),
        warm: warm.map_or(0, |(_, tokens)| *tokens),
        far: *upstream.centre != *shared.settings.centre,
    }
}

fn log_place(need: &Need<'_>, choice: &Choice, waited_ms: u64, dispatcher: &Name) {
    log::info!(
        "event=place program={} turn={} rank={} replica={} reason={} wait_ms={waited_ms} \
         tokens={} dispatcher={dispatcher}",
        need.program,
        need.turn,
        need.rank,
        choice.name,
        choice.reason.as_str(),
        need.tokens,
    );
}

fn granted(
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

/// Asks the replica's dispatcher for a slot. A dispatcher that can't be
/// reached is replaced by our own, which may admit too much for a moment.
async fn ask(
    shared: &Arc<Shared>,
    upstream: &Upstream,
    choice: &Choice,
    need: &Need<'_>,
) -> (Name, Ticket, SlotReply) {
    static TICKETS: AtomicU64 = AtomicU64::new(1);
    let ticket =
        Ticket { home: shared.journal_id(), number: TICKETS.fetch_add(1, Ordering::Relaxed) };
    let request = SlotRequest {
        ticket: ticket.number,
        home: ticket.home.clone(),
        upstream: choice.name.clone(),
        program: need.program.clone(),
        customer: need.customer.clone(),
        rank: need.rank,
        under_way: need.under_way,
        deadline_ms: need.deadline_ms,
        patience_ms: patience_ms(need),
        max_wait_ms: choice.max_wait_ms,
        cost_ms: COST_MS,
        alone: need.alone,
    };
    let members = shared.members();
    let dispatcher = owner(&choice.name, Some(&upstream.centre), &members);
    let local = shared.settings.instance.clone();
    let dispatcher = dispatcher.map_or(local.clone(), |member| member.name.clone());
    if dispatcher != local {
        match ask_peer(shared, &dispatcher, request.clone()).await {
            Ok(reply) => return (dispatcher, ticket, reply),
            Err(err) => {
                log::warn!("event=dispatcher_unreachable peer={dispatcher} error={err:?}");
                shared.membership.note_failure(&dispatcher);
            }
        }
    }
    let reply = shared.dispatcher.acquire(request).await;
    (local, ticket, reply)
}

/// Asks a peer, and leaves its queue if this future is dropped.
async fn ask_peer(
    shared: &Arc<Shared>,
    dispatcher: &Name,
    request: SlotRequest,
) -> Result<SlotReply, PeerError> {
    let Some(peer) = shared.membership.peer(dispatcher) else {
        return Err(PeerError::Connect("not listed".into()));
    };
    let client = shared.peers.get(&peer.address).await?;
    let patience = Duration::from_millis(request.patience_ms) + RPC_SLACK;
    let mut leave = Leave {
        shared,
        dispatcher,
        release: Some(SlotRelease {
            ticket: request.ticket,
            home: request.home.clone(),
            upstream: request.upstream.clone(),
            outcome: SlotOutcome::Cancelled,
        }),
    };
    let watch = watch_peer(shared, dispatcher);
    let reply = tokio::select! {
        reply = time::timeout(patience, client.acquire(request)) => reply,
        () = watch => return Err(PeerError::Timeout),
    };
    match reply {
        Ok(Ok(reply)) => {
            leave.release = None;
            Ok(reply)
        }
        Ok(Err(err)) => Err(err.into()),
        Err(_) => Err(PeerError::Timeout),
    }
}

/// Resolves once `peer` is suspected.
async fn watch_peer(shared: &Shared, peer: &Name) {
    loop {
        time::sleep(shared.settings.timing.probe).await;
        if shared.membership.suspects().contains(peer) {
            return;
        }
    }
}

struct Leave<'a> {
    shared: &'a Arc<Shared>,
    dispatcher: &'a Name,
    release: Option<SlotRelease>,
}

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        if let Some(release) = self.release.take() {
            send_release(self.shared, self.dispatcher, release);
        }
    }
}

fn patience_ms(need: &Need<'_>) -> u64 {
    until_ms(need.request_ms).as_millis() as u64
}

fn no_upstream() -> Failure {
    Failure::not_run(Code::UpstreamFailed, "no replica is open for this call")
        .help("check that the model or service is configured and its replicas are up")
        .retry_in(RETRY_MS)
}

fn expired(shared: &Shared, need: &Need<'_>) -> Failure {
    let wait = shared.forecast.wait_ms(need.rank) as u64;
    let message = format!("no slot came free within the request's time, at {}", wall_ms());
    Failure::not_run(Code::DeadlineExceeded, message)
        .help("the call waited in its rank's queue and did not run")
        .retry_in(wait.max(RETRY_MS))
}
