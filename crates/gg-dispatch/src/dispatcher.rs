//! Dispatcher of a daemon: keeps one queue for each replica that it manages.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use gg_protocol::{
    JournalId, Name,
    config::RANKS,
    peer::{QueueView, SlotOutcome, SlotRelease, SlotReply, SlotRequest},
};
use indexmap::{IndexMap, IndexSet};
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
    /// Maximum number of calls that wait for one replica.
    pub queue_max: usize,
    /// Initial limit on the calls of a replica whose configuration is not yet
    /// known.
    pub default_slots: u32,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        DispatchSettings { limit: LimitSettings::default(), queue_max: 10_000, default_slots: 8 }
    }
}

/// Grants slots on replicas. If two daemons dispatch for the same replica for
/// a short time, they only admit too many calls, which is safe.
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
    /// Upstreams that were removed from the configuration. Homes may still send
    /// requests for them.
    removed: IndexSet<Name>,
    floors: [f64; RANKS],
}

impl Dispatcher {
    /// Creates a dispatcher without replicas.
    pub fn new(settings: DispatchSettings) -> Self {
        Dispatcher { shared: Arc::new(Shared { settings, state: Mutex::default() }) }
    }

    /// Applies the configuration: slots by upstream, and floors by rank as
    /// shares of engine time. Upstreams that are no longer configured are
    /// closed.
    pub fn configure(&self, slots: IndexMap<Name, u32>, floors: [f64; RANKS]) {
        let mut state = lock(&self.shared.state);
        for (name, replica) in &state.replicas {
            let mut replica = lock(replica);
            replica.queue.set_floors(floors);
            if !slots.contains_key(name) {
                replica.draining = true;
                replica.dispatch_waiting();
            }
        }
        let former = std::mem::replace(&mut state.slots, slots);
        let State { replicas, slots, removed, .. } = &mut *state;
        removed.extend(former.into_keys());
        removed.retain(|name| !slots.contains_key(name));
        replicas.retain(|name, _| slots.contains_key(name));
        state.floors = floors;
    }

    /// Marks a replica as draining, or accepts new work for it again.
    pub fn set_draining(&self, upstream: &Name, draining: bool) {
        let Some(replica) = self.replica(upstream) else { return };
        let mut replica = lock(&replica);
        if replica.draining != draining {
            replica.draining = draining;
            replica.dispatch_waiting();
        }
    }

    /// Waits for a slot. Dropping the future removes the request from the
    /// queue, or releases the slot if it was granted at the same moment.
    pub async fn acquire(&self, request: SlotRequest) -> SlotReply {
        let Some(replica) = self.replica(&request.upstream) else { return SlotReply::Closed };
        let started = time::Instant::now();
        let (granted, grant) = oneshot::channel();
        let ejected = {
            let mut replica = lock(&replica);
            if replica.draining {
                return SlotReply::Closed;
            }
            let expected = replica.wait_ms(usize::from(request.rank.0).min(RANKS - 1));
            let is_full = replica.queue.len() >= self.shared.settings.queue_max;
            if is_full || request.max_wait_ms.is_some_and(|max| expected > max) {
                return SlotReply::Busy { wait_ms: expected };
            }
            replica.push(&request, granted);
            replica.dispatch_waiting();
            replica.ejected_until()
        };
        if let Some(until) = ejected {
            dispatch_at(replica.clone(), until.into());
        }
        let mut guard = WaitGuard { replica: &replica, ticket: Some(ticket(&request)) };
        let wait_timeout = Duration::from_millis(request.patience_ms);
        let reply = match time::timeout(wait_timeout, grant).await {
            Ok(Ok(())) => {
                guard.ticket = None;
                SlotReply::Granted { waited_ms: started.elapsed().as_millis() as u64 }
            }
            Ok(Err(_)) => SlotReply::Closed,
            Err(_) => SlotReply::Expired,
        };
        drop(guard);
        reply
    }

    /// Releases a slot, or removes the request from the queue.
    pub fn release(&self, release: &SlotRelease) {
        let Some(replica) = self.replica(&release.upstream) else { return };
        let ticket = (release.home.clone(), release.ticket);
        let mut locked = lock(&replica);
        locked.release(&ticket, release.outcome);
        let ejected = locked.ejected_until();
        drop(locked);
        if let Some(until) = ejected {
            dispatch_at(replica, until.into());
        }
    }

    /// Reclaims all slots and removes all queued requests of a home.
    pub fn release_home(&self, home: &JournalId) {
        let replicas: Vec<_> = lock(&self.shared.state).replicas.values().cloned().collect();
        for replica in replicas {
            lock(&replica).release_home(home);
        }
    }

    /// Returns the state of one replica's queue, unless it was removed from the
    /// configuration.
    pub fn view(&self, upstream: &Name) -> Option<QueueView> {
        self.replica(upstream).map(|replica| lock(&replica).view(upstream))
    }

    /// Returns the state of all queues of this daemon.
    pub fn views(&self) -> Vec<QueueView> {
        let state = lock(&self.shared.state);
        state.replicas.iter().map(|(name, replica)| lock(replica).view(name)).collect()
    }

    /// The replica of an upstream, which may not be configured yet; `None` if it
    /// was removed from the configuration.
    fn replica(&self, upstream: &Name) -> Option<Arc<Mutex<Replica>>> {
        let mut state = lock(&self.shared.state);
        if let Some(replica) = state.replicas.get(upstream) {
            return Some(replica.clone());
        }
        if state.removed.contains(upstream) {
            return None;
        }
        let settings = &self.shared.settings;
        let slots = state.slots.get(upstream).copied().unwrap_or(settings.default_slots);
        let replica = Replica::new(settings.limit.clone(), slots, state.floors);
        let replica = Arc::new(Mutex::new(replica));
        state.replicas.insert(upstream.clone(), replica.clone());
        Some(replica)
    }
}

fn ticket(request: &SlotRequest) -> Ticket {
    (request.home.clone(), request.ticket)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Dispatches waiting calls again when the ejection of the replica ends.
fn dispatch_at(replica: Arc<Mutex<Replica>>, at: time::Instant) {
    tokio::spawn(async move {
        time::sleep_until(at).await;
        lock(&replica).dispatch_waiting();
    });
}

/// Removes a request from the queue if its future is dropped.
struct WaitGuard<'a> {
    replica: &'a Mutex<Replica>,
    ticket: Option<Ticket>,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            lock(self.replica).release(&ticket, SlotOutcome::Cancelled);
        }
    }
}
