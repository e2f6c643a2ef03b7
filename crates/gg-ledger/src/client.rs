//! Ledger client: opens and closes turns on quorums of a partition's current
//! member set.

use std::{
    sync::{Arc, Mutex, atomic::AtomicU32},
    time::Duration,
};

use bytes::Bytes;
use futures::{StreamExt, stream::FuturesUnordered};
use gg_protocol::Name;
use rand::seq::SliceRandom;
use tokio::{
    sync::Semaphore,
    time::{self, Instant},
};
use tokio_util::sync::CancellationToken;

use crate::{
    AccountReport, BudgetCheck, Chain, CrashFacts, LastRun, Layout, LedgerError, Member,
    TurnRecord,
    budget::RECONCILIATIONS_MAX,
    link::Link,
    links::Links,
    node::lock,
    protocol::{Op, ReplyBody, TEXT_MAX_BYTES},
    view::PartitionView,
};

/// Timeout for opening a turn on enough instances.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// Time to wait until a quorum of members is connected. After it the turn is
/// refused, so that its client can still try another gateway.
const QUORUM_TIMEOUT: Duration = Duration::from_millis(120);

/// Timeout for storing a completed turn on enough disks.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time to wait for the preferred members before the others are called too. A
/// one-way trip and a sync take 10 ms.
const FALLBACK_DELAY: Duration = Duration::from_millis(40);

/// Timeout of the query whether a program has an account. A round trip takes 3
/// ms.
const ACCOUNT_TIMEOUT: Duration = Duration::from_millis(60);

/// Number of instances polled for directory updates while there is no layout.
const BOOTSTRAP_SOURCES: usize = 3;

/// Interval between checks whether a quorum of members is connected.
const CONNECT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout of one attempt to close a turn. Members may leave the set during the
/// attempt, which also closes their links. A one-way trip and a sync take 10
/// ms.
const ROUND_TIMEOUT: Duration = Duration::from_millis(300);

/// Delay before the members are called again after a failed attempt.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Identifies a turn by its request, and the program whose partition it belongs
/// to. A turn without a program is placed by its own name.
#[derive(Clone, Debug)]
pub struct TurnKey {
    /// Request that runs as this turn.
    pub turn: Name,
    /// Program that the turn belongs to, if any.
    pub program: Option<Name>,
}

/// A turn to open.
#[derive(Clone, Debug)]
pub struct OpenRequest {
    /// Identifies the turn.
    pub key: TurnKey,
    /// Turn that it continues.
    pub previous: Option<Name>,
    /// Budget of the program in tokens, and the maximum that this turn spends.
    pub budget: Option<(u64, u32)>,
    /// Conversation branch whose last replica is requested, if no chain
    /// identifies one.
    pub branch: Option<Name>,
    /// Set for a turn whose text is not stored when it ends: milliseconds for
    /// which its account is retained after its last use.
    pub keep_ms: Option<u32>,
}

/// An opened turn.
#[derive(Clone, Debug, Default)]
pub struct OpenedTurn {
    /// Inputs and outputs of the chain that the turn continues.
    pub history: Bytes,
    /// Replica that ran the previous turn.
    pub upstream: Option<Name>,
    /// A turn that continues the chain must store the whole history itself: the
    /// chain, or the beginning of it, belongs to another program, or a member
    /// lacks a part of it.
    pub needs_history: bool,
}

/// Result of reserving tokens on a quorum of members.
#[derive(Debug, Default)]
struct Reservation {
    /// What the members know of the program's other turns.
    accounts: BudgetCheck,
    /// The chain, if the nearest member has replied.
    chain: Option<Chain>,
    /// Replica that ran the branch's last turn, as reported by the first member
    /// that knows one.
    upstream: Option<Name>,
    /// Whether any member lacks a part of the chain.
    has_gap: bool,
}

/// Releases what members reserved for a turn that is refused or given up before
/// it is opened.
struct Release<'a> {
    ledger: &'a Ledger,
    request: Option<&'a OpenRequest>,
}

impl Release<'_> {
    /// Keeps the reservation.
    fn cancel(mut self) {
        self.request = None;
    }
}

impl Drop for Release<'_> {
    fn drop(&mut self) {
        if let Some(request) = self.request.filter(|request| request.budget.is_some()) {
            self.ledger.settle(&request.key, 0, None);
        }
    }
}

