//! The entry role: finds a program's home and relays between it and the
//! caller.

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
    lock::lock,
    question::{End, Question, Read, ReadTurn},
    shared::Shared,
};

/// Pause before a home is looked for again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Time after which a caller may ask again for a home that wasn't found, in
/// ms.
const RETRY_MS: u64 = 2_000;

/// Longest time that short requests look for a home.
const SHORT_WAIT: Duration = Duration::from_secs(15);

/// Longest wait for a home's answer to a short request.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Events that wait for a slow caller.
const EVENTS_MAX: usize = 256;

/// Journals whose owners are remembered.
const OWNERS_MAX: usize = 10_000;

/// Serves callers. Clones share their state.
#[derive(Clone)]
pub(crate) struct Entry {
    shared: Arc<Shared>,
    homes: HomeCell,
    owners: Arc<Mutex<HashMap<JournalId, JournalId>>>,
}

/// Where a program is to be found.
enum Route {
    Local(Arc<Home>),
    Peer(String),
}

/// End of a stream relayed from another daemon's home.
enum Relay {
    /// The last event has been sent, or the caller has gone.
    Over,
    /// The home was lost; the step has to be asked for again.
    Lost(Option<JournalId>),
}

impl Entry {
    pub(crate) fn new(shared: Arc<Shared>, homes: HomeCell) -> Self {
        Entry { shared, homes, owners: Arc::default() }
    }

    /// Finds the home of programs born in `birth`, through live daemons and
    /// seals; `None` if there is none right now.
    async fn locate(&self, birth: &JournalId) -> Option<Route> {
        if let Some(home) = self.homes.get()
            && home.owns(birth)
            && home.journal.sealed_by().is_none()
        {
            return Some(Route::Local(home));
        }
        let known = lock(&self.owners).get(birth).cloned();
        let owner = known.unwrap_or_else(|| birth.clone());
        if let Some(route) = self.reach(&owner).await {
            return Some(route);
        }
        let owner = find_owner(&self.shared.platform, birth).await.ok()?;
        self.remember(birth, &owner);
        if let Some(home) = self.homes.get()
            && *home.id() == owner
            && home.claims(birth).await
        {
            return Some(Route::Local(home));
        }
        self.reach(&owner).await
    }

    /// The peer that appends to `owner`, if it is live.
    async fn reach(&self, owner: &JournalId) -> Option<Route> {
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

    fn remember(&self, birth: &JournalId, owner: &JournalId) {
        let mut owners = lock(&self.owners);
        if owners.len() >= OWNERS_MAX {
            owners.clear();
        }
        owners.insert(birth.clone(), owner.clone());
    }

    fn forget(&self, birth: &JournalId) {
        lock(&self.owners).remove(birth);
    }

    /// Relays a step to its home, wherever that moves meanwhile.
    async fn relay(self, mut request: StepRequest, out: mpsc::Sender<StepEvent>) {
        if request.turn.is_none() && request.key.is_none() {
            // Makes it safe to ask again when the home is lost.
            request.key = Some(format!("entry-{:032x}", rand::random::<u128>()).into());
        }
        let birth = request.program.birth.clone();
        let mut caller = Caller { out, begun: false, text: String::new() };
        loop {
            let ended = match self.locate(&birth).await {
                Some(Route::Local(home)) => self.follow_local(&home, &request, &mut caller).await,
                Some(Route::Peer(address)) => {
                    self.follow_peer(&address, &request, &mut caller).await
                }
                None => Relay::Lost(None),
            };
            match ended {
                Relay::Over => return,
                Relay::Lost(Some(owner)) => self.remember(&birth, &owner),
                Relay::Lost(None) => self.forget(&birth),
            }
            let left = until_ms(request.deadline_ms);
            if left <= RETRY_PAUSE {
                let _ = caller.out.send(StepEvent::Failed(no_home())).await;
                return;
            }
            tokio::select! {
                () = time::sleep(RETRY_PAUSE) => {}
                () = caller.out.closed() => return,
            }
        }
    }

    async fn follow_local(
        &self,
        home: &Arc<Home>,
        request: &StepRequest,
        caller: &mut Caller,
    ) -> Relay {
        let (events, mut received) = mpsc::channel(EVENTS_MAX);
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
                () = caller.out.closed() => return Relay::Over,
            };
            let Some(event) = event else { return Relay::Lost(None) };
            if let Some(relay) = caller.pass(event).await {
                return relay;
            }
        }
    }

    async fn follow_peer(
        &self,
        address: &str,
        request: &StepRequest,
        caller: &mut Caller,
    ) -> Relay {
        let Ok(client) = self.shared.peers.get(address).await else { return Relay::Lost(None) };
        let asked = time::timeout(CALL_TIMEOUT, client.step(request.clone())).await;
        let Ok(Ok(mut events)) = asked else { return Relay::Lost(None) };
        self.relay_events(address, &mut events, caller).await
    }

    async fn relay_events(
        &self,
        address: &str,
        events: &mut Subscription<StepEvent>,
        caller: &mut Caller,
    ) -> Relay {
        let mut check = time::interval(self.shared.settings.timing.probe);
        check.tick().await;
        loop {
            let event = tokio::select! {
                event = events.next() => event,
                () = caller.out.closed() => return Relay::Over,
                _ = check.tick() => match self.is_reachable(address) {
                    true => continue,
                    false => return Relay::Lost(None),
                },
            };
            let Some(Ok(event)) = event else { return Relay::Lost(None) };
            if let Some(relay) = caller.pass(event).await {
                return relay;
            }
        }
    }

    fn is_reachable(&self, address: &str) -> bool {
        let suspects = self.shared.membership.suspects();
        let peer = self.shared.membership.peers().into_iter().find(|peer| peer.address == address);
        peer.is_some_and(|peer| !suspects.contains(&peer.name))
    }

    /// Asks the home of `program`, again if it moves, for at most a short
    /// time.
    async fn ask<Q: Question>(
        &self,
        program: &ProgramId,
        question: &Q,
    ) -> Result<Q::Reply, Failure> {
        let give_up = time::Instant::now() + SHORT_WAIT;
        loop {
            let answer = match self.locate(&program.birth).await {
                Some(Route::Local(home)) => question.at_home(&home).await,
                Some(Route::Peer(address)) => self.ask_peer(&address, question).await,
                None => Err(no_home()),
            };
            let failure = match answer {
                Err(failure) if failure.code == Code::HomeUnavailable => failure,
                answer => return answer,
            };
            match &failure.moved {
                Some(owner) => self.remember(&program.birth, owner),
                None => self.forget(&program.birth),
            }
            if time::Instant::now() >= give_up {
                return Err(failure);
            }
            time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn ask_peer<Q: Question>(
        &self,
        address: &str,
        question: &Q,
    ) -> Result<Q::Reply, Failure> {
        let asked = async {
            let client = self.shared.peers.get(address).await?;
            question.at_peer(&client).await
        };
        match time::timeout(CALL_TIMEOUT, asked).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Err(no_home()),
        }
    }

    async fn start_here(&self, request: StartRequest) -> Result<StartReply, Failure> {
        let give_up = wall_ms() + SHORT_WAIT.as_millis() as u64;
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
            if wall_ms() >= give_up {
                let failure = Failure::not_run(Code::HomeUnavailable, "no home is open here");
                return Err(failure.retry_in(RETRY_MS));
            }
            time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Starts a program at another daemon while this one stops.
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
            Some(parent) => self.ask(&parent, &request).await,
            None => self.start_here(request).await,
        }
    }

    fn step(&self, request: StepRequest) -> mpsc::Receiver<StepEvent> {
        let (out, events) = mpsc::channel(EVENTS_MAX);
        tokio::spawn(self.clone().relay(request, out));
        events
    }

    async fn read(&self, program: ProgramId, customer: Name) -> Result<ProgramView, Failure> {
        let read = Read { program: program.clone(), customer: Some(customer) };
        self.ask(&program, &read).await
    }

    async fn turn(&self, program: ProgramId, customer: Name, turn: u32) -> Result<Answer, Failure> {
        let read = ReadTurn { program: program.clone(), customer, turn };
        self.ask(&program, &read).await
    }

    async fn end(&self, program: ProgramId, customer: Name) -> Result<(), Failure> {
        self.end_program(program, Some(customer)).await
    }
}

