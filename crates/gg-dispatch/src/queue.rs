//! Queue of one replica: rank first, with a floor for each lower rank.

use std::time::{Duration, Instant};

use gg_protocol::{Name, Rank, config::RANKS};

use crate::Shares;

/// A call that waits for a slot.
#[derive(Debug)]
pub struct Waiting<T> {
    /// Rank of the program.
    pub rank: Rank,
    /// Customer of the program.
    pub customer: Name,
    /// Whether the program has finished a turn already.
    pub under_way: bool,
    /// Wall time by which the whole program is to finish, in ms.
    pub deadline_ms: u64,
    /// Expected engine time, in ms.
    pub cost_ms: u64,
    /// Has to run with no other call on the replica.
    pub alone: bool,
    /// Who waits.
    pub item: T,
}

/// Recent past that floors and fairness look at.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Customers whose recent use differs by less than this are alike, in ms of
/// engine time.
const FAIR_STEP_MS: f64 = 2_000.0;

/// Waiting calls of one replica.
#[derive(Debug)]
pub struct RankQueue<T> {
    waiting: [Vec<Waiting<T>>; RANKS],
    floors: [f64; RANKS],
    by_rank: Shares<u8>,
    by_customer: Shares<Name>,
}

impl<T> RankQueue<T> {
    /// An empty queue; `floors` are shares of engine time by rank.
    pub fn new(floors: [f64; RANKS], now: Instant) -> Self {
        RankQueue {
            waiting: Default::default(),
            floors,
            by_rank: Shares::new(HALF_LIFE, now),
            by_customer: Shares::new(HALF_LIFE, now),
        }
    }

    /// Puts other floors in force.
    pub fn set_floors(&mut self, floors: [f64; RANKS]) {
        self.floors = floors;
    }

    /// Number of calls that wait.
    pub fn len(&self) -> usize {
        self.waiting.iter().map(Vec::len).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.iter().all(Vec::is_empty)
    }

    /// Number of calls that wait, by rank.
    pub fn lengths(&self) -> [usize; RANKS] {
        std::array::from_fn(|rank| self.waiting[rank].len())
    }

    /// Adds a call.
    pub fn push(&mut self, call: Waiting<T>) {
        self.waiting[index(call.rank)].push(call);
    }

    /// Takes out the calls for which `gone` holds.
    pub fn remove(&mut self, mut gone: impl FnMut(&T) -> bool) -> Vec<Waiting<T>> {
        let mut removed = Vec::new();
        for calls in &mut self.waiting {
            removed.extend(calls.extract_if(.., |call| gone(&call.item)));
        }
        removed
    }

    /// The call that [`RankQueue::pop`] would take.
    pub fn peek(&self, now_ms: u64) -> Option<&Waiting<T>> {
        let rank = self.next_rank()?;
        let best = self.best(rank, now_ms)?;
        self.waiting[rank].get(best)
    }

    /// Takes the next call and charges its expected engine time.
    pub fn pop(&mut self, now_ms: u64, now: Instant) -> Option<Waiting<T>> {
        let rank = self.next_rank()?;
        let best = self.best(rank, now_ms)?;
        let call = self.waiting[rank].swap_remove(best);
        self.charge(call.rank, &call.customer, call.cost_ms as f64, now);
        Some(call)
    }

    /// Charges engine time, or the difference to an estimate.
    pub fn charge(&mut self, rank: Rank, customer: &Name, ms: f64, now: Instant) {
        self.by_rank.add(rank.0, ms, now);
        self.by_customer.add(customer.clone(), ms, now);
    }

    /// The most urgent rank that waits, unless a lower one is below its
    /// floor of recent engine time.
    fn next_rank(&self) -> Option<usize> {
        let urgent = self.waiting.iter().position(|calls| !calls.is_empty())?;
        let total = self.by_rank.total();
        let starved = |rank: &usize| {
            let used = self.by_rank.used(&(*rank as u8));
            !self.waiting[*rank].is_empty() && used < self.floors[*rank] * total
        };
        Some((urgent + 1..RANKS).find(starved).unwrap_or(urgent))
    }

    /// The best call within a rank: those that can still meet their deadline
    /// first, then programs under way, then the customer that used least,
    /// then the earliest deadline.
    fn best(&self, rank: usize, now_ms: u64) -> Option<usize> {
        let order = |call: &Waiting<T>| {
            let late = call.deadline_ms < now_ms + call.cost_ms;
            let used = self.by_customer.used(&call.customer);
            let used = (used / FAIR_STEP_MS) as u64;
            (late, !call.under_way, used, call.deadline_ms)
        };
        let calls = self.waiting[rank].iter().enumerate();
        calls.min_by_key(|(_, call)| order(call)).map(|(index, _)| index)
    }
}

fn index(rank: Rank) -> usize {
    usize::from(rank.0).min(RANKS - 1)
}
