//! The dispatcher of a daemon: one queue for each replica that it is asked
//! about.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use gg_protocol::{
    JournalId, Name,
    config::RANKS,
    peer::{QueueView, SlotOutcome, SlotRelease, SlotReply, SlotRequest},
};
use indexmap::IndexMap;
use tokio::{sync::oneshot, time};

use crate::{
    LimitSettings,
    replica::{Replica, Ticket},
};

/// Settings of a dispatcher.
#[derive(Clone, Debug)]
pub struct DispatchSettings {
    /// Settings of the limit on calls in flight.
    pub limit: LimitSettings,
    /// Most calls that wait for one replica.
    pub queue_max: usize,
    /// Limit on a replica's calls before its configuration is known.
    pub default_slots: u32,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        DispatchSettings { limit: LimitSettings::default(), queue_max: 10_000, default_slots: 8 }
    }
}

/// Grants slots on replicas. Two daemons that both dispatch for a replica
/// for a moment only admit too much, which is safe.
#[derive(Clone, Debug, Default)]
pub struct Dispatcher {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    settings: DispatchSettings,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    replicas: IndexMap<Name, Arc<Mutex<Replica>>>,
    slots: IndexMap<Name, u32>,
    floors: [f64; RANKS],
}

impl Dispatcher {
    /// A dispatcher without replicas.
    pub fn new(settings: DispatchSettings) -> Self {
        Dispatcher { shared: Arc::new(Shared { settings, state: Mutex::default() }) }
    }

    /// Puts the configuration in force: slots by upstream, floors by rank as
    /// shares of engine time. Upstreams that are no longer named are closed.
    pub fn configure(&self, slots: IndexMap<Name, u32>, floors: [f64; RANKS]) {
        let mut state = lock(&self.shared.state);
        for (name, replica) in &state.replicas {
            let mut replica = lock(replica);
            replica.queue.set_floors(floors);
            if !slots.contains_key(name) {
                replica.leaving = true;
                replica.pump();
            }
        }
        state.replicas.retain(|name, _| slots.contains_key(name));
        state.slots = slots;
        state.floors = floors;
    }

    /// Opens or closes a replica for new work.
    pub fn set_leaving(&self, upstream: &Name, leaving: bool) {
        let replica = self.replica(upstream);
        let mut replica = lock(&replica);
        if replica.leaving != leaving {
            replica.leaving = leaving;
            replica.pump();
        }
    }

    /// Waits for a slot. Dropping the future leaves the queue, or gives back
    /// a slot granted in that moment.
    pub async fn acquire(&self, request: SlotRequest) -> SlotReply {
        let replica = self.replica(&request.upstream);
        let began = time::Instant::now();
        let (granted, wait) = oneshot::channel();
        let ejected = {
            let mut replica = lock(&replica);
            if replica.leaving {
                return SlotReply::Closed;
            }
            let expected = replica.wait_ms(usize::from(request.rank.0).min(RANKS - 1));
            let full = replica.queue.len() >= self.shared.settings.queue_max;
            if full || request.max_wait_ms.is_some_and(|max| expected > max) {
                return SlotReply::Busy { wait_ms: expected };
            }
            replica.push(&request, granted);
            replica.pump();
            replica.ejected_until()
        };
        if let Some(until) = ejected {
            pump_at(replica.clone(), until.into());
        }
        let mut guard = Guard { replica: &replica, ticket: Some(ticket(&request)) };
        let patience = Duration::from_millis(request.patience_ms);
        let reply = match time::timeout(patience, wait).await {
            Ok(Ok(())) => {
                guard.ticket = None;
                SlotReply::Granted { waited_ms: began.elapsed().as_millis() as u64 }
            }
            Ok(Err(_)) => SlotReply::Closed,
            Err(_) => SlotReply::Expired,
        };
        drop(guard);
        reply
    }

    /// Gives a slot back, or leaves the queue.
    pub fn release(&self, release: &SlotRelease) {
        let replica = self.replica(&release.upstream);
        let ticket = (release.home.clone(), release.ticket);
        let mut locked = lock(&replica);
        locked.release(&ticket, release.outcome);
        let ejected = locked.ejected_until();
        drop(locked);
        if let Some(until) = ejected {
            pump_at(replica, until.into());
        }
    }

    /// Takes back everything that a home holds or waits for.
    pub fn drop_home(&self, home: &JournalId) {
        let replicas: Vec<_> = lock(&self.shared.state).replicas.values().cloned().collect();
        for replica in replicas {
            lock(&replica).drop_home(home);
        }
    }

    /// The state of one replica's queue.
    pub fn view(&self, upstream: &Name) -> QueueView {
        lock(&self.replica(upstream)).view(upstream)
    }

    /// The state of all queues that this daemon was asked about.
    pub fn views(&self) -> Vec<QueueView> {
        let state = lock(&self.shared.state);
        state.replicas.iter().map(|(name, replica)| lock(replica).view(name)).collect()
    }

    fn replica(&self, upstream: &Name) -> Arc<Mutex<Replica>> {
        let mut state = lock(&self.shared.state);
        if let Some(replica) = state.replicas.get(upstream) {
            return replica.clone();
        }
        let settings = &self.shared.settings;
        let slots = state.slots.get(upstream).copied().unwrap_or(settings.default_slots);
        let replica = Replica::new(settings.limit.clone(), slots, state.floors);
        let replica = Arc::new(Mutex::new(replica));
        state.replicas.insert(upstream.clone(), replica.clone());
        replica
    }
}

fn ticket(request: &SlotRequest) -> Ticket {
    (request.home.clone(), request.ticket)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Looks at the queue again once the replica may get work again.
fn pump_at(replica: Arc<Mutex<Replica>>, at: time::Instant) {
    tokio::spawn(async move {
        time::sleep_until(at).await;
        lock(&replica).pump();
    });
}

/// Leaves the queue when the one who waits goes away.
struct Guard<'a> {
    replica: &'a Mutex<Replica>,
    ticket: Option<Ticket>,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            lock(self.replica).release(&ticket, SlotOutcome::Cancelled);
        }
    }
}
