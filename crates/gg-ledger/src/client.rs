//! The ledger as its users see it: opens and closes turns on enough
//! instances of a partition's present set.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, atomic::AtomicU32},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use futures::{StreamExt, stream::FuturesUnordered};
use gg_protocol::Name;
use rand::seq::SliceRandom;
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;

use crate::{
    Chain, Crashes, Layout, LedgerError, Member, TurnRecord,
    index::{LastRun, TurnSpend},
    link::{Link, Scope},
    links::Links,
    node::lock,
    protocol::{Answer, Op},
    view::PartitionView,
};

/// Longest wait for enough instances to open a turn.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// Wait for enough members to be connected; after that a turn is refused, so
/// that its client goes to another gateway in time.
const QUORUM_TIMEOUT: Duration = Duration::from_millis(120);

/// Longest wait for enough disks to hold a finished turn.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Wait for the members that are asked first; then the others are asked too.
/// A way and a sync take 10 ms.
const FALLBACK_DELAY: Duration = Duration::from_millis(40);

/// When a budget holds fewer turns than this, the accounts of all members are
/// put together before a turn is let through or refused.
const EXACT_CHECK_TURNS: u64 = 3;

/// Longest wait for the answer whether a program has an account. A way there
/// and back takes 3 ms.
const ACCOUNT_TIMEOUT: Duration = Duration::from_millis(60);

/// Instances that are asked for news while there is no layout.
const BOOTSTRAP_SOURCES: usize = 3;

/// Pause between two looks whether enough members are connected.
const CONNECT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time of one round to close a turn: members may leave the set
/// meanwhile, and their links with them. A way and a sync take 10 ms.
const ROUND_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause before the members are asked again after a failed round.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// A turn, by its request, and the program whose partition it belongs to. A
/// turn without a program is its own.
#[derive(Clone, Debug)]
pub struct TurnKey {
    /// Request that the turn is.
    pub turn: Name,
    /// Program.
    pub program: Option<Name>,
}

/// A turn to open.
#[derive(Clone, Debug)]
pub struct OpenRequest {
    /// The turn.
    pub key: TurnKey,
    /// Turn that it continues.
    pub previous: Option<Name>,
    /// Budget of the program in tokens, and the most that this turn spends.
    pub budget: Option<(u64, u32)>,
    /// Line of turns whose last replica is asked for, where no chain tells.
    pub line: Option<Name>,
    /// Set for a turn whose text is not kept when it ends: milliseconds for
    /// which its account is kept after its last use.
    pub keep_ms: Option<u32>,
}

/// An opened turn.
#[derive(Clone, Debug, Default)]
pub struct Opened {
    /// Inputs and outputs of the chain that it continues.
    pub history: Bytes,
    /// Replica that ran the turn before.
    pub upstream: Option<Name>,
    /// The chain, or its beginning, is kept with another program. A turn that
    /// continues it keeps the whole history itself.
    pub is_foreign: bool,
}

/// Tokens set aside on enough members.
#[derive(Debug, Default)]
struct Reservation {
    /// The most that others hold.
    max_spent: u64,
    /// The chain, if the nearest member has answered.
    chain: Option<Chain>,
    /// Replica that ran the line's last turn, as the first member says that
    /// knows of one.
    upstream: Option<Name>,
}

/// Client of the ledger.
#[derive(Debug)]
pub struct Ledger {
    pub(crate) client: Name,
    pub(crate) centre: Name,
    /// Clients as last heard of; 0 if not heard of.
    pub(crate) clients: AtomicU32,
    pub(crate) state: Mutex<State>,
    pub(crate) crashes: Mutex<Crashes>,
}

#[derive(Debug)]
pub(crate) struct State {
    layout: Arc<Layout>,
    pub(crate) links: Links,
}

