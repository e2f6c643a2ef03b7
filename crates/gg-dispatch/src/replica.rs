//! One replica as its dispatcher sees it.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use gg_protocol::{
    JournalId, Name, Rank,
    clock::wall_ms,
    config::RANKS,
    peer::{QueueView, SlotOutcome, SlotRequest},
};
use tokio::sync::oneshot;

use crate::{AdaptiveLimit, LimitSettings, RankQueue, Waiting};

/// Identifies a request for a slot.
pub(crate) type Ticket = (JournalId, u64);

/// One who waits for a slot.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) ticket: Ticket,
    pub(crate) granted: oneshot::Sender<()>,
}

/// A slot in use.
#[derive(Debug)]
struct Held {
    rank: Rank,
    customer: Name,
    cost_ms: u64,
    alone: bool,
    since: Instant,
    expires: Instant,
}

/// Weight of the newest call in the mean service time.
const MEAN_WEIGHT: f64 = 0.1;

/// First time that a failing replica gets no work.
const EJECT_FIRST: Duration = Duration::from_millis(250);

/// Longest time that a failing replica gets no work.
const EJECT_MAX: Duration = Duration::from_secs(10);

/// Slots not given back by then are taken back, past the request's patience.
const HOLD_SLACK: Duration = Duration::from_secs(300);

/// State of one replica.
#[derive(Debug)]
pub(crate) struct Replica {
    pub(crate) limit: AdaptiveLimit,
    pub(crate) queue: RankQueue<Waiter>,
    held: HashMap<Ticket, Held>,
    mean_ms: f64,
    failures: u32,
    ejected: Option<Instant>,
    pub(crate) leaving: bool,
}

impl Replica {
    pub(crate) fn new(limits: LimitSettings, slots: u32, floors: [f64; RANKS]) -> Self {
        Replica {
            limit: AdaptiveLimit::new(limits, slots),
            queue: RankQueue::new(floors, Instant::now()),
            held: HashMap::new(),
            mean_ms: 0.0,
            failures: 0,
            ejected: None,
            leaving: false,
        }
    }

    /// Expected wait of a new call of `rank`, in ms.
    pub(crate) fn wait_ms(&self, rank: usize) -> u64 {
        let limit = self.limit.get() as usize;
        let ahead: usize = self.queue.lengths()[..=rank].iter().sum();
        let busy = self.held.len() + ahead;
        let queued = match busy >= limit {
            true => (busy + 1 - limit) as f64 * self.mean_ms / limit as f64,
            false => 0.0,
        };
        let back = self.ejected.map_or(Duration::ZERO, |until| until - Instant::now().min(until));
        queued as u64 + back.as_millis() as u64
    }

    pub(crate) fn push(&mut self, request: &SlotRequest, granted: oneshot::Sender<()>) {
        let ticket = (request.home.clone(), request.ticket);
        self.queue.push(Waiting {
            rank: request.rank,
            customer: request.customer.clone(),
            under_way: request.under_way,
            deadline_ms: request.deadline_ms,
            cost_ms: request.cost_ms,
            alone: request.alone,
            item: Waiter { ticket, granted },
        });
    }

    /// Gives free slots to those whose turn it is.
    pub(crate) fn pump(&mut self) {
        let now = Instant::now();
        self.held.retain(|_, held| held.expires > now);
        if self.leaving {
            // Dropping the senders tells those who wait that it is closed.
            self.queue.remove(|_| true);
            return;
        }
        if self.ejected.is_some_and(|until| until > now) {
            return;
        }
        while self.has_room() {
            let Some(call) = self.queue.pop(wall_ms(), now) else { return };
            self.grant(call, now);
        }
        if !self.queue.is_empty() {
            self.limit.note_reached();
        }
    }

    /// Whether the next call in the queue may start now.
    fn has_room(&self) -> bool {
        let Some(next) = self.queue.peek(wall_ms()) else { return false };
        if self.held.values().any(|held| held.alone) {
            return false;
        }
        match next.alone {
            true => self.held.is_empty(),
            false => self.held.len() < self.limit.get() as usize,
        }
    }

    fn grant(&mut self, call: Waiting<Waiter>, now: Instant) {
        let held = Held {
            rank: call.rank,
            customer: call.customer,
            cost_ms: call.cost_ms,
            alone: call.alone,
            since: now,
            expires: now + HOLD_SLACK,
        };
        let ticket = call.item.ticket;
        if call.item.granted.send(()).is_ok() {
            self.held.insert(ticket, held);
        } else {
            let refund = -(held.cost_ms as f64);
            self.queue.charge(held.rank, &held.customer, refund, now);
        }
    }

    /// Takes a slot back, or takes the request out of the queue.
    pub(crate) fn release(&mut self, ticket: &Ticket, outcome: SlotOutcome) {
        let now = Instant::now();
        if let Some(held) = self.held.remove(ticket) {
            let actual = now.duration_since(held.since).as_secs_f64() * 1000.0;
            let difference = actual - held.cost_ms as f64;
            self.queue.charge(held.rank, &held.customer, difference, now);
        } else {
            self.queue.remove(|waiter| waiter.ticket == *ticket);
        }
        self.learn(outcome, now);
        self.pump();
    }

    fn learn(&mut self, outcome: SlotOutcome, now: Instant) {
        match outcome {
            SlotOutcome::Finished { first_ms, token_ms, total_ms } => {
                self.failures = 0;
                self.mean_ms = match self.mean_ms {
                    0.0 => total_ms,
                    mean => mean + MEAN_WEIGHT * (total_ms - mean),
                };
                self.limit.sample(first_ms, token_ms, now);
            }
            SlotOutcome::Cancelled => {}
            SlotOutcome::Failed => self.eject(now),
            SlotOutcome::Crashed => {
                self.eject(now);
                self.limit.restart();
            }
        }
    }

    /// Keeps work away for a time that doubles with each failure in a row.
    fn eject(&mut self, now: Instant) {
        let pause = EJECT_FIRST * 2_u32.pow(self.failures.min(10));
        self.failures += 1;
        self.ejected = Some(now + pause.min(EJECT_MAX));
    }

    /// Until when no work is given, if that lies ahead.
    pub(crate) fn ejected_until(&self) -> Option<Instant> {
        self.ejected.filter(|until| *until > Instant::now())
    }

    /// Takes back all slots and requests of a home.
    pub(crate) fn drop_home(&mut self, home: &JournalId) {
        self.held.retain(|ticket, _| ticket.0 != *home);
        self.queue.remove(|waiter| waiter.ticket.0 == *home);
        self.pump();
    }

    pub(crate) fn view(&self, upstream: &Name) -> QueueView {
        QueueView {
            upstream: upstream.clone(),
            in_flight: self.held.len() as u32,
            limit: self.limit.get(),
            waiting: self.queue.lengths().iter().map(|&count| count as u32).collect(),
            wait_ms: (0..RANKS).map(|rank| self.wait_ms(rank)).collect(),
        }
    }
}
