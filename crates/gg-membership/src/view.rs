//! Membership as one daemon sees it.

use std::{
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use gg_platform::{InstanceInfo, InstanceKind, InstanceState};
use gg_protocol::{JournalId, Name};
use indexmap::IndexMap;
use rand::seq::{IndexedRandom, SliceRandom};

/// Settings of the membership view.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Time without a response after which a peer is suspected.
    pub suspect: Duration,
    /// Number of peers that must report the same suspicion before the peer is
    /// declared dead; fewer if there are not so many peers.
    pub witnesses: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings { suspect: Duration::from_secs(3), witnesses: 2 }
    }
}

/// A daemon in the membership view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerInfo {
    /// Name of its instance.
    pub name: Name,
    /// Its data centre.
    pub centre: Name,
    /// `ip:port` on which it accepts connections from other daemons.
    pub address: String,
}

/// Failure evidence and last reported state of one peer.
#[derive(Clone, Debug, Default)]
struct Evidence {
    journal: Option<JournalId>,
    config: u64,
    failing_since: Option<Instant>,
    failures: u32,
    reports: IndexMap<Name, Instant>,
}

#[derive(Debug, Default)]
struct Inner {
    listed: IndexMap<Name, InstanceInfo>,
    evidence: IndexMap<Name, Evidence>,
    /// Daemons that were listed before and no longer are. The list can lag, so
    /// they are declared dead only if they also do not respond.
    unlisted: IndexMap<Name, InstanceInfo>,
}

/// Membership view of one daemon: which daemons are live.
#[derive(Debug)]
pub struct Membership {
    local: Name,
    settings: MembershipSettings,
    inner: Mutex<Inner>,
}

/// Number of consecutive failures required for a suspicion.
const FAILURES_MIN: u32 = 2;

/// A peer's report expires after this many times the suspicion time.
const REPORT_LIFETIME_FACTOR: u32 = 4;

impl Membership {
    /// Creates a view that only contains the name of the local daemon.
    pub fn new(local: Name, settings: MembershipSettings) -> Self {
        Membership { local, settings, inner: Mutex::default() }
    }

    /// Replaces the list received from the platform. Daemons that are no longer
    /// listed are tracked as unlisted.
    pub fn set_listed(&self, list: Vec<InstanceInfo>) {
        let mut inner = self.lock();
        let listed: IndexMap<Name, InstanceInfo> =
            list.into_iter().map(|info| (info.name.clone(), info)).collect();
        let known = std::mem::take(&mut inner.listed).into_iter();
        let removed = known
            .filter(|(name, info)| info.kind == InstanceKind::Entry && !listed.contains_key(name));
        inner.unlisted.extend(removed);
        inner.unlisted.retain(|name, _| !listed.contains_key(name));
        inner.listed = listed;
    }

    /// Records a peer's response to a probe or call.
    pub fn record_response(
        &self,
        name: &Name,
        journal: &JournalId,
        config: u64,
        suspects: &[Name],
    ) {
        let now = Instant::now();
        let mut inner = self.lock();
        let evidence = inner.evidence.entry(name.clone()).or_default();
        evidence.journal = Some(journal.clone());
        evidence.config = evidence.config.max(config);
        evidence.failing_since = None;
        evidence.failures = 0;
        evidence.reports.clear();
        for suspect in suspects {
            let evidence = inner.evidence.entry(suspect.clone()).or_default();
            evidence.reports.insert(name.clone(), now);
        }
    }

    /// Records that a peer did not respond.
    pub fn record_failure(&self, name: &Name) {
        let mut inner = self.lock();
        let evidence = inner.evidence.entry(name.clone()).or_default();
        evidence.failing_since.get_or_insert_with(Instant::now);
        evidence.failures += 1;
    }

    /// Discards all failure evidence. Used after this process was paused,
    /// since it can't determine which peers were unresponsive during the
    /// pause.
    pub fn forget_failures(&self) {
        for evidence in self.lock().evidence.values_mut() {
            evidence.failing_since = None;
            evidence.failures = 0;
            evidence.reports.clear();
        }
    }

    /// Selects the peers to probe now. Up to `count` peers are unlisted, or have
    /// failures or reports against them. Random others fill the rest of
    /// `count`; at least one of them is selected in any case.
    pub fn probe_targets(&self, count: usize) -> Vec<PeerInfo> {
        let inner = self.lock();
        let peers: Vec<PeerInfo> =
            inner.known().filter(|info| info.name != self.local).map(peer_info).collect();
        let is_doubtful = |peer: &&PeerInfo| {
            let evidence = inner.evidence.get(&peer.name);
            let has_failures = evidence
                .is_some_and(|known| known.failing_since.is_some() || !known.reports.is_empty());
            has_failures || inner.unlisted.contains_key(&peer.name)
        };
        let mut rng = rand::rng();
        let mut targets: Vec<PeerInfo> = peers.iter().filter(is_doubtful).cloned().collect();
        targets.shuffle(&mut rng);
        targets.truncate(count);
        let rest: Vec<PeerInfo> =
            peers.into_iter().filter(|peer| !targets.contains(peer)).collect();
        let remaining = count.saturating_sub(targets.len()).max(1);
        targets.extend(rest.choose_multiple(&mut rng, remaining).cloned());
        targets
    }