impl Ledger {
    /// The client named `client`, without members; its links end when `stop`
    /// is cancelled.
    pub fn new(client: Name, centre: Name, stop: CancellationToken) -> Self {
        let state = State { layout: Arc::default(), links: Links::new(None, stop) };
        Ledger {
            client,
            centre,
            clients: AtomicU32::new(0),
            state: Mutex::new(state),
            crashes: Mutex::default(),
        }
    }

    /// Takes in a layout; one that is newer in no partition changes nothing.
    pub fn set_layout(&self, layout: Layout) {
        let mut state = lock(&self.state);
        if state.layout.covers(&layout) {
            return;
        }
        let epochs: Vec<String> =
            layout.partitions.iter().map(|set| set.epoch.to_string()).collect();
        log::info!(
            "event=ledger_layout epochs={} members={} changing={}",
            epochs.join(","),
            layout.members().len(),
            layout.partitions.iter().filter(|set| set.next.is_some()).count()
        );
        state.links.set_members(&layout.members());
        state.layout = Arc::new(layout);
    }

    /// Takes in instances that are registered. Until there is a layout, some
    /// of them tell what is in the directory.
    pub fn set_registered(&self, instances: Vec<Member>) {
        let mut state = lock(&self.state);
        if !state.layout.partitions.is_empty() || instances.is_empty() {
            return;
        }
        let mut sources: Vec<&Member> = instances.iter().collect();
        sources.shuffle(&mut rand::rng());
        sources.truncate(BOOTSTRAP_SOURCES);
        state.links.set_members(&sources);
    }

    /// Whether enough members of every partition answer.
    pub fn is_ready(&self) -> bool {
        let count = lock(&self.state).layout.partitions.len();
        count > 0 && (0..count).all(|partition| self.view(partition as u16).is_usable())
    }

    /// Number of members that are connected and answer in time.
    pub fn connected(&self) -> usize {
        lock(&self.state).links.all().filter(|link| link.is_usable()).count()
    }

    fn partition(&self, key: &TurnKey) -> u16 {
        lock(&self.state).layout.partition(key.program.as_ref().unwrap_or(&key.turn))
    }

    fn view(&self, partition: u16) -> PartitionView {
        let state = lock(&self.state);
        PartitionView::new(&state.layout, &state.links, partition)
    }

    /// Sets tokens aside for a turn and reads the chain that it continues.
    pub async fn open(
        &self,
        request: &OpenRequest,
        deadline: Instant,
    ) -> Result<Opened, LedgerError> {
        if request.budget.is_none() && request.previous.is_none() {
            return Ok(Opened::default());
        }
        let deadline = deadline.min(Instant::now() + OPEN_TIMEOUT);
        let mut last = LedgerError::Unavailable("too few members connected");
        let connect_deadline = Instant::now() + QUORUM_TIMEOUT;
        while Instant::now() < deadline {
            let view = self.view(self.partition(&request.key));
            if !view.is_usable() {
                if Instant::now() >= connect_deadline {
                    break;
                }
                time::sleep(CONNECT_POLL_INTERVAL).await;
                continue;
            }
            match time::timeout_at(deadline, self.try_open(&view, request)).await {
                Err(_) => last = LedgerError::Unavailable("too few answers in time"),
                Ok(Err(LedgerError::Unavailable(text))) => last = LedgerError::Unavailable(text),
                Ok(result) => return result,
            }
            time::sleep(RETRY_DELAY).await;
        }
        // Some members may have set tokens aside for a turn that is refused.
        self.settle(&request.key, 0, None);
        Err(last)
    }

