//! What the parts of a gateway share.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, RwLock,
        atomic::{AtomicBool, Ordering},
    },
};

use gg_dispatch::{Admission, RetryBudget};
use gg_ledger::Ledger;
use gg_metrics::Metrics;
use gg_protocol::Name;
use gg_route::{Configuration, RouteTable};

use crate::{Fleet, Held, Programs};

/// Second sends as a share of answers: beyond it, silence is load, and more
/// sends would only add to it.
const HEDGE_SHARE: f64 = 0.1;

/// Second sends that may come at once.
const HEDGE_BURST: f64 = 10.0;

/// Gateways that are believed to share the replicas before any ledger
/// instance has told their number.
const GATEWAYS_DEFAULT: u32 = 8;

/// State of one gateway. `D` translates heads.
#[derive(Debug)]
pub(crate) struct State<D> {
    pub(crate) dialect: D,
    pub(crate) centre: Name,
    pub(crate) fleet: Fleet,
    pub(crate) ledger: Ledger,
    pub(crate) metrics: Metrics,
    /// Second sends beside silent ones, as a share of answers.
    pub(crate) hedges: Mutex<RetryBudget>,
    /// Whether new work is let in, by service.
    pub(crate) admissions: Mutex<HashMap<Name, Admission>>,
    /// Programs with turns that were let in here.
    pub(crate) programs: Mutex<Programs>,
    /// Memory that replicas' answers take.
    pub(crate) held: Held,
    table: RwLock<Option<Arc<RouteTable>>>,
    is_stopping: AtomicBool,
}

impl<D> State<D> {
    pub(crate) fn new(dialect: D, centre: Name, ledger: Ledger, metrics: Metrics) -> Self {
        State {
            metrics,
            hedges: Mutex::new(RetryBudget::new(HEDGE_SHARE, HEDGE_BURST)),
            dialect,
            centre,
            ledger,
            fleet: Fleet::default(),
            admissions: Mutex::default(),
            programs: Mutex::default(),
            held: Held::default(),
            table: RwLock::default(),
            is_stopping: AtomicBool::new(false),
        }
    }

    /// The configuration in force, if one is known.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.read().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }

    /// Puts a configuration in force unless a newer one already is.
    pub(crate) fn configure(&self, configuration: Configuration) {
        let version = configuration.version;
        let routes = configuration.routes.len();
        let new = Arc::new(RouteTable::new(configuration));
        let mut table = self.table.write().unwrap_or_else(|poisoned| poisoned.into_inner());
        match table.as_ref() {
            Some(known) if known.version >= version => {
                log::debug!("event=configuration_old version={version} known={}", known.version);
            }
            _ => {
                *table = Some(new);
                log::info!("event=configured version={version} routes={routes}");
            }
        }
    }

    /// Gateways that share the replicas, this one included.
    pub(crate) fn gateways(&self) -> u32 {
        match self.ledger.clients() {
            0 => GATEWAYS_DEFAULT,
            clients => clients,
        }
    }

    /// Sets the gauges, just before they are read.
    pub(crate) fn refresh_gauges(&self) {
        let version = self.table().map_or(0, |table| table.version);
        let (replicas, open, load) = self.fleet.counts();
        for (name, value) in [
            ("configuration_version", version),
            ("replicas", replicas),
            ("replicas_open", open),
            ("replica_load", load),
            ("held_bytes", self.held.bytes() as u64),
            ("crash_facts", self.ledger.crashes().len() as u64),
            ("ledger_ready", u64::from(self.ledger.is_ready())),
            ("ready", u64::from(self.is_ready())),
        ] {
            self.metrics.gauge(name, value, &[]);
        }
    }

    /// Whether new connections should come here: not while turns can't be
    /// opened and closed, as another gateway may be better connected.
    pub(crate) fn is_ready(&self) -> bool {
        let is_configured = self.table().is_some() && self.fleet.is_usable();
        !self.is_stopping() && is_configured && self.ledger.is_ready()
    }

    /// Whether a planned stop is under way.
    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Begins a planned stop.
    pub(crate) fn stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }
}

/// Locks a mutex; state behind it stays usable after a panic elsewhere.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
