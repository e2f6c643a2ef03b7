//! The entry role: locates a program's home and relays requests and events
//! between the caller and that home.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use gg_caller::Backend;
use gg_journal::find_owner;
use gg_peer::{PeerApiClient, Subscription};
use gg_protocol::{
    Answer, Code, Failure, JournalId, Name, ProgramId, ProgramView, StartReply, StartRequest,
    StepEvent, StepRequest,
    clock::{until_ms, wall_ms},
};
use tokio::{sync::mpsc, time};

use crate::{
    home::{Home, HomeCell},
    home_request::{End, HomeRequest, Read, ReadTurn},
    lock::lock,
    shared::Shared,
};

/// Delay before a home is located again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Retry delay given to a caller whose program's home wasn't found.
const RETRY_AFTER_MS: u64 = 2_000;

/// Longest time that a short request tries to reach a home.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest wait for a peer's response to one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Events buffered for a slow caller.
const EVENT_BUFFER: usize = 256;

/// Maximum number of journals whose owners are cached.
const OWNERS_CACHED: usize = 10_000;

/// Implementation of the caller API. Clones share their state.
#[derive(Clone)]
pub(crate) struct Entry {
    shared: Arc<Shared>,
    homes: HomeCell,
    owners: Arc<Mutex<HashMap<JournalId, JournalId>>>,
}

/// Location of a program's home.
enum Route {
    Local(Arc<Home>),
    Peer(String),
}

/// How the relay of a step's events ended.
enum RelayEnd {
    /// The last event was sent, or the caller disconnected.
    Finished,
    /// The home was lost and the step has to be requested again, from the given
    /// owner if it is known.
    Lost(Option<JournalId>),
}

impl Entry {
    pub(crate) fn new(shared: Arc<Shared>, homes: HomeCell) -> Self {
        Entry { shared, homes, owners: Arc::default() }
    }

    /// Locates the home of programs created in journal `birth` from the live
    /// daemons and the journal seals; `None` if there is none at present.
    async fn locate(&self, birth: &JournalId) -> Option<Route> {
        if let Some(home) = self.homes.get()
            && home.owns(birth)
            && home.journal.sealed_by().is_none()
        {
            return Some(Route::Local(home));
        }
        let known = lock(&self.owners).get(birth).cloned();
        let owner = known.unwrap_or_else(|| birth.clone());
        if let Some(route) = self.peer_route(&owner).await {
            return Some(route);
        }
        let owner = find_owner(&self.shared.platform, birth).await.ok()?;
        self.cache_owner(birth, &owner);
        if let Some(home) = self.homes.get()
            && *home.id() == owner
            && home.resolve_ownership(birth).await
        {
            return Some(Route::Local(home));
        }
        self.peer_route(&owner).await
    }

    /// Route to the peer that appends to the journal `owner`, if it is live.
    async fn peer_route(&self, owner: &JournalId) -> Option<Route> {
        if *owner.instance == *self.shared.settings.instance {
            return None;
        }
        let current = self.shared.membership.journal(&owner.instance);
        if current.is_some_and(|current| current != *owner) {
            return None;
        }
        if self.shared.membership.suspects().contains(&owner.instance) {
            return None;
        }
        let peer = self.shared.membership.peer(&owner.instance)?;
        Some(Route::Peer(peer.address))
    }

    fn cache_owner(&self, birth: &JournalId, owner: &JournalId) {
        let mut owners = lock(&self.owners);
        if owners.len() >= OWNERS_CACHED {
            owners.clear();
        }
        owners.insert(birth.clone(), owner.clone());
    }

    fn forget_owner(&self, birth: &JournalId) {
        lock(&self.owners).remove(birth);
    }

    /// Relays a step to its home and follows the home if it moves.
    async fn relay(self, mut request: StepRequest, out: mpsc::Sender<StepEvent>) {
        if request.turn.is_none() && request.key.is_none() {
            // The key makes the step safe to request again if the home is lost.
            request.key = Some(format!("entry-{:032x}", rand::random::<u128>()).into());
        }
        let birth = request.program.birth.clone();
        let mut caller = CallerStream { out, started: false, text: String::new() };
        loop {
            let ended = match self.locate(&birth).await {
                Some(Route::Local(home)) => self.relay_local(&home, &request, &mut caller).await,
                Some(Route::Peer(address)) => {
                    self.relay_peer(&address, &request, &mut caller).await
                }
                None => RelayEnd::Lost(None),
            };
            match ended {
                RelayEnd::Finished => return,
                RelayEnd::Lost(Some(owner)) => self.cache_owner(&birth, &owner),
                RelayEnd::Lost(None) => self.forget_owner(&birth),
            }
            let remaining = until_ms(request.deadline_ms);
            if remaining <= RETRY_DELAY {
                let _ = caller.out.send(StepEvent::Failed(home_unreachable())).await;
                return;
            }
            tokio::select! {
                () = time::sleep(RETRY_DELAY) => {}
                () = caller.out.closed() => return,
            }
        }
    }