impl Entry {
    /// Ends a program; operators need not name the customer.
    pub(crate) async fn end_program(
        &self,
        program: ProgramId,
        customer: Option<Name>,
    ) -> Result<(), Failure> {
        let end = End { program: program.clone(), customer };
        self.ask(&program, &end).await
    }

    /// Reads any customer's program, for operators.
    pub(crate) async fn read_any(&self, program: ProgramId) -> Result<ProgramView, Failure> {
        let read = Read { program: program.clone(), customer: None };
        self.ask(&program, &read).await
    }
}

/// What a caller has been sent so far.
struct Caller {
    out: mpsc::Sender<StepEvent>,
    begun: bool,
    text: String,
}

impl Caller {
    /// Passes an event on; says how the relay ended if it did.
    async fn pass(&mut self, event: StepEvent) -> Option<Relay> {
        let event = match event {
            StepEvent::Failed(failure) if failure.code == Code::HomeUnavailable => {
                return Some(Relay::Lost(failure.moved));
            }
            StepEvent::Begun { .. } if std::mem::replace(&mut self.begun, true) => return None,
            StepEvent::Text { at, text } => match self.fresh(at, &text) {
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
        (last || sent.is_err()).then_some(Relay::Over)
    }

    /// The part of `text` that the caller has not seen, if what it has seen
    /// agrees with it.
    fn fresh(&mut self, at: usize, text: &str) -> Result<Option<StepEvent>, Failure> {
        let seen = self.text.get(at..).ok_or_else(diverged)?;
        let common = seen.len().min(text.len());
        if seen.as_bytes()[..common] != text.as_bytes()[..common] {
            return Err(diverged());
        }
        if common == text.len() {
            return Ok(None);
        }
        let fresh = text[common..].to_owned();
        let at = self.text.len();
        self.text.push_str(&fresh);
        Ok(Some(StepEvent::Text { at, text: fresh }))
    }
}

/// A second run generated other text than the caller has seen.
fn diverged() -> Failure {
    Failure::unknown(Code::HomeUnavailable, "the answer was begun by a daemon that was lost")
        .help("ask again with the same turn; the text so far is not part of the answer")
        .retry_in(RETRY_MS)
}

fn no_home() -> Failure {
    Failure::unknown(Code::HomeUnavailable, "the program's home can't be reached now")
        .help("ask again with the same turn or idempotency key")
        .retry_in(RETRY_MS)
}
