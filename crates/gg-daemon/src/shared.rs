//! State shared by all roles of a daemon.

use std::{
    collections::HashMap,
    sync::{
        Mutex, RwLock,
        atomic::{AtomicBool, Ordering},
    },
};

use gg_dispatch::{Dispatcher, Member, Quarantine, RetryBudget, Verdict};
use gg_engine::Engine;
use gg_http::MemoryBudget;
use gg_membership::Membership;
use gg_peer::PeerPool;
use gg_platform::{Platform, PlatformSettings};
use gg_protocol::{JournalId, Name};
use gg_service::Service;
use gg_settings::DaemonSettings;
use tokio_util::sync::CancellationToken;

use crate::{
    config::ConfigCell, copies::Copies, forecast::Forecast, history_memory::HistoryBudget,
    lock::lock, metrics::Metrics,
};

/// State shared by the roles of one daemon.
pub(crate) struct Shared {
    pub(crate) settings: DaemonSettings,
    pub(crate) platform: Platform,
    pub(crate) config: ConfigCell,
    pub(crate) membership: Membership,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) peers: PeerPool,
    pub(crate) engine: Engine,
    pub(crate) service: Service,
    pub(crate) copies: Copies,
    /// Budget for the memory that callers make the daemon hold.
    pub(crate) memory: MemoryBudget,
    /// Part of that budget for the histories of programs.
    pub(crate) histories: HistoryBudget,
    pub(crate) forecast: Forecast,
    pub(crate) metrics: Metrics,
    pub(crate) quarantine: Mutex<Quarantine>,
    pub(crate) retries: Mutex<RetryBudget>,
    /// Last reported slot wait by upstream, in ms.
    pub(crate) slot_waits: Mutex<HashMap<Name, u64>>,
    /// Last reported engine epoch by upstream. An engine changes its epoch at
    /// each start.
    pub(crate) epochs: Mutex<HashMap<Name, String>>,
    /// Journal of the current home, if one is open.
    journal: RwLock<Option<JournalId>>,
    draining: AtomicBool,
    /// Cancelled when the daemon exits.
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
        let memory = MemoryBudget::new(settings.caller_memory());
        Shared {
            platform,
            config: ConfigCell::default(),
            membership,
            dispatcher: Dispatcher::default(),
            peers: PeerPool::new(gg_peer::Secret::new(&settings.peer_key)),
            engine: Engine::default(),
            service: Service::default(),
            copies: Copies::default(),
            histories: HistoryBudget::new(&memory),
            memory,
            forecast: Forecast::default(),
            metrics: Metrics::new(&settings.log, &settings.instance),
            quarantine: Mutex::default(),
            retries: Mutex::default(),
            slot_waits: Mutex::default(),
            epochs: Mutex::default(),
            journal: RwLock::default(),
            draining: AtomicBool::new(false),
            stop,
            settings,
        }
    }

    /// Sets the journal that the current home appends to.
    pub(crate) fn set_journal(&self, journal: Option<JournalId>) {
        *self.journal.write().unwrap_or_else(|poisoned| poisoned.into_inner()) = journal;
    }

    /// Journal of the current home, or incarnation 0, which is never used, if no
    /// home is open.
    pub(crate) fn journal_id(&self) -> JournalId {
        let journal = self.journal.read().unwrap_or_else(|poisoned| poisoned.into_inner()).clone();
        let no_journal = || JournalId { instance: self.settings.instance.clone(), incarnation: 0 };
        journal.unwrap_or_else(no_journal)
    }

    /// Whether a planned stop is in progress.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Starts a planned stop.
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

    /// How a request with this fingerprint may be executed.
    pub(crate) fn verdict(&self, fingerprint: &str) -> Verdict {
        lock(&self.quarantine).verdict(fingerprint)
    }
}
