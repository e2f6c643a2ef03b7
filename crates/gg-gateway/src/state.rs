//! State shared by the parts of a gateway.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use gg_dispatch::{Admission, RetryBudget};
use gg_http::MemoryBudget;
use gg_ledger::Ledger;
use gg_metrics::Metrics;
use gg_platform::{CopyAges, age_limit};
use gg_protocol::{DirectoryBounds, Name};
use gg_route::{Configuration, RouteTable};
use gg_settings::RateSettings;
use tokio_util::sync::CancellationToken;

use crate::{
    BufferBudget, Fleet, FleetSettings, Programs, Revocation, connect::Connector,
    copy_guard::CopyGuard, credit::Credits,
};

/// Hedged requests as a share of responses. Above this share slow responses are
/// a sign of overload, and more requests would add to it.
const HEDGE_SHARE: f64 = 0.1;

/// Hedged requests that may be sent in a burst.
const HEDGE_BURST: f64 = 10.0;

/// Assumed number of gateways until a ledger instance reports it.
const GATEWAYS_DEFAULT: u32 = 8;

/// State of one gateway. `D` is the adapter of the deployment.
#[derive(Debug)]
pub(crate) struct State<D> {
    pub(crate) deployment: D,
    pub(crate) centre: Name,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) connector: Arc<Connector>,
    pub(crate) ledger: Arc<Ledger>,
    /// Credit for requests of accounts with a rate.
    pub(crate) credits: Credits,
    pub(crate) metrics: Metrics,
    /// Budget for hedged requests, as a share of responses.
    pub(crate) hedges: Mutex<RetryBudget>,
    /// Admission control for new work, by service.
    pub(crate) admissions: Mutex<HashMap<Name, Admission>>,
    /// Programs with turns that were admitted by this gateway.
    pub(crate) programs: Mutex<Programs>,
    /// Memory budget for buffered responses of replicas.
    pub(crate) buffer_budget: BufferBudget,
    /// Budget for the memory that clients make the gateway hold.
    pub(crate) memory: MemoryBudget,
    /// How recent the configuration has to be for its keys to be trusted.
    pub(crate) revocation: Revocation,
    /// Whether the keys were trusted when that was last checked.
    pub(crate) has_trusted_keys: AtomicBool,
    table: RwLock<Option<Arc<RouteTable>>>,
    /// Guards the use of the configuration.
    pub(crate) configuration_guard: CopyGuard,
    /// Guards the use of the list of replicas.
    pub(crate) replicas_guard: CopyGuard,
    is_stopping: AtomicBool,
    /// Cancelled when requests still in flight get their final answer, as the
    /// process is about to exit.
    pub(crate) last_call: CancellationToken,
}

impl<D> State<D> {
    pub(crate) fn new(
        deployment: D,
        centre: Name,
        ledger: Ledger,
        connector: Connector,
        bounds: &DirectoryBounds,
        rate: Option<RateSettings>,
        metrics: Metrics,
    ) -> Self {
        let ledger = Arc::new(ledger);
        State {
            credits: Credits::new(ledger.clone(), rate),
            metrics,
            hedges: Mutex::new(RetryBudget::new(HEDGE_SHARE, HEDGE_BURST)),
            deployment,
            ledger,
            fleet: Arc::new(Fleet::new(FleetSettings {
                ages: CopyAges::new(bounds),
                ..FleetSettings::default()
            })),
            centre,
            connector: Arc::new(connector),
            admissions: Mutex::default(),
            programs: Mutex::default(),
            buffer_budget: BufferBudget::default(),
            memory: MemoryBudget::default(),
            revocation: Revocation::new(bounds.revocation),
            has_trusted_keys: AtomicBool::new(true),
            table: RwLock::default(),
            configuration_guard: CopyGuard::new(age_limit(bounds.apply)),
            replicas_guard: CopyGuard::new(age_limit(bounds.drain)),
            is_stopping: AtomicBool::new(false),
            last_call: CancellationToken::new(),
        }
    }

    /// Sets the budget for the memory that clients make the gateway hold.
    pub(crate) fn with_memory(self, memory: MemoryBudget) -> Self {
        State { memory, ..self }
    }