    async fn try_open(
        &self,
        view: &PartitionView,
        request: &OpenRequest,
    ) -> Result<Opened, LedgerError> {
        let Reservation { max_spent, chain, upstream } = self.reserve(view, request).await?;
        if let (Some(program), Some((budget, tokens))) = (&request.key.program, request.budget) {
            let tokens = u64::from(tokens);
            // One member may have missed what another one knows.
            let needs_exact = max_spent + EXACT_CHECK_TURNS * tokens > budget;
            let spent = if needs_exact {
                self.spent(view, program, &request.key.turn).await?
            } else {
                max_spent
            };
            if spent + tokens > budget {
                log::info!(
                    "event=budget_spent request={} program={program} spent={spent} most={tokens} \
                     budget={budget} exact={needs_exact} partition={} epoch={}",
                    request.key.turn,
                    view.scope.partition,
                    view.scope.epoch
                );
                self.settle(&request.key, 0, None);
                return Err(LedgerError::BudgetSpent(spent));
            }
        }
        match &request.previous {
            None => Ok(Opened { upstream, ..Opened::default() }),
            Some(previous) => self.history(view, previous, chain).await,
        }
    }

    /// Sets the tokens aside on enough members.
    async fn reserve(
        &self,
        view: &PartitionView,
        request: &OpenRequest,
    ) -> Result<Reservation, LedgerError> {
        let nearest =
            view.nearest(&self.centre).ok_or(LedgerError::Unavailable("no member connected"))?;
        let program = request.key.program.clone();
        let reserve = program.zip(request.budget.map(|(_, tokens)| tokens));
        let op = |link: &Link| Op::Open {
            turn: request.key.turn.clone(),
            reserve: reserve.clone(),
            keep_ms: request.keep_ms,
            branch: request.line.clone(),
            chain: request.previous.clone().filter(|_| link.member.disk == nearest),
        };
        let (first, others) = view.links.split_at(view.first);
        let call =
            async |link: &Arc<Link>, op: Op| (link.member.disk, link.call(view.scope, op).await);
        let mut calls: FuturesUnordered<_> =
            first.iter().map(|link| call(link, op(link))).collect();
        let mut others = Some(others);
        let mut answered = Vec::new();
        let mut reservation = Reservation::default();
        loop {
            let has_quorum = view.has_quorum(&answered);
            if has_quorum && (request.previous.is_none() || reservation.chain.is_some()) {
                break;
            }
            match time::timeout(FALLBACK_DELAY, calls.next()).await {
                Ok(Some((disk, Ok(Answer::Opened { others, chain, upstream })))) => {
                    answered.push(disk);
                    reservation.max_spent = others.max(reservation.max_spent);
                    reservation.chain = reservation.chain.or(chain);
                    reservation.upstream = reservation.upstream.or(upstream);
                }
                // The others may have memory left.
                Ok(Some((_, Ok(Answer::Full) | Err(_)))) => {}
                Ok(Some((disk, Ok(other)))) => {
                    return Err(self.handle_refusal(disk, other));
                }
                // Enough hold it; the chain is read from another member.
                Ok(None) | Err(_) if has_quorum => break,
                Ok(None) | Err(_) => match others.take() {
                    Some(others) => calls.extend(others.iter().map(|link| call(link, op(link)))),
                    None if calls.is_empty() => break,
                    None => {}
                },
            }
        }
        match view.has_quorum(&answered) {
            true => Ok(reservation),
            false => Err(LedgerError::Unavailable("too few members answered")),
        }
    }

    /// Whether a program has an account, as far as any of the members says
    /// that are asked first.
    pub async fn has_account(&self, program: &Name, deadline: Instant) -> bool {
        let partition = lock(&self.state).layout.partition(program);
        let view = self.view(partition);
        let first = view.links[..view.first].iter().filter(|link| link.is_usable());
        let mut calls: FuturesUnordered<_> =
            first.map(|link| link.call(view.scope, Op::HasAccount(program.clone()))).collect();
        let deadline = deadline.min(Instant::now() + ACCOUNT_TIMEOUT);
        while let Ok(Some(answer)) = time::timeout_at(deadline, calls.next()).await {
            if let Ok(Answer::HasAccount(true)) = answer {
                return true;
            }
        }
        false
    }

