//! All replicas listed in the directory, by service.

use std::{
    collections::HashMap,
    fmt,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use gg_dispatch::Pace;
use gg_platform::{AnswerLog, AnswerSpan, Confirmed, CopyAges};
use gg_protocol::Name;
use gg_route::{Upstream, UpstreamState};
use indexmap::IndexMap;

use crate::{
    Departures,
    pool::Connection,
    replica::{Replica, ServiceLoad, Start},
    state::{lock, millis_text},
};

/// Entries that expired during a directory outage return within this time after
/// it ends. Their replicas stay usable until then.
const RETURN_TIME: Duration = Duration::from_millis(2_200);

/// Nothing is known of the age of replicas that are listed within this time after
/// the first one: the gateway or the whole deployment has just started.
const FIRST_LIST_TIME: Duration = Duration::from_secs(5);

/// Where an update of the replicas comes from.
#[derive(Clone, Copy, Debug)]
pub struct UpdateSource<'a> {
    /// Ledger instance, or the directory itself.
    pub source: &'a str,
    /// Up to when the copy in use before the update is confirmed: what the update
    /// changes was acknowledged later.
    pub known: Option<Confirmed>,
}

impl fmt::Display for UpdateSource<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let age = self.known.map(|known| known.age(Instant::now()));
        write!(f, "source={} age_ms={}", self.source, millis_text(age))
    }
}

/// Settings of a fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetSettings {
    /// This gateway's data centre, if new replicas are given their own pace, as seen
    /// by a gateway there; without one, they take part at once.
    pub pace_centre: Option<Name>,
    /// When entries expire.
    pub ages: CopyAges,
}

/// Replicas by service.
#[derive(Debug)]
pub struct Fleet {
    state: Mutex<State>,
    settings: FleetSettings,
}

#[derive(Debug)]
struct State {
    services: HashMap<Name, Service>,
    replicas: IndexMap<Name, Arc<Replica>>,
    /// Replicas whose entries may have expired in an outage, with the moment up to
    /// which each entry is known to have existed.
    missing: HashMap<Name, Option<Confirmed>>,
    /// When the directory has answered anybody.
    answers: AnswerLog,
    /// When entries expire.
    lease: Duration,
    /// Replicas that ended lately.
    departures: Departures,
    /// When the first replica was listed.
    first_listed_at: Option<Instant>,
}

/// Replicas of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Service {
    pub(crate) replicas: Vec<Arc<Replica>>,
    pub(crate) load: Arc<ServiceLoad>,
}

impl Fleet {
    /// A fleet without replicas.
    pub fn new(settings: FleetSettings) -> Self {
        let state = State {
            services: HashMap::new(),
            replicas: IndexMap::new(),
            missing: HashMap::new(),
            answers: AnswerLog::new(settings.ages.outage_min),
            lease: settings.ages.lease,
            departures: Departures::default(),
            first_listed_at: None,
        };
        Fleet { state: Mutex::new(state), settings }
    }

    /// The settings that it was made with.
    pub fn settings(&self) -> &FleetSettings {
        &self.settings
    }

    /// Sets the complete list of replicas; all others are removed.
    pub fn replace(&self, upstreams: Vec<Upstream>, from: &UpdateSource<'_>) {
        let mut state = lock(&self.state);
        let present: Vec<Name> =
            upstreams.iter().map(|upstream| upstream.id.name.clone()).collect();
        let centre = self.settings.pace_centre.as_deref();
        upstreams.into_iter().for_each(|upstream| state.put(upstream, centre));
        let removed: Vec<Name> =
            state.replicas.keys().filter(|name| !present.contains(name)).cloned().collect();
        removed.iter().for_each(|name| state.remove(name, from));
    }

    /// Adds or updates one replica.
    pub fn put(&self, upstream: Upstream) {
        lock(&self.state).put(upstream, self.settings.pace_centre.as_deref());
    }

    /// Removes a replica whose entry was removed from the directory.
    pub fn remove(&self, name: &str, from: &UpdateSource<'_>) {
        lock(&self.state).remove(name, from);
    }

    /// Records that the directory has answered this gateway or a peer. What is known
    /// of outages may change with it.
    pub fn record_answers(&self, span: AnswerSpan) {
        let mut state = lock(&self.state);
        let outage = state.answers.outage();
        state.answers.record(span);
        if state.answers.outage() != outage {
            state.review_missing();
        }
    }

    /// Drops missing replicas whose entries did not return in time, and closes
    /// connections that were idle for too long.
    pub fn sweep(&self) {
        self.replicas().iter().for_each(|replica| replica.pool.close_expired());
        lock(&self.state).review_missing();
    }

    /// The replicas of a service.
    pub(crate) fn service(&self, name: &str) -> Option<Service> {
        lock(&self.state).services.get(name).cloned()
    }

    /// The replica with this name.
    pub(crate) fn replica(&self, name: &str) -> Option<Arc<Replica>> {
        lock(&self.state).replicas.get(name).cloned()
    }

    /// All replicas.
    pub(crate) fn replicas(&self) -> Vec<Arc<Replica>> {
        lock(&self.state).replicas.values().cloned().collect()
    }

    /// Number of replicas.
    pub(crate) fn len(&self) -> usize {
        lock(&self.state).replicas.len()
    }

