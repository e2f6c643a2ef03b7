//! Queue of one replica: ordered by rank, with a floor for each lower rank.

use std::time::{Duration, Instant};

use gg_protocol::{Name, Rank, config::RANKS};

use crate::DecayingUsage;

/// A call that waits for a slot.
#[derive(Debug)]
pub struct QueuedCall<T> {
    /// Rank of the program.
    pub rank: Rank,
    /// Customer of the program.
    pub customer: Name,
    /// Whether the program has already finished a turn.
    pub under_way: bool,
    /// Deadline of the whole program, as wall time in ms.
    pub deadline_ms: u64,
    /// Expected engine time, in ms.
    pub cost_ms: u64,
    /// Whether the call must run with no other call on the replica.
    pub alone: bool,
    /// Handle of the waiting request.
    pub item: T,
}

/// Half-life of the usage that floors and fairness are based on.
const USAGE_HALF_LIFE: Duration = Duration::from_secs(10);

/// Customers are treated as equal if their recent usage differs by less than
/// this, in ms of engine time.
const FAIRNESS_STEP_MS: f64 = 2_000.0;

/// Calls that wait for one replica.
#[derive(Debug)]
pub struct RankQueue<T> {
    waiting: [Vec<QueuedCall<T>>; RANKS],
    floors: [f64; RANKS],
    rank_usage: DecayingUsage<u8>,
    customer_usage: DecayingUsage<Name>,
}

impl<T> RankQueue<T> {
    /// Creates an empty queue; `floors` are shares of engine time by rank.
    pub fn new(floors: [f64; RANKS], now: Instant) -> Self {
        RankQueue {
            waiting: Default::default(),
            floors,
            rank_usage: DecayingUsage::new(USAGE_HALF_LIFE, now),
            customer_usage: DecayingUsage::new(USAGE_HALF_LIFE, now),
        }
    }

    /// Replaces the floors.
    pub fn set_floors(&mut self, floors: [f64; RANKS]) {
        self.floors = floors;
    }

    /// Number of waiting calls.
    pub fn len(&self) -> usize {
        self.waiting.iter().map(Vec::len).sum()
    }

    /// Whether no call is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.iter().all(Vec::is_empty)
    }

    /// Number of waiting calls, by rank.
    pub fn lengths(&self) -> [usize; RANKS] {
        std::array::from_fn(|rank| self.waiting[rank].len())
    }

    /// Adds a call.
    pub fn push(&mut self, call: QueuedCall<T>) {
        self.waiting[index(call.rank)].push(call);
    }

    /// Removes and returns the calls that match `predicate`.
    pub fn remove(&mut self, mut predicate: impl FnMut(&T) -> bool) -> Vec<QueuedCall<T>> {
        let mut removed = Vec::new();
        for calls in &mut self.waiting {
            removed.extend(calls.extract_if(.., |call| predicate(&call.item)));
        }
        removed
    }

    /// Returns the call that [`RankQueue::pop`] would return.
    pub fn peek(&self, now_ms: u64) -> Option<&QueuedCall<T>> {
        let rank = self.next_rank()?;
        let best = self.best(rank, now_ms)?;
        self.waiting[rank].get(best)
    }

    /// Removes the next call and charges its expected engine time.
    pub fn pop(&mut self, now_ms: u64, now: Instant) -> Option<QueuedCall<T>> {
        let rank = self.next_rank()?;
        let best = self.best(rank, now_ms)?;
        let call = self.waiting[rank].swap_remove(best);
        self.charge(call.rank, &call.customer, call.cost_ms as f64, now);
        Some(call)
    }

    /// Charges engine time, or the difference between actual and expected
    /// time.
    pub fn charge(&mut self, rank: Rank, customer: &Name, ms: f64, now: Instant) {
        self.rank_usage.add(rank.0, ms, now);
        self.customer_usage.add(customer.clone(), ms, now);
    }

    /// Most urgent rank with waiting calls, unless a lower rank with waiting
    /// calls has used less than its floor of the recent engine time.
    fn next_rank(&self) -> Option<usize> {
        let most_urgent = self.waiting.iter().position(|calls| !calls.is_empty())?;
        let total = self.rank_usage.total();
        let below_floor = |rank: &usize| {
            let used = self.rank_usage.used(&(*rank as u8));
            !self.waiting[*rank].is_empty() && used < self.floors[*rank] * total
        };
        Some((most_urgent + 1..RANKS).find(below_floor).unwrap_or(most_urgent))
    }

    /// Best call within a rank. Calls that can still meet their deadline come
    /// first, then programs that have finished a turn, then the customer with
    /// the least recent usage, then the earliest deadline.
    fn best(&self, rank: usize, now_ms: u64) -> Option<usize> {
        let order = |call: &QueuedCall<T>| {
            let late = call.deadline_ms < now_ms + call.cost_ms;
            let used = self.customer_usage.used(&call.customer);
            let used = (used / FAIRNESS_STEP_MS) as u64;
            (late, !call.under_way, used, call.deadline_ms)
        };
        let calls = self.waiting[rank].iter().enumerate();
        calls.min_by_key(|(_, call)| order(call)).map(|(index, _)| index)
    }
}

fn index(rank: Rank) -> usize {
    usize::from(rank.0).min(RANKS - 1)
}