/// Ledger client.
#[derive(Debug)]
pub struct Ledger {
    pub(crate) client: Name,
    pub(crate) centre: Name,
    /// Last known number of clients; 0 if unknown.
    pub(crate) clients: AtomicU32,
    pub(crate) state: Mutex<State>,
    pub(crate) crashes: Mutex<CrashFacts>,
    /// Limits the number of accounts that are reconciled at a time.
    pub(crate) reconciling: Arc<Semaphore>,
}

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) layout: Arc<Layout>,
    pub(crate) links: Links,
}

impl Ledger {
    /// Creates the client named `client`, without members. Its links close when
    /// `stop` is cancelled.
    pub fn new(client: Name, centre: Name, stop: CancellationToken) -> Self {
        let state = State { layout: Arc::default(), links: Links::new(None, stop) };
        Ledger {
            client,
            centre,
            clients: AtomicU32::new(0),
            state: Mutex::new(state),
            crashes: Mutex::default(),
            reconciling: Arc::new(Semaphore::new(RECONCILIATIONS_MAX)),
        }
    }

    /// Sets the layout. Has no effect unless a partition of it is newer than
    /// the known one.
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

    /// Connects to some of these registered instances while there is no layout,
    /// so that they can be polled for directory updates.
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

    /// Whether a quorum of members responds in every partition.
    pub fn is_ready(&self) -> bool {
        let count = lock(&self.state).layout.partitions.len();
        count > 0 && (0..count).all(|partition| self.view(partition as u16).is_usable())
    }

    /// Number of members that are connected and respond in time.
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

    /// Reserves tokens for a turn and reads the chain that it continues.
    pub async fn open(
        &self,
        request: &OpenRequest,
        deadline: Instant,
    ) -> Result<OpenedTurn, LedgerError> {
        if request.budget.is_none() && request.previous.is_none() {
            return Ok(OpenedTurn::default());
        }
        let release = Release { ledger: self, request: Some(request) };
        let opened = self.open_until(request, deadline.min(Instant::now() + OPEN_TIMEOUT)).await;
        if opened.is_ok() {
            release.cancel();
        }
        opened
    }

