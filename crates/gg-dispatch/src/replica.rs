//! State of one replica in its dispatcher.

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

use crate::{AdaptiveLimit, LimitSettings, QueuedCall, RankQueue};

/// Identifies a request for a slot.
pub(crate) type Ticket = (JournalId, u64);

/// A request that waits for a slot.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) ticket: Ticket,
    pub(crate) granted: oneshot::Sender<()>,
}

/// A slot in use.
#[derive(Debug)]
struct HeldSlot {
    rank: Rank,
    customer: Name,
    cost_ms: u64,
    alone: bool,
    since: Instant,
    expires: Instant,
}

/// Weight of the latest call in the mean service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// Duration of the first ejection of a failing replica.
const EJECTION_MIN: Duration = Duration::from_millis(250);

/// Maximum duration of an ejection.
const EJECTION_MAX: Duration = Duration::from_secs(10);

/// Time after the grant at which a slot that was not released is reclaimed,
/// independent of the request's wait timeout.
const SLOT_LEASE: Duration = Duration::from_secs(300);

/// Slots, queue and health of one replica.
#[derive(Debug)]
pub(crate) struct Replica {
    pub(crate) limit: AdaptiveLimit,
    pub(crate) queue: RankQueue<Waiter>,
    held: HashMap<Ticket, HeldSlot>,
    service_ms: f64,
    failures: u32,
    ejected: Option<Instant>,
    pub(crate) draining: bool,
}

impl Replica {
    pub(crate) fn new(limits: LimitSettings, slots: u32, floors: [f64; RANKS]) -> Self {
        Replica {
            limit: AdaptiveLimit::new(limits, slots),
            queue: RankQueue::new(floors, Instant::now()),
            held: HashMap::new(),
            service_ms: 0.0,
            failures: 0,
            ejected: None,
            draining: false,
        }
    }

    /// Expected wait of a new call of `rank`, in ms.
    pub(crate) fn wait_ms(&self, rank: usize) -> u64 {
        let limit = self.limit.get() as usize;
        let ahead: usize = self.queue.lengths()[..=rank].iter().sum();
        let busy = self.held.len() + ahead;
        let queued = match busy >= limit {
            true => (busy + 1 - limit) as f64 * self.service_ms / limit as f64,
            false => 0.0,
        };
        let ejection =
            self.ejected.map_or(Duration::ZERO, |until| until - Instant::now().min(until));
        queued as u64 + ejection.as_millis() as u64
    }

    pub(crate) fn push(&mut self, request: &SlotRequest, granted: oneshot::Sender<()>) {
        let ticket = (request.home.clone(), request.ticket);
        self.queue.push(QueuedCall {
            rank: request.rank,
            customer: request.customer.clone(),
            under_way: request.under_way,
            deadline_ms: request.deadline_ms,
            cost_ms: request.cost_ms,
            alone: request.alone,
            item: Waiter { ticket, granted },
        });
    }

    /// Reclaims expired slots, then grants free slots to waiting calls in queue
    /// order.
    pub(crate) fn dispatch_waiting(&mut self) {
        let now = Instant::now();
        self.held.retain(|_, held| held.expires > now);
        if self.draining {
            // Dropping the senders notifies the waiting requests that the
            // replica is closed.
            self.queue.remove(|_| true);
            return;
        }
        if self.ejected.is_some_and(|until| until > now) {
            return;
        }
        while self.can_grant_next() {
            let Some(call) = self.queue.pop(wall_ms(), now) else { return };
            self.grant(call, now);
        }
        if !self.queue.is_empty() {
            self.limit.record_limit_reached();
        }
    }

    /// Returns whether the next call in the queue can start now.
    fn can_grant_next(&self) -> bool {
        let Some(next) = self.queue.peek(wall_ms()) else { return false };
        if self.held.values().any(|held| held.alone) {
            return false;
        }
        match next.alone {
            true => self.held.is_empty(),
            false => self.held.len() < self.limit.get() as usize,
        }
    }

    fn grant(&mut self, call: QueuedCall<Waiter>, now: Instant) {
        let held = HeldSlot {
            rank: call.rank,
            customer: call.customer,
            cost_ms: call.cost_ms,
            alone: call.alone,
            since: now,
            expires: now + SLOT_LEASE,
        };
        let ticket = call.item.ticket;
        if call.item.granted.send(()).is_ok() {
            self.held.insert(ticket, held);
        } else {
            let refund = -(held.cost_ms as f64);
            self.queue.charge(held.rank, &held.customer, refund, now);
        }
    }

    /// Releases a slot, or removes the request from the queue.
    pub(crate) fn release(&mut self, ticket: &Ticket, outcome: SlotOutcome) {
        let now = Instant::now();
        if let Some(held) = self.held.remove(ticket) {
            let actual = now.duration_since(held.since).as_secs_f64() * 1000.0;
            let difference = actual - held.cost_ms as f64;
            self.queue.charge(held.rank, &held.customer, difference, now);
        } else {
            self.queue.remove(|waiter| waiter.ticket == *ticket);
        }
        self.record_outcome(outcome, now);
        self.dispatch_waiting();
    }

    fn record_outcome(&mut self, outcome: SlotOutcome, now: Instant) {
        match outcome {
            SlotOutcome::Finished { first_ms, token_ms, total_ms } => {
                self.failures = 0;
                self.service_ms = match self.service_ms {
                    0.0 => total_ms,
                    mean => mean + SERVICE_TIME_WEIGHT * (total_ms - mean),
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

    /// Ejects the replica: it gets no work for a time that doubles with each
    /// consecutive failure.
    fn eject(&mut self, now: Instant) {
        let duration = EJECTION_MIN * 2_u32.pow(self.failures.min(10));
        self.failures += 1;
        self.ejected = Some(now + duration.min(EJECTION_MAX));
    }

    /// End of the current ejection, if there is one.
    pub(crate) fn ejected_until(&self) -> Option<Instant> {
        self.ejected.filter(|until| *until > Instant::now())
    }

    /// Reclaims all slots and removes all queued requests of a home.
    pub(crate) fn release_home(&mut self, home: &JournalId) {
        self.held.retain(|ticket, _| ticket.0 != *home);
        self.queue.remove(|waiter| waiter.ticket.0 == *home);
        self.dispatch_waiting();
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
