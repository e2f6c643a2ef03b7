//! The view of one daemon.

use std::{
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use gg_platform::{InstanceInfo, InstanceKind, InstanceState};
use gg_protocol::{JournalId, Name};
use indexmap::IndexMap;
use rand::seq::{IndexedRandom, SliceRandom};

/// Settings of the view.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Time without an answer after which a peer is suspected.
    pub suspect: Duration,
    /// Peers that have to share a suspicion before it is acted on; fewer if
    /// there are not so many.
    pub witnesses: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings { suspect: Duration::from_secs(3), witnesses: 2 }
    }
}

/// A daemon as this one sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerInfo {
    /// Name of its instance.
    pub name: Name,
    /// Its data centre.
    pub centre: Name,
    /// `ip:port` for other daemons.
    pub address: String,
}

/// Evidence about one peer.
#[derive(Clone, Debug, Default)]
struct Evidence {
    journal: Option<JournalId>,
    config: u64,
    failing: Option<Instant>,
    failures: u32,
    reports: IndexMap<Name, Instant>,
}

#[derive(Debug, Default)]
struct Inner {
    listed: IndexMap<Name, InstanceInfo>,
    evidence: IndexMap<Name, Evidence>,
    /// Daemons that were listed once and are not now. The list lags, so they
    /// count as gone only when they don't answer either.
    unlisted: IndexMap<Name, InstanceInfo>,
}

/// Which instances are live.
#[derive(Debug)]
pub struct Membership {
    local: Name,
    settings: MembershipSettings,
    inner: Mutex<Inner>,
}

/// Failures in a row that a suspicion needs.
const FAILURES_MIN: u32 = 2;

/// A peer's report counts for this many times the suspicion time.
const REPORT_LIFE: u32 = 4;

impl Membership {
    /// A view that knows nothing yet but the daemon's own name.
    pub fn new(local: Name, settings: MembershipSettings) -> Self {
        Membership { local, settings, inner: Mutex::default() }
    }

    /// Takes in the platform's list.
    pub fn update_list(&self, list: Vec<InstanceInfo>) {
        let mut inner = self.lock();
        let listed: IndexMap<Name, InstanceInfo> =
            list.into_iter().map(|info| (info.name.clone(), info)).collect();
        let known = std::mem::take(&mut inner.listed).into_iter();
        let gone = known
            .filter(|(name, info)| info.kind == InstanceKind::Entry && !listed.contains_key(name));
        inner.unlisted.extend(gone);
        inner.unlisted.retain(|name, _| !listed.contains_key(name));
        inner.listed = listed;
    }

    /// Takes in a peer's answer to a probe or call.
    pub fn note_answer(&self, name: &Name, journal: &JournalId, config: u64, suspects: &[Name]) {
        let now = Instant::now();
        let mut inner = self.lock();
        let evidence = inner.evidence.entry(name.clone()).or_default();
        evidence.journal = Some(journal.clone());
        evidence.config = evidence.config.max(config);
        evidence.failing = None;
        evidence.failures = 0;
        evidence.reports.clear();
        for suspect in suspects {
            let evidence = inner.evidence.entry(suspect.clone()).or_default();
            evidence.reports.insert(name.clone(), now);
        }
    }

    /// Takes in that a peer did not answer.
    pub fn note_failure(&self, name: &Name) {
        let mut inner = self.lock();
        let evidence = inner.evidence.entry(name.clone()).or_default();
        evidence.failing.get_or_insert_with(Instant::now);
        evidence.failures += 1;
    }

    /// Forgets all evidence of failures, after this process was itself
    /// paused and can't tell who was silent meanwhile.
    pub fn forget_failures(&self) {
        for evidence in self.lock().evidence.values_mut() {
            evidence.failing = None;
            evidence.failures = 0;
            evidence.reports.clear();
        }
    }