    /// Exactly what the turns of a program other than `turn` spent or set
    /// aside: an end that any member knows of counts.
    async fn spent(
        &self,
        view: &PartitionView,
        program: &Name,
        turn: &Name,
    ) -> Result<u64, LedgerError> {
        let mut calls: FuturesUnordered<_> = view
            .links
            .iter()
            .filter(|link| link.is_usable())
            .map(async |link| {
                (link.member.disk, link.call(view.scope, Op::Account(program.clone())).await)
            })
            .collect();
        let mut answered = Vec::new();
        let mut turns: HashMap<Name, TurnSpend> = HashMap::new();
        while !view.set.has_read_quorum(&answered) {
            match calls.next().await {
                Some((disk, Ok(Answer::Account(spent)))) => {
                    answered.push(disk);
                    for one in spent {
                        let known = turns.entry(one.turn.clone()).or_insert_with(|| one.clone());
                        if one.is_settled && !known.is_settled {
                            *known = one;
                        }
                    }
                }
                Some((disk, Ok(other))) => return Err(self.handle_refusal(disk, other)),
                Some((_, Err(_))) => {}
                None => return Err(LedgerError::Unavailable("too few members know the account")),
            }
        }
        turns.remove(turn);
        Ok(turns.values().map(|one| u64::from(one.tokens)).sum())
    }

    /// Completes a chain that one member knows in part, or not at all.
    async fn history(
        &self,
        view: &PartitionView,
        previous: &Name,
        found: Option<Chain>,
    ) -> Result<Opened, LedgerError> {
        let mut upstream = found.as_ref().and_then(|chain| chain.upstream.clone());
        let mut missing = Some(previous.clone());
        let mut parts = Vec::new();
        let mut is_foreign = false;
        if let Some(chain) = found {
            missing = chain.missing;
            parts.push(chain.text);
        }
        while let Some(turn) = missing.take() {
            let chain = match self.fetch(view, &turn).await {
                Err(LedgerError::NoSuchTurn) => {
                    is_foreign = true;
                    self.find(&turn).await?
                }
                fetched => fetched?,
            };
            upstream = upstream.or(chain.upstream);
            parts.push(chain.text);
            missing = chain.missing;
        }
        let history = match parts.len() {
            1 => parts.swap_remove(0),
            _ => {
                let mut joined = BytesMut::new();
                parts.iter().rev().for_each(|part| joined.extend_from_slice(part));
                joined.freeze()
            }
        };
        Ok(Opened { history, upstream, is_foreign })
    }

    /// Reads a chain from whichever member knows its last turn.
    async fn fetch(&self, view: &PartitionView, turn: &Name) -> Result<Chain, LedgerError> {
        let calls = view.links.iter().filter(|link| link.is_up()).map(async |link| {
            let answer = link.call(view.scope, Op::Fetch(turn.clone())).await;
            (link.member.disk, answer)
        });
        self.first_chain(calls, turn, |not_found| view.set.has_read_quorum(not_found)).await
    }

    /// Reads a chain from whichever partition knows its last turn.
    async fn find(&self, turn: &Name) -> Result<Chain, LedgerError> {
        let (layout, links) = {
            let state = lock(&self.state);
            let links: Vec<_> = state.links.all().filter(|link| link.is_up()).cloned().collect();
            (state.layout.clone(), links)
        };
        let epochs: Vec<u64> = layout.partitions.iter().map(|set| set.epoch).collect();
        let calls = links.iter().map(async |link| {
            let op = Op::Find { turn: turn.clone(), epochs: epochs.clone() };
            (link.member.disk, link.call(Scope { partition: 0, epoch: 0 }, op).await)
        });
        let is_conclusive =
            |not_found: &[u64]| layout.partitions.iter().all(|set| set.has_read_quorum(not_found));
        self.first_chain(calls, turn, is_conclusive).await
    }

