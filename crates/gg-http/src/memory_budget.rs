//! Budget for the memory that the clients of a process make it hold.

use std::{
    pin::pin,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use tokio::sync::Notify;

use crate::HttpError;

/// Size above which a request that gets on gives way to one that was read.
const SMALL_BYTES: usize = 64 << 10;

/// A request leaves this many times its own size to smaller ones.
const SPARE_FACTOR: usize = 2;

/// No request has to leave more than one in this many bytes of the budget.
const SPARE_DIVISOR: usize = 4;

/// One in this many bytes of the budget is out of reach of any single request.
const OTHERS_DIVISOR: usize = 3;

/// Time without progress after which an incomplete request may be given up for
/// others. Clients that send less than a block in this time are rare.
const STALL_TIME: Duration = Duration::from_millis(250);

/// What a holder of memory is doing. Earlier stages are given up first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// A request of which a part has arrived.
    Receiving,
    /// A connection that was answered and is closing.
    Closing,
    /// A connection between two requests.
    Idle,
    /// A request that was read; it is never given up.
    Working,
}

impl Stage {
    /// Name in logs.
    fn as_str(self) -> &'static str {
        match self {
            Stage::Closing => "closing",
            Stage::Receiving => "receiving",
            Stage::Idle => "idle",
            Stage::Working => "working",
        }
    }
}

/// Why memory was not reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryError {
    /// The budget is used up by others, or the holder had to give way.
    Full,
    /// The budget is too small, whoever else uses it.
    TooLarge,
}

impl From<MemoryError> for HttpError {
    fn from(err: MemoryError) -> Self {
        match err {
            MemoryError::Full => HttpError::NoMemory,
            MemoryError::TooLarge => HttpError::TooLarge,
        }
    }
}

/// Counts the memory that clients make a process hold, and decides who gives way when
/// it is used up. Clones share the budget.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    max: usize,
    holders: Mutex<Holders>,
    /// Notified when memory was released.
    freed: Notify,
    refused: AtomicU64,
}

#[derive(Debug, Default)]
struct Holders {
    /// Bytes of all holders.
    bytes: usize,
    /// Bytes of holders that were told to give way and have not released them.
    leaving: usize,
    /// Number of holders that were told to give way so far.
    evicted: u64,
    next_id: u64,
    all: IndexMap<u64, Holder>,
}

#[derive(Debug)]
struct Holder {
    bytes: usize,
    stage: Stage,
    /// Start of the stage, or the last progress in it.
    since: Instant,
    is_evicted: bool,
    eviction: Arc<Notify>,
}

impl Holder {
    /// Whether the holder may be given up for one in stage `other`: once it has stalled,
    /// and for a request that was read, also before.
    fn may_leave(&self, other: Stage, now: Instant) -> bool {
        let is_stalled = now.duration_since(self.since) >= STALL_TIME;
        let is_later =
            other == Stage::Working && self.stage == Stage::Receiving && self.bytes > SMALL_BYTES;
        (is_stalled || is_later) && !self.is_evicted && self.stage != Stage::Working
    }

    /// What the holder costs others: its bytes for the time without progress. Idle
    /// connections hold about the same and differ by the time.
    fn cost(&self, now: Instant) -> u128 {
        self.bytes as u128 * now.duration_since(self.since).as_micros()
    }
}

/// Bytes of a budget that one request may hold.
fn request_max(max: usize) -> usize {
    max - max / OTHERS_DIVISOR
}

/// Bytes of a budget that have to stay free beside a request of `size` bytes, so that the
/// larger ones are refused first.
fn spare_bytes(size: usize, max: usize) -> usize {
    size.saturating_mul(SPARE_FACTOR).min(max / SPARE_DIVISOR)
}

/// What came of an attempt to reserve memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Growth {
    Granted,
    Refused(MemoryError),
    /// Others give way.
    Pending,
}

impl Holders {
    /// Reserves memory for a holder, or makes others give way.
    fn grow(&mut self, id: u64, bytes: usize, max: usize, now: Instant) -> Growth {
        let Some(holder) = self.all.get(&id).filter(|holder| !holder.is_evicted) else {
            return Growth::Refused(MemoryError::Full);
        };
        let stage = holder.stage;
        let size = holder.bytes + bytes;
        if size > request_max(max) {
            return Growth::Refused(MemoryError::TooLarge);
        }
        let limit = max - spare_bytes(size, max);
        let total = self.bytes + bytes;
        if total <= limit {
            self.add(id, bytes);
            return Growth::Granted;
        }
        if self.make_room(total - limit, id, stage, now) {
            Growth::Pending
        } else {
            Growth::Refused(MemoryError::Full)
        }
    }

    fn add(&mut self, id: u64, bytes: usize) {
        if let Some(holder) = self.all.get_mut(&id) {
            holder.bytes += bytes;
            self.bytes += bytes;
            if holder.is_evicted {
                self.leaving += bytes;
            }
        }
    }