    /// Peers to probe now: those in doubt first, then others at random.
    pub fn probe_targets(&self, count: usize) -> Vec<PeerInfo> {
        let inner = self.lock();
        let peers: Vec<PeerInfo> =
            inner.known().filter(|info| info.name != self.local).map(peer_info).collect();
        let doubtful = |peer: &&PeerInfo| {
            let evidence = inner.evidence.get(&peer.name);
            let reported =
                evidence.is_some_and(|known| known.failing.is_some() || !known.reports.is_empty());
            reported || inner.unlisted.contains_key(&peer.name)
        };
        let mut rng = rand::rng();
        let mut targets: Vec<PeerInfo> = peers.iter().filter(doubtful).cloned().collect();
        targets.shuffle(&mut rng);
        targets.truncate(count);
        let rest: Vec<PeerInfo> =
            peers.into_iter().filter(|peer| !targets.contains(peer)).collect();
        let missing = count.saturating_sub(targets.len()).max(1);
        targets.extend(rest.choose_multiple(&mut rng, missing).cloned());
        targets
    }

    /// Peers that this daemon itself can't reach.
    pub fn suspects(&self) -> Vec<Name> {
        let inner = self.lock();
        let suspected = inner.evidence.iter().filter(|(_, evidence)| self.is_suspected(evidence));
        suspected.map(|(name, _)| name.clone()).collect()
    }

    fn is_suspected(&self, evidence: &Evidence) -> bool {
        let long = evidence.failing.is_some_and(|since| since.elapsed() >= self.settings.suspect);
        long && evidence.failures >= FAILURES_MIN
    }

    /// Daemons that may own things: listed as live, or answering although
    /// they are not listed; never those suspected, and always this one.
    pub fn live(&self) -> Vec<PeerInfo> {
        let inner = self.lock();
        let alive = |info: &&InstanceInfo| {
            let evidence = inner.evidence.get(&info.name);
            let suspected = evidence.is_some_and(|known| self.is_suspected(known));
            let answers = evidence.is_some_and(|known| known.failing.is_none());
            let counted = answers || inner.listed.contains_key(&info.name);
            info.name == self.local || (info.state == InstanceState::Live && counted && !suspected)
        };
        inner.known().filter(alive).map(peer_info).collect()
    }

    /// Every daemon that the platform lists, or that was listed and has not
    /// been found dead.
    pub fn peers(&self) -> Vec<PeerInfo> {
        self.lock().known().map(peer_info).collect()
    }

    /// A known daemon by name.
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

    /// Daemons whose journals are to be adopted: no longer listed and not
    /// answering, or unreachable for this daemon and for enough witnesses.
    pub fn dead(&self) -> Vec<Name> {
        let inner = self.lock();
        let others = inner.entries().count().saturating_sub(2);
        let needed = self.settings.witnesses.min(others);
        let life = self.settings.suspect * REPORT_LIFE;
        let unreachable = inner.evidence.iter().filter(|(_, evidence)| {
            let fresh = evidence.reports.values().filter(|at| at.elapsed() < life).count();
            self.is_suspected(evidence) && fresh >= needed
        });
        let silent = |name: &&Name| {
            let evidence = inner.evidence.get(*name);
            evidence.is_some_and(|known| known.failures >= FAILURES_MIN)
        };
        let mut dead: Vec<Name> = inner.unlisted.keys().filter(silent).cloned().collect();
        dead.extend(unreachable.map(|(name, _)| name.clone()));
        dead.sort();
        dead.dedup();
        dead.retain(|name| *name != self.local);
        dead
    }

    /// Whether a daemon is among the dead.
    pub fn is_dead(&self, name: &str) -> bool {
        self.dead().iter().any(|dead| &**dead == name)
    }

    /// Stops reporting an unlisted daemon whose journals are all adopted.
    pub fn forget(&self, name: &str) {
        let mut inner = self.lock();
        inner.unlisted.shift_remove(name);
        if !inner.listed.contains_key(name) {
            inner.evidence.shift_remove(name);
        }
    }

    /// Upstreams that the platform lists as leaving.
    pub fn leaving_upstreams(&self) -> Vec<Name> {
        let inner = self.lock();
        let upstreams = inner.listed.values().filter(|info| info.kind == InstanceKind::Upstream);
        let leaving = upstreams.filter(|info| info.state == InstanceState::Leaving);
        leaving.map(|info| info.name.clone()).collect()
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