    /// Peers that this daemon itself can't reach.
    pub fn suspects(&self) -> Vec<Name> {
        let inner = self.lock();
        let suspected = inner.evidence.iter().filter(|(_, evidence)| self.is_suspected(evidence));
        suspected.map(|(name, _)| name.clone()).collect()
    }

    fn is_suspected(&self, evidence: &Evidence) -> bool {
        let is_overdue =
            evidence.failing_since.is_some_and(|since| since.elapsed() >= self.settings.suspect);
        is_overdue && evidence.failures >= FAILURES_MIN
    }

    /// Daemons that may own keys: those listed as live, and those that are
    /// unlisted but respond. Suspected daemons are excluded; the local daemon
    /// is always included.
    pub fn live(&self) -> Vec<PeerInfo> {
        let inner = self.lock();
        let is_live = |info: &&InstanceInfo| {
            let evidence = inner.evidence.get(&info.name);
            let suspected = evidence.is_some_and(|known| self.is_suspected(known));
            let responds = evidence.is_some_and(|known| known.failing_since.is_none());
            let is_present = responds || inner.listed.contains_key(&info.name);
            info.name == self.local
                || (info.state == InstanceState::Live && is_present && !suspected)
        };
        inner.known().filter(is_live).map(peer_info).collect()
    }

    /// All daemons that the platform lists, and those that were listed before
    /// and whose journals have not all been adopted.
    pub fn peers(&self) -> Vec<PeerInfo> {
        self.lock().known().map(peer_info).collect()
    }

    /// Returns a known daemon by name.
    pub fn peer(&self, name: &str) -> Option<PeerInfo> {
        let inner = self.lock();
        let info = inner.listed.get(name).or_else(|| inner.unlisted.get(name));
        info.map(peer_info)
    }

    /// Whether the platform lists the daemon.
    pub fn is_listed(&self, name: &str) -> bool {
        self.lock().listed.contains_key(name)
    }

    /// Journal that a peer reported last.
    pub fn journal(&self, name: &str) -> Option<JournalId> {
        self.lock().evidence.get(name)?.journal.clone()
    }

    /// Highest configuration version that a peer reported.
    pub fn config(&self, name: &str) -> u64 {
        self.lock().evidence.get(name).map_or(0, |evidence| evidence.config)
    }

    /// Daemons whose journals are to be adopted: those that are no longer
    /// listed and do not respond, and those that neither this daemon nor
    /// enough witnesses can reach.
    pub fn dead(&self) -> Vec<Name> {
        let inner = self.lock();
        let others = inner.entries().count().saturating_sub(2);
        let quorum = self.settings.witnesses.min(others);
        let report_lifetime = self.settings.suspect * REPORT_LIFETIME_FACTOR;
        let unreachable = inner.evidence.iter().filter(|(_, evidence)| {
            let fresh_reports =
                evidence.reports.values().filter(|at| at.elapsed() < report_lifetime).count();
            self.is_suspected(evidence) && fresh_reports >= quorum
        });
        let is_unresponsive = |name: &&Name| {
            let evidence = inner.evidence.get(*name);
            evidence.is_some_and(|known| known.failures >= FAILURES_MIN)
        };
        let mut dead: Vec<Name> = inner.unlisted.keys().filter(is_unresponsive).cloned().collect();
        dead.extend(unreachable.map(|(name, _)| name.clone()));
        dead.sort();
        dead.dedup();
        dead.retain(|name| *name != self.local);
        dead
    }

    /// Whether a daemon is declared dead.
    pub fn is_dead(&self, name: &str) -> bool {
        self.dead().iter().any(|dead| &**dead == name)
    }

    /// Removes an unlisted daemon after all its journals were adopted.
    pub fn forget(&self, name: &str) {
        let mut inner = self.lock();
        inner.unlisted.shift_remove(name);
        if !inner.listed.contains_key(name) {
            inner.evidence.shift_remove(name);
        }
    }

    /// Upstreams that the platform lists as draining.
    pub fn draining_upstreams(&self) -> Vec<Name> {
        let inner = self.lock();
        let upstreams = inner.listed.values().filter(|info| info.kind == InstanceKind::Upstream);
        let draining = upstreams.filter(|info| info.state == InstanceState::Leaving);
        draining.map(|info| info.name.clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Inner {
    fn entries(&self) -> impl Iterator<Item = &InstanceInfo> {
        self.listed.values().filter(|info| info.kind == InstanceKind::Entry)
    }

    fn known(&self) -> impl Iterator<Item = &InstanceInfo> {
        self.entries().chain(self.unlisted.values())
    }
}

fn peer_info(info: &InstanceInfo) -> PeerInfo {
    PeerInfo { name: info.name.clone(), centre: info.centre.clone(), address: info.address.clone() }
}