    fn remove(&mut self, id: u64, bytes: usize) {
        if let Some(holder) = self.all.get_mut(&id) {
            let bytes = bytes.min(holder.bytes);
            holder.bytes -= bytes;
            self.bytes -= bytes;
            if holder.is_evicted {
                self.leaving -= bytes;
            }
        }
    }

    /// Makes holders give way for the one that is `asking`, which is in `stage`, until
    /// `bytes` are about to be released; those first that cost others the most. Returns
    /// whether enough could be found; nobody gives way in vain.
    fn make_room(&mut self, bytes: usize, asking: u64, stage: Stage, now: Instant) -> bool {
        let mut missing = bytes.saturating_sub(self.leaving);
        let is_candidate = |(id, holder): &(&u64, &Holder)| {
            **id != asking && holder.bytes > 0 && holder.may_leave(stage, now)
        };
        let mut candidates: Vec<(u64, &Holder)> =
            self.all.iter().filter(is_candidate).map(|(id, holder)| (*id, holder)).collect();
        if candidates.iter().map(|(_, holder)| holder.bytes).sum::<usize>() < missing {
            return false;
        }
        candidates.sort_by_cached_key(|(_, holder)| (holder.stage, !holder.cost(now)));
        let mut chosen = Vec::new();
        for (id, holder) in candidates {
            if missing == 0 {
                break;
            }
            missing = missing.saturating_sub(holder.bytes);
            chosen.push(id);
        }
        chosen.into_iter().for_each(|id| self.evict(id, now));
        true
    }

    /// Makes the holder give way that costs others the most.
    fn evict_worst(&mut self, now: Instant) {
        let candidates =
            self.all.iter().filter(|(_, holder)| holder.may_leave(Stage::Receiving, now));
        let worst = candidates.min_by_key(|(_, holder)| (holder.stage, !holder.cost(now)));
        if let Some(id) = worst.map(|(id, _)| *id) {
            self.evict(id, now);
        }
    }

    /// Makes a holder give way.
    fn evict(&mut self, id: u64, now: Instant) {
        let Some(holder) = self.all.get_mut(&id) else { return };
        holder.is_evicted = true;
        holder.eviction.notify_one();
        self.leaving += holder.bytes;
        self.evicted += 1;
        log::info!(
            "event=client_evicted stage={} bytes={} stalled_ms={}",
            holder.stage.as_str(),
            holder.bytes,
            now.duration_since(holder.since).as_millis()
        );
    }
}

impl Default for MemoryBudget {
    /// A budget without a limit.
    fn default() -> Self {
        MemoryBudget::new(usize::MAX)
    }
}

impl MemoryBudget {
    /// A budget of `max` bytes.
    pub fn new(max: usize) -> Self {
        let shared = Shared {
            max,
            holders: Mutex::default(),
            freed: Notify::new(),
            refused: AtomicU64::new(0),
        };
        MemoryBudget { shared: Arc::new(shared) }
    }

    /// Size of the budget in bytes.
    pub fn max_bytes(&self) -> usize {
        self.shared.max
    }

    /// Bytes that one request may hold.
    pub fn request_bytes_max(&self) -> usize {
        request_max(self.shared.max)
    }

    /// Bytes that are reserved.
    pub fn bytes(&self) -> usize {
        self.holders().bytes
    }

    /// Number of connections and requests that were given up for others.
    pub fn evicted(&self) -> u64 {
        self.holders().evicted
    }

    /// Number of requests that found no room.
    pub fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }

    /// Reserves memory for work that is not given up.
    pub async fn reserve(&self, bytes: usize) -> Result<Reservation, MemoryError> {
        let reservation = self.reservation(Stage::Working);
        reservation.grow(bytes).await?;
        Ok(reservation)
    }

    /// Reserves memory for work that is not given up, however long it takes until there is
    /// room. What could never fit takes as much as one request may.
    pub async fn reserve_patiently(&self, bytes: usize) -> Reservation {
        let reservation = self.reservation(Stage::Working);
        reservation.grow_patiently(bytes.min(self.request_bytes_max())).await;
        reservation
    }

    /// Creates an empty reservation for work that is not given up.
    pub fn empty_reservation(&self) -> Reservation {
        self.reservation(Stage::Working)
    }

    /// Creates an empty reservation.
    pub(crate) fn reservation(&self, stage: Stage) -> Reservation {
        let mut holders = self.holders();
        let id = holders.next_id;
        holders.next_id += 1;
        let eviction = Arc::new(Notify::new());
        let holder = Holder {
            bytes: 0,
            stage,
            since: Instant::now(),
            is_evicted: false,
            eviction: eviction.clone(),
        };
        holders.all.insert(id, holder);
        drop(holders);
        Reservation { budget: self.clone(), id, eviction }
    }

    /// Makes the connection or request give way that costs others the most.
    pub(crate) fn evict_worst(&self) {
        self.holders().evict_worst(Instant::now());
    }

    fn holders(&self) -> MutexGuard<'_, Holders> {
        self.shared.holders.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Memory that one connection or request holds; released on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    id: u64,
    eviction: Arc<Notify>,
}

