//! The ledger as its users see it: opens and closes turns on enough
//! instances of the present set.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use futures::{StreamExt, stream::FuturesUnordered};
use gg_protocol::Name;
use indexmap::IndexMap;
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;

use crate::{
    LedgerError, LedgerSet, TurnRecord,
    link::Link,
    node::lock,
    protocol::{Answer, Ask},
};

/// Longest wait for enough instances to open a turn.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// Wait for enough members to be connected; after that a turn is refused, so
/// that its client goes to another gateway in time.
const CONNECT_PATIENCE: Duration = Duration::from_millis(120);

/// Longest wait for enough disks to hold a finished turn.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Wait for the nearest instance's chain after enough others have answered;
/// then the chain is read from another one.
const NEAREST_PATIENCE: Duration = Duration::from_millis(40);

/// Pause between two looks whether enough members are connected.
const CONNECT_PAUSE: Duration = Duration::from_millis(20);

/// Pause before the members are asked again after a failed round.
const ROUND_PAUSE: Duration = Duration::from_millis(60);

/// A turn to open.
#[derive(Clone, Debug)]
pub struct OpenRequest {
    /// Request that the turn is.
    pub turn: Name,
    /// Turn that it continues.
    pub previous: Option<Name>,
    /// Program, its budget in tokens, and the most that this turn spends.
    pub budget: Option<(Name, u64, u32)>,
}

/// An opened turn.
#[derive(Clone, Debug, Default)]
pub struct Opened {
    /// Inputs and outputs of the chain that it continues.
    pub history: Bytes,
    /// Replica that ran the turn before.
    pub upstream: Option<Name>,
}

/// Tokens that a turn has spent, of a program.
pub type Settlement = (Name, u32);

/// Client of the ledger.
#[derive(Debug)]
pub struct Ledger {
    centre: Name,
    state: Mutex<State>,
    stop: CancellationToken,
}

#[derive(Debug, Default)]
struct State {
    set: LedgerSet,
    links: IndexMap<u64, (Arc<Link>, CancellationToken)>,
}

/// The set and the links to all of its members at one moment.
#[derive(Clone, Debug)]
struct View {
    set: LedgerSet,
    links: Vec<Arc<Link>>,
}

impl View {
    /// Whether enough members answer to open and close turns.
    fn is_usable(&self) -> bool {
        let usable = self.links.iter().filter(|link| link.is_usable());
        let usable: Vec<u64> = usable.map(|link| link.member.disk).collect();
        !self.set.members.is_empty() && self.set.is_read(&usable) && self.set.is_written(&usable)
    }
}

impl Ledger {
    /// A client without members; its links end when `stop` is cancelled.
    pub fn new(centre: Name, stop: CancellationToken) -> Self {
        Ledger { centre, state: Mutex::default(), stop }
    }

    /// Takes in a set; an older one changes nothing.
    pub fn set_members(&self, set: LedgerSet) {
        let mut state = lock(&self.state);
        if set.epoch <= state.set.epoch {
            return;
        }
        log::info!(
            "event=ledger_set epoch={} members={} next={}",
            set.epoch,
            names(&set.members),
            names(set.next.as_deref().unwrap_or_default())
        );
        let wanted: Vec<_> = set.all().into_iter().cloned().collect();
        state.links.retain(|disk, (link, stop)| {
            let stays = wanted.iter().any(|member| member.disk == *disk && *member == link.member);
            if !stays {
                stop.cancel();
            }
            stays
        });
        for member in wanted {
            if state.links.contains_key(&member.disk) {
                continue;
            }
            let disk = member.disk;
            let (link, queued) = Link::new(member);
            let link = Arc::new(link);
            let stop = self.stop.child_token();
            let (running, stopped) = (link.clone(), stop.clone());
            tokio::spawn(async move { stopped.run_until_cancelled(running.run(queued)).await });
            state.links.insert(disk, (link, stop));
        }
        state.set = set;
    }

    /// Whether enough members are connected to open and close turns.
    pub fn is_ready(&self) -> bool {
        self.view().is_usable()
    }