    /// Opens a turn, in several attempts if needed.
    async fn open_until(
        &self,
        request: &OpenRequest,
        deadline: Instant,
    ) -> Result<OpenedTurn, LedgerError> {
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
                // Room is made as turns expire, which takes longer than this call.
                Ok(Err(LedgerError::Full)) => {
                    last = LedgerError::Full;
                    break;
                }
                Ok(result) => return result,
            }
            time::sleep(RETRY_DELAY).await;
        }
        Err(last)
    }

    async fn try_open(
        &self,
        view: &PartitionView,
        request: &OpenRequest,
    ) -> Result<OpenedTurn, LedgerError> {
        let Reservation { accounts, chain, upstream, has_gap } =
            self.reserve(view, request).await?;
        self.check_budget(view, request, &accounts).await?;
        match &request.previous {
            None => Ok(OpenedTurn { upstream, ..OpenedTurn::default() }),
            Some(previous) => {
                let opened = self.history(view, previous, chain).await?;
                Ok(OpenedTurn { needs_history: opened.needs_history || has_gap, ..opened })
            }
        }
    }

    /// Reserves the tokens on a quorum of members.
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
            branch: request.branch.clone(),
            chain: request.previous.clone().filter(|_| link.member.disk == nearest),
            continues: request.previous.clone(),
        };
        let (preferred, others) = view.links.split_at(view.preferred);
        let call =
            async |link: &Arc<Link>, op: Op| (link.member.disk, link.call(view.scope, op).await);
        let mut calls: FuturesUnordered<_> =
            preferred.iter().map(|link| call(link, op(link))).collect();
        let mut others = Some(others);
        let mut answered = Vec::new();
        let mut reservation = Reservation::default();
        let mut full = Vec::new();
        let mut failed = 0;
        while view.has_quorum_without(&full) {
            let has_quorum = view.has_quorum(&answered);
            if has_quorum && (request.previous.is_none() || reservation.chain.is_some()) {
                break;
            }
            match time::timeout(FALLBACK_DELAY, calls.next()).await {
                Ok(Some((
                    disk,
                    Ok(ReplyBody::Opened { others, chain, upstream, has_gap, settled }),
                ))) => {
                    answered.push(disk);
                    // New members have yet to copy what the current ones hold.
                    if view.set.contains_disk(disk) {
                        reservation.accounts.add(AccountReport { others, settled });
                    }
                    reservation.chain = reservation.chain.or(chain);
                    reservation.upstream = reservation.upstream.or(upstream);
                    reservation.has_gap |= has_gap;
                }
                // The other members may have room left.
                Ok(Some((disk, Ok(ReplyBody::Full)))) => full.push(disk),
                Ok(Some((_, Err(_)))) => failed += 1,
                Ok(Some((disk, Ok(other)))) => {
                    return Err(self.handle_refusal(disk, other));
                }
                // A quorum holds the reservation; the chain is read from
                // another member.
                Ok(None) | Err(_) if has_quorum => break,
                Ok(None) | Err(_) => match others.take() {
                    Some(others) => calls.extend(others.iter().map(|link| call(link, op(link)))),
                    None if calls.is_empty() => break,
                    None => {}
                },
            }
        }
        if view.has_quorum(&answered) {
            return Ok(reservation);
        }
        log::info!(
            "event=open_short request={} partition={} epoch={} opened={} full={} failed={failed} \
             unanswered={}",
            request.key.turn,
            view.scope.partition,
            view.scope.epoch,
            answered.len(),
            full.len(),
            calls.len()
        );
        match view.has_quorum_without(&full) {
            true => Err(LedgerError::Unavailable("too few members answered")),
            false => Err(LedgerError::Full),
        }
    }

    /// Whether any of the preferred members reports in time that a program has
    /// an account.
    pub async fn has_account(&self, program: &Name, deadline: Instant) -> bool {
        let partition = lock(&self.state).layout.partition(program);
        let view = self.view(partition);
        let preferred = view.links[..view.preferred].iter().filter(|link| link.is_usable());
        let mut calls: FuturesUnordered<_> =
            preferred.map(|link| link.call(view.scope, Op::HasAccount(program.clone()))).collect();
        let deadline = deadline.min(Instant::now() + ACCOUNT_TIMEOUT);
        while let Ok(Some(reply)) = time::timeout_at(deadline, calls.next()).await {
            if let Ok(ReplyBody::HasAccount(true)) = reply {
                return true;
            }
        }
        false
    }

    /// Reports what a turn without a stored record has spent, and which replica
    /// ran it.
    pub fn settle(&self, key: &TurnKey, tokens: u32, run: Option<LastRun>) {
        let Some(program) = key.program.clone() else { return };
        let view = self.view(self.partition(key));
        let settle = Some((program, tokens));
        let op =
            Op::Close { turn: key.turn.clone(), settle, record: None, run, missed: Vec::new() };
        view.links.iter().for_each(|link| link.notify(view.scope, op.clone()));
    }

    /// Ends a completed turn. `tokens` is what it spent if its program has a
    /// budget. Returns once a write quorum of disks holds the turn.
    pub async fn close(
        &self,
        key: &TurnKey,
        tokens: Option<u32>,
        record: TurnRecord,
    ) -> Result<(), LedgerError> {
        if record.text.len() > TEXT_MAX_BYTES {
            return Err(LedgerError::TooLong);
        }
        let settle = key.program.clone().zip(tokens);
        let record = Some(record);
        let op =
            Op::Close { turn: key.turn.clone(), settle, record, run: None, missed: Vec::new() };
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
        let (preferred, others) = view.links.split_at(view.preferred);
        let mut calls: FuturesUnordered<_> = preferred.iter().map(call).collect();
        let mut others = Some(others);
        let mut holders = Vec::new();
        while !view.set.has_write_quorum(&holders) {
            match time::timeout(FALLBACK_DELAY, calls.next()).await {
                Ok(Some((disk, Ok(ReplyBody::Closed)))) => holders.push(disk),
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
        // The remaining members store it soon; their replies are not awaited.
        true
    }

    /// Handles a refusal, which ends the attempt: the member set has changed,
    /// and the links to members that left it are closed.
    pub(crate) fn handle_refusal(&self, disk: u64, body: ReplyBody) -> LedgerError {
        match body {
            ReplyBody::Stale(layout) => self.set_layout(layout),
            other => log::warn!("event=ledger_refused disk={disk} answer={other:?}"),
        }
        LedgerError::Unavailable("the set has changed")
    }
}