impl Reservation {
    /// Reserves `bytes` more. Waits while others give way.
    pub async fn grow(&self, bytes: usize) -> Result<(), MemoryError> {
        loop {
            let mut freed = pin!(self.budget.shared.freed.notified());
            freed.as_mut().enable();
            match self.try_grow(bytes) {
                Growth::Granted => return Ok(()),
                Growth::Refused(err) => {
                    self.budget.shared.refused.fetch_add(1, Ordering::Relaxed);
                    return Err(err);
                }
                Growth::Pending => freed.await,
            }
        }
    }

    /// Reserves `bytes` more, or as much as one request may hold. Returns the bytes that were
    /// reserved.
    pub async fn grow_within_max(&self, bytes: usize) -> Result<usize, MemoryError> {
        let left = self.budget.request_bytes_max().saturating_sub(self.bytes());
        let bytes = bytes.min(left);
        self.grow(bytes).await?;
        Ok(bytes)
    }

    /// Counts `bytes` in all that are held in any case.
    pub fn resize(&self, bytes: usize) {
        let held = self.bytes();
        match bytes > held {
            true => self.grow_anyway(bytes - held),
            false => self.shrink(held - bytes),
        }
    }

    /// Releases `bytes` of what is reserved.
    pub fn shrink(&self, bytes: usize) {
        self.budget.holders().remove(self.id, bytes);
        self.budget.shared.freed.notify_waiters();
    }

    /// Reserves `bytes` more, however long it takes until there is room.
    pub(crate) async fn grow_patiently(&self, bytes: usize) {
        loop {
            let mut freed = pin!(self.budget.shared.freed.notified());
            freed.as_mut().enable();
            match self.try_grow(bytes) {
                Growth::Granted => return,
                // Holders may leave that have stalled meanwhile.
                Growth::Refused(_) | Growth::Pending => {
                    let _ = tokio::time::timeout(STALL_TIME, freed).await;
                }
            }
        }
    }

    /// Counts `bytes` more that are held in any case, and makes others give way if they
    /// exceed the budget.
    pub(crate) fn grow_anyway(&self, bytes: usize) {
        let mut holders = self.budget.holders();
        holders.add(self.id, bytes);
        let excess = holders.bytes.saturating_sub(self.budget.max_bytes());
        if excess > 0 {
            holders.make_room(excess, self.id, Stage::Receiving, Instant::now());
        }
    }

    /// Reserves `bytes` more for a head, or makes others give way so that there may be room
    /// later.
    pub(crate) fn try_grow_head(&self, bytes: usize) -> bool {
        self.try_grow(bytes) == Growth::Granted
    }

    /// Enters a stage. A request that is complete is no longer given up.
    pub(crate) fn enter(&self, stage: Stage) {
        let mut holders = self.budget.holders();
        let Some(holder) = holders.all.get_mut(&self.id) else { return };
        holder.stage = stage;
        holder.since = Instant::now();
        if stage == Stage::Working && std::mem::take(&mut holder.is_evicted) {
            let bytes = holder.bytes;
            holders.leaving -= bytes;
            drop(holders);
            // Others have to give way instead.
            self.budget.shared.freed.notify_waiters();
        }
    }

    /// Enters a stage unless the holder is in another one than `from`.
    pub(crate) fn enter_from(&self, from: Stage, stage: Stage) {
        if self.stage() == Some(from) {
            self.enter(stage);
        }
    }

    /// Records that more of a request has arrived.
    pub(crate) fn record_progress(&self) {
        if let Some(holder) = self.budget.holders().all.get_mut(&self.id) {
            holder.since = Instant::now();
        }
    }

    /// Waits until the holder has to give way.
    pub(crate) async fn evicted(&self) {
        while !self.is_evicted() {
            self.eviction.notified().await;
        }
    }

    pub(crate) fn stage(&self) -> Option<Stage> {
        self.budget.holders().all.get(&self.id).map(|holder| holder.stage)
    }

    /// Bytes that are reserved.
    pub fn bytes(&self) -> usize {
        self.budget.holders().all.get(&self.id).map_or(0, |holder| holder.bytes)
    }

    fn is_evicted(&self) -> bool {
        self.budget.holders().all.get(&self.id).is_some_and(|holder| holder.is_evicted)
    }

    fn try_grow(&self, bytes: usize) -> Growth {
        let max = self.budget.max_bytes();
        self.budget.holders().grow(self.id, bytes, max, Instant::now())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut holders = self.budget.holders();
        let bytes = holders.all.get(&self.id).map_or(0, |holder| holder.bytes);
        holders.remove(self.id, bytes);
        holders.all.swap_remove(&self.id);
        drop(holders);
        self.budget.shared.freed.notify_waiters();
    }
}