    /// Epoch of the set.
    pub fn epoch(&self) -> u64 {
        lock(&self.state).set.epoch
    }

    fn view(&self) -> View {
        let state = lock(&self.state);
        let links = state.links.values().map(|(link, _)| link.clone()).collect();
        View { set: state.set.clone(), links }
    }

    /// Sets tokens aside for a turn and reads the chain that it continues.
    pub async fn open(&self, request: &OpenRequest, limit: Instant) -> Result<Opened, LedgerError> {
        let limit = limit.min(Instant::now() + OPEN_TIMEOUT);
        let mut last = LedgerError::Unavailable("too few members connected");
        let patience = Instant::now() + CONNECT_PATIENCE;
        while Instant::now() < limit {
            if !self.is_ready() {
                if Instant::now() >= patience {
                    break;
                }
                time::sleep(CONNECT_PAUSE).await;
                continue;
            }
            match time::timeout_at(limit, self.try_open(request)).await {
                Err(_) => last = LedgerError::Unavailable("too few answers in time"),
                Ok(Err(LedgerError::Unavailable(text))) => last = LedgerError::Unavailable(text),
                Ok(result) => return result,
            }
            time::sleep(ROUND_PAUSE).await;
        }
        Err(last)
    }

    async fn try_open(&self, request: &OpenRequest) -> Result<Opened, LedgerError> {
        let view = self.view();
        let nearest = self.nearest(&view).ok_or(LedgerError::Unavailable("no member connected"))?;
        if request.budget.is_none() && request.previous.is_none() {
            return Ok(Opened::default());
        }
        let reserve = request.budget.as_ref().map(|(program, _, most)| (program.clone(), *most));
        let mut calls: FuturesUnordered<_> = view
            .links
            .iter()
            .filter(|link| link.is_up())
            .map(|link| {
                let chain = (link.member.disk == nearest).then(|| request.previous.clone());
                let ask = Ask::Open {
                    turn: request.turn.clone(),
                    reserve: reserve.clone(),
                    chain: chain.flatten(),
                };
                let epoch = view.set.epoch;
                async move { (link, link.call(epoch, ask).await) }
            })
            .collect();
        let mut answered = Vec::new();
        let mut most = 0;
        let mut chain = None;
        let mut patience = None;
        loop {
            let enough = view.set.is_read(&answered) && view.set.is_written(&answered);
            if enough && (request.previous.is_none() || chain.is_some()) {
                break;
            }
            if enough {
                patience.get_or_insert_with(|| Instant::now() + NEAREST_PATIENCE);
            }
            let limit = patience.unwrap_or_else(|| Instant::now() + OPEN_TIMEOUT);
            let Ok(next) = time::timeout_at(limit, calls.next()).await else { break };
            let Some((link, answer)) = next else { break };
            match answer {
                Ok(Answer::Opened { others, chain: found }) => {
                    answered.push(link.member.disk);
                    most = others.max(most);
                    chain = chain.or(found);
                }
                Ok(other) => self.take_refusal(link, other),
                Err(_) => {}
            }
        }
        drop(calls);
        if !(view.set.is_read(&answered) && view.set.is_written(&answered)) {
            return Err(LedgerError::Unavailable("too few members answered"));
        }
        if let Some((program, budget, tokens)) = &request.budget
            && most + u64::from(*tokens) > *budget
        {
            let settle = Some((program.clone(), 0));
            self.tell(Ask::Close { turn: request.turn.clone(), settle, record: None });
            return Err(LedgerError::BudgetSpent(most));
        }
        let Some(previous) = &request.previous else { return Ok(Opened::default()) };
        self.history(&view, previous, chain).await
    }

    /// Completes a chain that one member knows in part, or not at all.
    async fn history(
        &self,
        view: &View,
        previous: &Name,
        found: Option<crate::Chain>,
    ) -> Result<Opened, LedgerError> {
        let mut upstream = found.as_ref().and_then(|chain| chain.upstream.clone());
        let mut missing = Some(previous.clone());
        let mut parts = Vec::new();
        if let Some(chain) = found {
            missing = chain.missing;
            parts.push(chain.text);
        }
        while let Some(turn) = missing.take() {
            let chain = self.fetch(view, &turn).await?;
            upstream = upstream.or(chain.upstream);
            parts.push(chain.text);
            missing = chain.missing;
        }
        let history = match parts.len() {
            1 => parts.swap_remove(0),
            _ => {
                let mut whole = BytesMut::new();
                parts.iter().rev().for_each(|part| whole.extend_from_slice(part));
                whole.freeze()
            }
        };
        Ok(Opened { history, upstream })
    }