    /// Gives new replicas their own pace. Called before any replica is listed.
    pub(crate) fn with_replica_pace(mut self) -> Self {
        self.fleet = Arc::new(Fleet::new(FleetSettings {
            pace_centre: Some(self.centre.clone()),
            ..self.fleet.settings().clone()
        }));
        self
    }

    /// The configuration in use, if one is known.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.read().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }

    /// Applies a configuration that came from `source`, unless a newer one is
    /// already in use.
    pub(crate) fn configure(&self, configuration: Configuration, source: &str) {
        let version = configuration.version;
        let routes = configuration.routes.len();
        let known = self.table().unwrap_or_default();
        let new = Arc::new(known.updated(configuration));
        let accounts = new.account_count();
        let mut table = self.table.write().unwrap_or_else(|poisoned| poisoned.into_inner());
        match table.as_ref() {
            Some(known) if known.version >= version => {
                log::debug!("event=configuration_old version={version} known={}", known.version);
            }
            _ => {
                *table = Some(new);
                // The version was acknowledged after the last confirmation, so it
                // is not later than this age.
                let age = millis_text(self.configuration_age(Instant::now()));
                log::info!(
                    "event=configured version={version} routes={routes} accounts={accounts} \
                     source={source} age_ms={age}"
                );
            }
        }
    }

    /// Age of the configuration in use: every version that was acknowledged longer
    /// ago is in force here. `None` until it was confirmed once.
    pub(crate) fn configuration_age(&self, now: Instant) -> Option<Duration> {
        self.configuration_guard.age(now)
    }

    /// Number of gateways that share the replicas, including this one.
    pub(crate) fn gateways(&self) -> u32 {
        match self.ledger.clients() {
            0 => GATEWAYS_DEFAULT,
            clients => clients,
        }
    }

    /// Updates the gauges; called just before they are read.
    pub(crate) fn refresh_gauges(&self) {
        let version = self.table().map_or(0, |table| table.version);
        let (replicas, open, load) = self.fleet.counts();
        for (name, value) in [
            ("configuration_version", version),
            ("replicas", replicas),
            ("replicas_open", open),
            ("replica_load", load),
            ("held_bytes", self.buffer_budget.bytes() as u64),
            ("client_bytes", self.memory.bytes() as u64),
            ("client_bytes_max", self.memory.max_bytes() as u64),
            ("clients_evicted", self.memory.evicted()),
            ("clients_refused", self.memory.refused()),
            ("crash_facts", self.ledger.crashes().len() as u64),
            ("paths_lost", self.connector.lost() as u64),
            ("cut_off", u64::from(self.connector.is_cut_off())),
            ("tunnels_carried", u64::from(self.connector.carried())),
            ("ledger_ready", u64::from(self.ledger.is_ready())),
            ("ready", u64::from(self.is_ready())),
            ("accounts", self.table().map_or(0, |table| table.account_count()) as u64),
            ("keys_trusted", u64::from(self.trusts_keys())),
        ] {
            self.metrics.gauge(name, value, &[]);
        }
        if let Some(age) = self.configuration_age(Instant::now()) {
            self.metrics.gauge("configuration_age_ms", age.as_millis() as u64, &[]);
        }
    }

    /// Whether this gateway should receive new connections. It should not while
    /// turns can't be opened and closed, no replica can be reached or no key can
    /// be checked, as another gateway may have better connections.
    pub(crate) fn is_ready(&self) -> bool {
        let is_configured = self.table().is_some() && self.fleet.is_usable();
        !self.is_stopping()
            && is_configured
            && self.ledger.is_ready()
            && !self.connector.is_isolated()
            && self.accepts_keys()
    }

    /// Whether a planned shutdown is in progress.
    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Begins a planned shutdown.
    pub(crate) fn stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }
}

/// A duration in milliseconds for logs; `-` if it is unknown.
pub(crate) fn millis_text(duration: Option<Duration>) -> String {
    duration.map_or_else(|| "-".into(), |duration| duration.as_millis().to_string())
}

/// Locks a mutex; its state stays usable after a panic in another thread.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