    async fn relay_local(
        &self,
        home: &Arc<Home>,
        request: &StepRequest,
        caller: &mut CallerStream,
    ) -> RelayEnd {
        let (events, mut received) = mpsc::channel(EVENT_BUFFER);
        let step = home.step(request.clone(), events);
        let mut step = std::pin::pin!(step);
        let mut running = true;
        loop {
            let event = tokio::select! {
                () = &mut step, if running => {
                    running = false;
                    continue;
                }
                event = received.recv() => event,
                () = caller.out.closed() => return RelayEnd::Finished,
            };
            let Some(event) = event else { return RelayEnd::Lost(None) };
            if let Some(relay) = caller.forward(event).await {
                return relay;
            }
        }
    }

    async fn relay_peer(
        &self,
        address: &str,
        request: &StepRequest,
        caller: &mut CallerStream,
    ) -> RelayEnd {
        let Ok(client) = self.shared.peers.get(address).await else { return RelayEnd::Lost(None) };
        let response = time::timeout(CALL_TIMEOUT, client.step(request.clone())).await;
        let Ok(Ok(mut events)) = response else { return RelayEnd::Lost(None) };
        self.relay_events(address, &mut events, caller).await
    }

    async fn relay_events(
        &self,
        address: &str,
        events: &mut Subscription<StepEvent>,
        caller: &mut CallerStream,
    ) -> RelayEnd {
        let mut probe_timer = time::interval(self.shared.settings.timing.probe);
        probe_timer.tick().await;
        loop {
            let event = tokio::select! {
                event = events.next() => event,
                () = caller.out.closed() => return RelayEnd::Finished,
                _ = probe_timer.tick() => match self.is_reachable(address) {
                    true => continue,
                    false => return RelayEnd::Lost(None),
                },
            };
            let Some(Ok(event)) = event else { return RelayEnd::Lost(None) };
            if let Some(relay) = caller.forward(event).await {
                return relay;
            }
        }
    }

    fn is_reachable(&self, address: &str) -> bool {
        let suspects = self.shared.membership.suspects();
        let peer = self.shared.membership.peers().into_iter().find(|peer| peer.address == address);
        peer.is_some_and(|peer| !suspects.contains(&peer.name))
    }

    /// Sends a request to the home of `program`. Retries if the home moves or
    /// can't be reached, for at most `LOOKUP_TIMEOUT`.
    async fn send_to_home<Q: HomeRequest>(
        &self,
        program: &ProgramId,
        request: &Q,
    ) -> Result<Q::Reply, Failure> {
        let deadline = time::Instant::now() + LOOKUP_TIMEOUT;
        loop {
            let answer = match self.locate(&program.birth).await {
                Some(Route::Local(home)) => request.at_home(&home).await,
                Some(Route::Peer(address)) => self.send_to_peer(&address, request).await,
                None => Err(home_unreachable()),
            };
            let failure = match answer {
                Err(failure) if failure.code == Code::HomeUnavailable => failure,
                answer => return answer,
            };
            match &failure.moved {
                Some(owner) => self.cache_owner(&program.birth, owner),
                None => self.forget_owner(&program.birth),
            }
            if time::Instant::now() >= deadline {
                return Err(failure);
            }
            time::sleep(RETRY_DELAY).await;
        }
    }

    async fn send_to_peer<Q: HomeRequest>(
        &self,
        address: &str,
        request: &Q,
    ) -> Result<Q::Reply, Failure> {
        let response = async {
            let client = self.shared.peers.get(address).await?;
            request.at_peer(&client).await
        };
        match time::timeout(CALL_TIMEOUT, response).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Err(home_unreachable()),
        }
    }

    async fn start_here(&self, request: StartRequest) -> Result<StartReply, Failure> {
        let deadline = wall_ms() + LOOKUP_TIMEOUT.as_millis() as u64;
        loop {
            if let Some(home) = self.homes.get() {
                if !self.shared.is_draining() {
                    match home.start(request.clone()).await {
                        Err(failure) if failure.moved.is_some() => {}
                        answer => return answer,
                    }
                } else if let Some(answer) = self.start_elsewhere(&request).await {
                    return answer;
                }
            }
            if wall_ms() >= deadline {
                let failure = Failure::unexecuted(Code::HomeUnavailable, "no home is open here");
                return Err(failure.retry_in(RETRY_AFTER_MS));
            }
            time::sleep(RETRY_DELAY).await;
        }
    }

    /// Starts a program at another daemon while this one is draining.
    async fn start_elsewhere(&self, request: &StartRequest) -> Option<Result<StartReply, Failure>> {
        let successor = crate::adopt::successor(&self.shared)?;
        let peer = self.shared.membership.peer(&successor)?;
        let client = self.shared.peers.get(&peer.address).await.ok()?;
        client.start(request.clone()).await.ok()
    }
}