    /// Closes idle connections to all replicas for which `is_unwanted` returns
    /// true.
    pub(crate) fn close_idle(&self, is_unwanted: impl Fn(&Connection) -> bool) {
        let replicas = self.replicas();
        replicas.iter().for_each(|replica| replica.pool.close_idle(&is_unwanted));
    }

    /// Whether another incarnation has taken a replica's name or address.
    pub(crate) fn is_replaced(&self, replica: &Replica) -> bool {
        let is_other = |known: &Arc<Replica>| {
            let (known, old) = (&known.upstream, &replica.upstream);
            known.id != old.id && (known.id.name == old.id.name || known.address == old.address)
        };
        lock(&self.state).replicas.values().any(is_other)
    }

    /// Number of replicas, number of replicas that accept work, and requests of
    /// this gateway in flight on them.
    pub(crate) fn counts(&self) -> (u64, u64, u64) {
        let state = lock(&self.state);
        let open = state.replicas.values().filter(|replica| replica.is_open()).count();
        let load = state.replicas.values().map(|replica| u64::from(replica.load())).sum();
        (state.replicas.len() as u64, open as u64, load)
    }

    /// Whether any replica accepts work.
    pub fn is_usable(&self) -> bool {
        lock(&self.state).replicas.values().any(|replica| replica.is_open())
    }
}

impl State {
    /// Adds or updates a replica; a new one gets its own pace if `pace_centre` is
    /// set.
    fn put(&mut self, upstream: Upstream, pace_centre: Option<&str>) {
        let name = upstream.id.name.clone();
        self.missing.remove(&name);
        if let Some(known) = self.replicas.get(&name) {
            let is_same = known.upstream.id == upstream.id
                && known.upstream.address == upstream.address
                && known.upstream.service == upstream.service;
            if is_same {
                if upstream.state == UpstreamState::Draining && known.is_open() {
                    log::info!("event=replica_draining replica={name}");
                    known.set_draining();
                }
                known.set_missing(None);
                return;
            }
            self.drop_entry(&name, "reason=replaced");
        }
        log::info!(
            "event=replica_listed replica={name} address={} centre={} state={:?}",
            upstream.address,
            upstream.centre,
            upstream.state
        );
        let now = Instant::now();
        let pace = pace_centre.and_then(|centre| self.start_of(&upstream, centre, now));
        let service = self.services.entry(upstream.service.clone()).or_default();
        let replica = Arc::new(Replica::new(upstream, service.load.clone(), pace));
        service.replicas.push(replica.clone());
        service.load.freed.notify_waiters();
        self.replicas.insert(name, replica);
    }

    /// How a replica that was just listed begins, unless it is not new.
    fn start_of(&mut self, upstream: &Upstream, centre: &str, now: Instant) -> Option<Start> {
        let first_listed_at = *self.first_listed_at.get_or_insert(now);
        let is_first_list = now.saturating_duration_since(first_listed_at) < FIRST_LIST_TIME;
        if is_first_list || self.departures.is_known(upstream) {
            return None;
        }
        Some(match *upstream.centre == *centre {
            true => Start::Paced(Pace::new(self.departures.recent_ends(upstream, now), now)),
            false => Start::Remote,
        })
    }

    /// Removes a replica whose entry is missing, unless the entry may be back soon.
    fn remove(&mut self, name: &str, from: &UpdateSource<'_>) {
        let Some((name, replica)) = self.replicas.get_key_value(name) else { return };
        let (name, replica) = (name.clone(), replica.clone());
        if self.missing.contains_key(&name) {
            return;
        }
        match self.awaited_until(from.known) {
            Some(until) if replica.is_open() => {
                let kept_ms = until.saturating_duration_since(Instant::now()).as_millis();
                log::info!("event=replica_missing replica={name} {from} kept_ms={kept_ms}");
                replica.set_missing(Some(until));
                self.missing.insert(name, from.known);
            }
            _ => self.drop_entry(&name, &format!("reason=removed {from}")),
        }
    }

    /// Until when an entry may be back that existed at `known` and is missing now;
    /// `None` if it was removed for good.
    fn awaited_until(&self, known: Option<Confirmed>) -> Option<Instant> {
        let outage = self.answers.outage()?;
        let may_return = known.is_none_or(|known| outage.may_end_lease(self.lease, known.moment()));
        let until = outage.ended + RETURN_TIME;
        (may_return && Instant::now() < until).then_some(until)
    }

    /// Drops the missing replicas that are not awaited any more.
    fn review_missing(&mut self) {
        let missing: Vec<(Name, Option<Confirmed>)> =
            self.missing.iter().map(|(name, known)| (name.clone(), *known)).collect();
        for (name, known) in missing {
            match self.awaited_until(known) {
                None => self.drop_entry(&name, "reason=not_back"),
                until => {
                    if let Some(replica) = self.replicas.get(&name) {
                        replica.set_missing(until);
                    }
                }
            }
        }
    }

    /// Drops a replica; `details` say why in the log.
    fn drop_entry(&mut self, name: &str, details: &str) {
        self.missing.remove(name);
        let Some(replica) = self.replicas.shift_remove(name) else { return };
        log::info!("event=replica_gone replica={name} {details}");
        self.departures.record(&replica.upstream, Instant::now());
        replica.set_draining();
        if let Some(service) = self.services.get_mut(&replica.upstream.service) {
            service.replicas.retain(|known| !Arc::ptr_eq(known, &replica));
        }
    }
}