    /// Reads a chain from whichever member knows its last turn.
    async fn fetch(&self, view: &View, turn: &Name) -> Result<crate::Chain, LedgerError> {
        let mut calls: FuturesUnordered<_> = view
            .links
            .iter()
            .filter(|link| link.is_up())
            .map(async |link| (link, link.call(view.set.epoch, Ask::Fetch(turn.clone())).await))
            .collect();
        let mut denied = Vec::new();
        while let Some((link, answer)) = calls.next().await {
            match answer {
                Ok(Answer::Fetched(chain)) if chain.missing.as_ref() != Some(turn) => {
                    return Ok(chain);
                }
                Ok(Answer::Fetched(_)) => denied.push(link.member.disk),
                Ok(other) => self.take_refusal(link, other),
                Err(_) => {}
            }
            if view.set.is_read(&denied) {
                return Err(LedgerError::NoSuchTurn);
            }
        }
        Err(LedgerError::Unavailable("too few members know the chain"))
    }

    /// Tells what a turn has spent that did not finish whole.
    pub fn settle(&self, turn: &Name, settle: Option<Settlement>) {
        if settle.is_some() {
            self.tell(Ask::Close { turn: turn.clone(), settle, record: None });
        }
    }

    /// Ends a finished turn; returns when enough disks hold it.
    pub async fn close(
        &self,
        turn: &Name,
        settle: Option<Settlement>,
        record: TurnRecord,
    ) -> Result<(), LedgerError> {
        let ask = Ask::Close { turn: turn.clone(), settle, record: Some(record) };
        let limit = Instant::now() + CLOSE_TIMEOUT;
        while Instant::now() < limit {
            if let Ok(true) = time::timeout_at(limit, self.try_close(&ask)).await {
                return Ok(());
            }
            time::sleep(ROUND_PAUSE).await;
        }
        Err(LedgerError::Unavailable("too few disks hold the turn"))
    }

    async fn try_close(&self, ask: &Ask) -> bool {
        let view = self.view();
        let mut calls: FuturesUnordered<_> = view
            .links
            .iter()
            .filter(|link| link.is_up())
            .map(async |link| (link, link.call(view.set.epoch, ask.clone()).await))
            .collect();
        let mut holders = Vec::new();
        while let Some((link, answer)) = calls.next().await {
            match answer {
                Ok(Answer::Closed) => holders.push(link.member.disk),
                Ok(other) => self.take_refusal(link, other),
                Err(_) => {}
            }
            if view.set.is_written(&holders) {
                // The others hold it soon; their answers are not awaited.
                return true;
            }
        }
        false
    }

    /// Tells all members something whose answer doesn't matter.
    fn tell(&self, ask: Ask) {
        let view = self.view();
        view.links.iter().for_each(|link| link.tell(view.set.epoch, ask.clone()));
    }

    fn take_refusal(&self, link: &Link, answer: Answer) {
        match answer {
            Answer::Stale(set) => self.set_members(set),
            other => log::warn!(
                "event=ledger_refused instance={} answer={other:?}",
                link.member.instance
            ),
        }
    }

    /// The member that chains are read from: in the same data centre if one
    /// is connected there, else any.
    fn nearest(&self, view: &View) -> Option<u64> {
        let present = view.links.iter().filter(|link| view.set.has(link.member.disk));
        let best = present.filter(|link| link.is_up()).min_by_key(|link| {
            (!link.is_usable(), link.member.centre != self.centre, link.member.disk)
        })?;
        Some(best.member.disk)
    }
}

fn names(members: &[crate::Member]) -> String {
    members.iter().map(|member| &*member.instance).collect::<Vec<_>>().join(",")
}