    /// The first answer that has the turn; none if enough deny it.
    async fn first_chain<F>(
        &self,
        calls: impl Iterator<Item = F>,
        turn: &Name,
        is_conclusive: impl Fn(&[u64]) -> bool,
    ) -> Result<Chain, LedgerError>
    where
        F: Future<Output = (u64, Result<Answer, LedgerError>)>,
    {
        let mut calls: FuturesUnordered<F> = calls.collect();
        let mut not_found = Vec::new();
        while let Some((disk, answer)) = calls.next().await {
            match answer {
                Ok(Answer::Fetched(chain)) if chain.missing.as_ref() != Some(turn) => {
                    return Ok(chain);
                }
                Ok(Answer::Fetched(_)) => not_found.push(disk),
                Ok(other) => return Err(self.handle_refusal(disk, other)),
                Err(_) => {}
            }
            if is_conclusive(&not_found) {
                let disks: Vec<String> = not_found.iter().map(u64::to_string).collect();
                log::info!("event=turn_denied turn={turn} disks={}", disks.join(","));
                return Err(LedgerError::NoSuchTurn);
            }
        }
        Err(LedgerError::Unavailable("too few members know the chain"))
    }

    /// Tells what a turn has spent of which nothing is kept, and which replica
    /// ran it.
    pub fn settle(&self, key: &TurnKey, tokens: u32, run: Option<LastRun>) {
        let Some(program) = key.program.clone() else { return };
        let view = self.view(self.partition(key));
        let settle = Some((program, tokens));
        let op = Op::Close { turn: key.turn.clone(), settle, record: None, run };
        view.links.iter().for_each(|link| link.notify(view.scope, op.clone()));
    }

    /// Ends a finished turn, `tokens` of its program spent if it has a
    /// budget; returns when enough disks hold it.
    pub async fn close(
        &self,
        key: &TurnKey,
        tokens: Option<u32>,
        record: TurnRecord,
    ) -> Result<(), LedgerError> {
        let settle = key.program.clone().zip(tokens);
        let record = Some(record);
        let op = Op::Close { turn: key.turn.clone(), settle, record, run: None };
        let deadline = Instant::now() + CLOSE_TIMEOUT;
        while Instant::now() < deadline {
            let view = self.view(self.partition(key));
            let round_deadline = deadline.min(Instant::now() + ROUND_TIMEOUT);
            if let Ok(true) = time::timeout_at(round_deadline, self.try_close(&view, &op)).await {
                return Ok(());
            }
            time::sleep(RETRY_DELAY).await;
        }
        Err(LedgerError::Unavailable("too few disks hold the turn"))
    }

    async fn try_close(&self, view: &PartitionView, op: &Op) -> bool {
        let call =
            async |link: &Arc<Link>| (link.member.disk, link.call(view.scope, op.clone()).await);
        let (first, others) = view.links.split_at(view.first);
        let mut calls: FuturesUnordered<_> = first.iter().map(call).collect();
        let mut others = Some(others);
        let mut holders = Vec::new();
        while !view.set.has_write_quorum(&holders) {
            match time::timeout(FALLBACK_DELAY, calls.next()).await {
                Ok(Some((disk, Ok(Answer::Closed)))) => holders.push(disk),
                Ok(Some((disk, Ok(other)))) => {
                    self.handle_refusal(disk, other);
                    return false;
                }
                Ok(Some((_, Err(_)))) => {}
                Ok(None) | Err(_) => match others.take() {
                    Some(others) => calls.extend(others.iter().map(call)),
                    None if calls.is_empty() => return false,
                    None => {}
                },
            }
        }
        // The rest hold it soon; their answers are not awaited.
        true
    }

    /// Learns from a refusal, which ends the round that got it: the set has
    /// changed, and members that left it answer no more.
    fn handle_refusal(&self, disk: u64, answer: Answer) -> LedgerError {
        match answer {
            Answer::Stale(layout) => self.set_layout(layout),
            other => log::warn!("event=ledger_refused disk={disk} answer={other:?}"),
        }
        LedgerError::Unavailable("the set has changed")
    }
}
