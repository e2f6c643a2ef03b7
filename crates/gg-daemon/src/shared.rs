//! What all roles of a daemon share.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, RwLock,
        atomic::{AtomicBool, Ordering},
    },
};

use gg_dispatch::{Dispatcher, Member, Quarantine, RetryBudget, Verdict};
use gg_engine::Engine;
use gg_membership::Membership;
use gg_peer::Peers;
use gg_platform::{Platform, PlatformSettings};
use gg_protocol::{JournalId, Name};
use gg_service::Service;
use gg_settings::DaemonSettings;
use tokio_util::sync::CancellationToken;

use crate::{config::ConfigCell, copies::Copies, forecast::Forecast, home::Home, metrics::Metrics};

/// State shared by the roles of one daemon.
pub(crate) struct Shared {
    pub(crate) settings: DaemonSettings,
    pub(crate) platform: Platform,
    pub(crate) config: ConfigCell,
    pub(crate) membership: Membership,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) peers: Peers,
    pub(crate) engine: Engine,
    pub(crate) service: Service,
    pub(crate) copies: Copies,
    pub(crate) forecast: Forecast,
    pub(crate) metrics: Metrics,
    pub(crate) quarantine: Mutex<Quarantine>,
    pub(crate) retries: Mutex<RetryBudget>,
    /// Expected waits by upstream, as last heard, in ms.
    pub(crate) waits: Mutex<HashMap<Name, u64>>,
    /// Starts of engines by upstream, as last heard.
    pub(crate) epochs: Mutex<HashMap<Name, String>>,
    home: RwLock<Option<Arc<Home>>>,
    draining: AtomicBool,
    /// Cancelled when the daemon stops for good.
    pub(crate) stop: CancellationToken,
}

impl Shared {
    pub(crate) fn new(settings: DaemonSettings, stop: CancellationToken) -> Self {
        let platform = Platform::new(PlatformSettings {
            address: settings.platform.clone(),
            timeout: settings.platform_timeout,
            ..PlatformSettings::default()
        });
        let membership = Membership::new(
            settings.instance.clone(),
            gg_membership::MembershipSettings {
                suspect: settings.timing.suspect,
                ..Default::default()
            },
        );
        Shared {
            platform,
            config: ConfigCell::default(),
            membership,
            dispatcher: Dispatcher::default(),
            peers: Peers::new(gg_peer::Secret::new(&settings.peer_key)),
            engine: Engine::default(),
            service: Service::default(),
            copies: Copies::default(),
            forecast: Forecast::default(),
            metrics: Metrics::new(&settings.log.statsd, &settings.instance),
            quarantine: Mutex::default(),
            retries: Mutex::default(),
            waits: Mutex::default(),
            epochs: Mutex::default(),
            home: RwLock::default(),
            draining: AtomicBool::new(false),
            stop,
            settings,
        }
    }

    /// The home role, while there is one.
    pub(crate) fn home(&self) -> Option<Arc<Home>> {
        self.home.read().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }

    /// Puts another home in place.
    pub(crate) fn set_home(&self, home: Option<Arc<Home>>) {
        *self.home.write().unwrap_or_else(|poisoned| poisoned.into_inner()) = home;
    }

    /// Journal of the present home, or one that never exists.
    pub(crate) fn journal_id(&self) -> JournalId {
        match self.home() {
            Some(home) => home.id().clone(),
            None => JournalId { instance: self.settings.instance.clone(), incarnation: 0 },
        }
    }

    /// Whether a planned stop is under way.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Begins a planned stop.
    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Live daemons, for rendezvous hashing.
    pub(crate) fn members(&self) -> Vec<Member> {
        let live = self.membership.live().into_iter();
        let mut members: Vec<Member> =
            live.map(|peer| Member { name: peer.name, centre: peer.centre }).collect();
        if !members.iter().any(|member| member.name == self.settings.instance) {
            members.push(self.local_member());
        }
        members
    }

    /// This daemon as a member.
    pub(crate) fn local_member(&self) -> Member {
        Member { name: self.settings.instance.clone(), centre: self.settings.centre.clone() }
    }

    /// What may be done with a content.
    pub(crate) fn verdict(&self, content: &str) -> Verdict {
        lock(&self.quarantine).verdict(content)
    }
}

/// Locks a mutex; state behind it stays usable after a panic elsewhere.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