impl Backend for Entry {
    fn customer(&self, key: &str) -> Option<Name> {
        self.shared.config.get().customer_of(key)
    }

    fn is_configured(&self) -> bool {
        self.shared.config.get().revision > 0
    }

    async fn start(&self, request: StartRequest) -> Result<StartReply, Failure> {
        match request.parent.clone() {
            Some(parent) => self.send_to_home(&parent, &request).await,
            None => self.start_here(request).await,
        }
    }

    fn step(&self, request: StepRequest) -> mpsc::Receiver<StepEvent> {
        let (out, events) = mpsc::channel(EVENT_BUFFER);
        tokio::spawn(self.clone().relay(request, out));
        events
    }

    async fn read(&self, program: ProgramId, customer: Name) -> Result<ProgramView, Failure> {
        let read = Read { program: program.clone(), customer: Some(customer) };
        self.send_to_home(&program, &read).await
    }

    async fn turn(&self, program: ProgramId, customer: Name, turn: u32) -> Result<Answer, Failure> {
        let read = ReadTurn { program: program.clone(), customer, turn };
        self.send_to_home(&program, &read).await
    }

    async fn end(&self, program: ProgramId, customer: Name) -> Result<(), Failure> {
        self.end_program(program, Some(customer)).await
    }
}

impl Entry {
    /// Ends a program; an operator's request names no customer.
    pub(crate) async fn end_program(
        &self,
        program: ProgramId,
        customer: Option<Name>,
    ) -> Result<(), Failure> {
        let end = End { program: program.clone(), customer };
        self.send_to_home(&program, &end).await
    }

    /// Reads a program of any customer, for operators.
    pub(crate) async fn read_any(&self, program: ProgramId) -> Result<ProgramView, Failure> {
        let read = Read { program: program.clone(), customer: None };
        self.send_to_home(&program, &read).await
    }
}

/// A caller's event channel and what was sent on it so far.
struct CallerStream {
    out: mpsc::Sender<StepEvent>,
    started: bool,
    text: String,
}

impl CallerStream {
    /// Forwards an event to the caller; returns how the relay ended, if it did.
    async fn forward(&mut self, event: StepEvent) -> Option<RelayEnd> {
        let event = match event {
            StepEvent::Failed(failure) if failure.code == Code::HomeUnavailable => {
                return Some(RelayEnd::Lost(failure.moved));
            }
            StepEvent::Begun { .. } if std::mem::replace(&mut self.started, true) => return None,
            StepEvent::Text { at, text } => match self.unseen(at, &text) {
                Ok(None) => return None,
                Ok(Some(event)) => event,
                Err(failure) => StepEvent::Failed(failure),
            },
            StepEvent::Done { answer: Answer::Chat { text, .. }, .. }
                if !text.starts_with(&self.text) =>
            {
                StepEvent::Failed(diverged())
            }
            event => event,
        };
        let last = matches!(event, StepEvent::Done { .. } | StepEvent::Failed(_));
        let sent = self.out.send(event).await;
        (last || sent.is_err()).then_some(RelayEnd::Finished)
    }

    /// The part of `text` that was not sent to the caller yet. Fails if `text`
    /// differs from what was sent.
    fn unseen(&mut self, at: usize, text: &str) -> Result<Option<StepEvent>, Failure> {
        let sent_text = self.text.get(at..).ok_or_else(diverged)?;
        let common = sent_text.len().min(text.len());
        if sent_text.as_bytes()[..common] != text.as_bytes()[..common] {
            return Err(diverged());
        }
        if common == text.len() {
            return Ok(None);
        }
        let unseen = text[common..].to_owned();
        let at = self.text.len();
        self.text.push_str(&unseen);
        Ok(Some(StepEvent::Text { at, text: unseen }))
    }
}

/// The failure if a second run generated text that differs from what the
/// caller received.
fn diverged() -> Failure {
    Failure::unknown(Code::HomeUnavailable, "the daemon that started the answer was lost")
        .help("retry with the same turn; discard the text received so far")
        .retry_in(RETRY_AFTER_MS)
}

fn home_unreachable() -> Failure {
    Failure::unknown(Code::HomeUnavailable, "the program's home is unreachable")
        .help("retry with the same turn or idempotency key")
        .retry_in(RETRY_AFTER_MS)
}
