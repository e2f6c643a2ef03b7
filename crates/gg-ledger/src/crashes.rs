//! Facts about requests that crash replicas, observed by gateways and stored by
//! ledger instances. Merging two sets takes all facts of both; it is
//! commutative and idempotent, so no reply of one instance revokes what another
//! one reported. Only a more recent fact clears an older one.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    fmt,
    time::{Duration, Instant},
};

use gg_protocol::Name;
use serde::{Deserialize, Serialize};

/// Crashes after which a request fingerprint is refused. A lower threshold
/// could refuse requests that only ran concurrently with the one that crashes
/// replicas.
const CRASH_THRESHOLD: usize = 3;

/// Crashes after which a request fingerprint is refused regardless of
/// concurrent requests. Fingerprints that always run together can't be
/// distinguished, and the requirements allow three more crashes.
const CRASH_HARD_LIMIT: usize = 5;

/// Time for which a fact is remembered.
const FACT_TTL: Duration = Duration::from_secs(3_600);

/// Maximum number of facts that are remembered. A crash adds one for each
/// fingerprint that ran on the replica.
const FACTS_MAX: usize = 16_384;

/// One in this many facts is evicted when there are too many.
const EVICTION_DIVISOR: usize = 8;

/// A repeated fact counts as new only if it is more recent than the known one
/// by more than this, or clears another fact. The age of a fact grows by the
/// transit time of each message.
const RENEWAL_MIN_AGE: Duration = Duration::from_secs(2);

/// The same for refusals. Repeated refusals of a fingerprint are forwarded at
/// most once in this time.
const REFUSED_RENEWAL_AGE: Duration = Duration::from_secs(300);

/// Maximum number of facts in one message.
const MESSAGE_FACTS_MAX: usize = 512;

/// Request fingerprint: digests of a request and its caller. Requests with the
/// same digests are expected to crash replicas in the same way.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestFingerprint {
    /// Digest of method, host and path.
    pub head: u64,
    /// Digest of the body.
    pub body: u64,
    /// Digest of the caller.
    pub caller: u64,
}

impl RequestFingerprint {
    /// Whether both are the same request, from any caller.
    fn same_request(&self, other: &RequestFingerprint) -> bool {
        (self.head, self.body) == (other.head, other.body)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}.{:016x}.{:016x}", self.head, self.body, self.caller)
    }
}

/// A fact about crashes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashFact {
    /// This incarnation of a replica replied, so it had not crashed before
    /// that.
    Replied {
        /// Incarnation of the replica.
        start: Name,
    },
    /// A replica completed a request with this fingerprint, so earlier crashes
    /// had other causes.
    Completed {
        /// Request fingerprint.
        fingerprint: RequestFingerprint,
    },
    /// A replica crashed while it ran a request with this fingerprint.
    Crashed {
        /// Request fingerprint.
        fingerprint: RequestFingerprint,
        /// Incarnation of the replica.
        start: Name,
    },
    /// A request with this fingerprint was refused, so clients still send it.
    Refused {
        /// Request fingerprint.
        fingerprint: RequestFingerprint,
    },
}

impl CrashFact {
    /// The request fingerprint that the fact is about, if any.
    pub fn fingerprint(&self) -> Option<RequestFingerprint> {
        match self {
            CrashFact::Replied { .. } => None,
            CrashFact::Completed { fingerprint }
            | CrashFact::Crashed { fingerprint, .. }
            | CrashFact::Refused { fingerprint } => Some(*fingerprint),
        }
    }
}

/// A fact with its age, for transfer to a process with another clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedFact {
    /// The fact.
    pub fact: CrashFact,
    /// Time since the fact was observed, in ms.
    pub age_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Stamp {
    at: Instant,
    /// Position in the order in which this set learned its facts.
    serial: u64,
}

#[derive(Clone, Debug)]
struct CrashedStart {
    /// When the incarnation was last observed as crashed.
    at: Instant,
    /// Fingerprints that ran on it at the time.
    fingerprints: HashSet<RequestFingerprint>,
}

/// A set of crash facts.
#[derive(Clone, Debug, Default)]
pub struct CrashFacts {
    facts: BTreeMap<CrashFact, Stamp>,
    /// Crashed incarnations, derived from `facts`.
    starts: HashMap<Name, CrashedStart>,
    /// Serial of the newest fact.
    last_serial: u64,
}

impl CrashFacts {
    /// Applies a fact of this `age`. Returns whether it was new.
    pub fn learn(&mut self, fact: &CrashFact, age: Duration, now: Instant) -> bool {
        let Some(at) = now.checked_sub(age).filter(|_| age < FACT_TTL) else { return false };
        let renewal = match fact {
            CrashFact::Refused { .. } => REFUSED_RENEWAL_AGE,
            _ => RENEWAL_MIN_AGE,
        };
        let is_known = self.facts.get(fact).is_some_and(|known| at <= known.at + renewal);
        let cleared = self.cleared_by(fact, at);
        if is_known && cleared.is_empty() {
            return false;
        }
        if self.is_cleared(fact, at) {
            return false;
        }
        self.last_serial += 1;
        if let CrashFact::Crashed { fingerprint, start } = fact {
            record_start(&mut self.starts, *fingerprint, start, at);
        }
        for (fingerprint, start) in cleared {
            self.remove_crash(fingerprint, start);
        }
        self.facts.insert(fact.clone(), Stamp { at, serial: self.last_serial });
        if self.facts.len() > FACTS_MAX {
            self.evict();
        }
        true
    }

    /// Whether a more recent fact clears this one.
    fn is_cleared(&self, fact: &CrashFact, at: Instant) -> bool {
        let CrashFact::Crashed { fingerprint, start } = fact else { return false };
        let clearing = [
            CrashFact::Completed { fingerprint: *fingerprint },
            CrashFact::Replied { start: start.clone() },
        ];
        clearing.iter().filter_map(|fact| self.facts.get(fact)).any(|stamp| stamp.at > at)
    }

    /// Crashes that a fact observed at `at` clears.
    fn cleared_by(&self, fact: &CrashFact, at: Instant) -> Vec<(RequestFingerprint, Name)> {
        let crashes: Vec<_> = match fact {
            CrashFact::Replied { start } => {
                let ran = self.starts.get(start).into_iter().flat_map(|known| &known.fingerprints);
                ran.map(|fingerprint| (*fingerprint, start.clone())).collect()
            }
            CrashFact::Completed { fingerprint } => {
                let matching = self.matching_crashes(*fingerprint);
                let own = matching.filter(|(known, _)| known == fingerprint);
                own.map(|(known, start)| (known, start.clone())).collect()
            }
            CrashFact::Crashed { .. } | CrashFact::Refused { .. } => Vec::new(),
        };
        let is_older = |(fingerprint, start): &(RequestFingerprint, Name)| {
            self.crashed_at(*fingerprint, start).is_some_and(|crashed| crashed <= at)
        };
        crashes.into_iter().filter(is_older).collect()
    }

    /// When an incarnation was last observed as crashed by a fingerprint.
    fn crashed_at(&self, fingerprint: RequestFingerprint, start: &Name) -> Option<Instant> {
        let fact = CrashFact::Crashed { fingerprint, start: start.clone() };
        self.facts.get(&fact).map(|stamp| stamp.at)
    }

    /// Removes a crash, and its incarnation if it was the only one of it.
    fn remove_crash(&mut self, fingerprint: RequestFingerprint, start: Name) {
        self.facts.remove(&CrashFact::Crashed { fingerprint, start: start.clone() });
        let Some(crashed) = self.starts.get_mut(&start) else { return };
        crashed.fingerprints.remove(&fingerprint);
        let remaining: Vec<_> = crashed.fingerprints.iter().copied().collect();
        let last = remaining.iter().filter_map(|known| self.crashed_at(*known, &start)).max();
        match (last, self.starts.get_mut(&start)) {
            (Some(last), Some(crashed)) => crashed.at = last,
            _ => drop(self.starts.remove(&start)),
        }
    }

    fn rebuild_starts(&mut self) {
        self.starts.clear();
        for (fact, stamp) in &self.facts {
            if let CrashFact::Crashed { fingerprint, start } = fact {
                record_start(&mut self.starts, *fingerprint, start, stamp.at);
            }
        }
    }

    /// Whether an incarnation is known to have crashed before `at`.
    pub fn has_crashed(&self, start: &str, at: Instant) -> bool {
        self.starts.get(start).is_some_and(|crashed| crashed.at < at)
    }

    /// Applies the facts of another set. Returns the new ones.
    pub fn merge(&mut self, facts: &[AgedFact], now: Instant) -> Vec<CrashFact> {
        let new = facts
            .iter()
            .filter(|aged| self.learn(&aged.fact, Duration::from_millis(aged.age_ms), now));
        new.map(|aged| aged.fact.clone()).collect()
    }

    /// Facts learned after `serial`, oldest first, limited to one message, and
    /// the serial of the last of them.
    pub fn since(&self, serial: u64, now: Instant) -> (Vec<AgedFact>, u64) {
        if serial >= self.last_serial {
            return (Vec::new(), self.last_serial);
        }
        let mut newer: Vec<(&CrashFact, &Stamp)> =
            self.facts.iter().filter(|(_, stamp)| stamp.serial > serial).collect();
        newer.sort_unstable_by_key(|(_, stamp)| stamp.serial);
        let last_serial = match newer.get(MESSAGE_FACTS_MAX - 1) {
            Some((_, stamp)) => stamp.serial,
            None => self.last_serial,
        };
        newer.truncate(MESSAGE_FACTS_MAX);
        let aged = newer.into_iter().map(|(fact, stamp)| {
            let age = now.saturating_duration_since(stamp.at);
            AgedFact { fact: fact.clone(), age_ms: age.as_millis() as u64 }
        });
        (aged.collect(), last_serial)
    }

    /// Number of replica incarnations that crashed while they ran a request with
    /// this fingerprint.
    pub fn count(&self, fingerprint: RequestFingerprint) -> usize {
        self.matching_crashes(fingerprint).filter(|(known, _)| *known == fingerprint).count()
    }

    /// Whether a request fingerprint is refused: it crashed enough replicas, or
    /// the same request of several callers did. Crashes caused by one caller
    /// alone don't affect another caller, whose request may have a different
    /// meaning.
    pub fn is_refused(&self, fingerprint: RequestFingerprint) -> bool {
        let mut callers = HashSet::new();
        let (mut own, mut all) = (HashSet::new(), HashSet::new());
        for (known, start) in self.matching_crashes(fingerprint) {
            callers.insert(known.caller);
            all.insert(start);
            if known == fingerprint {
                own.insert(start);
            }
        }
        self.is_cause(fingerprint, &own) || (callers.len() > 1 && self.is_cause(fingerprint, &all))
    }

    /// Whether a fingerprint is the cause of enough of these crashes.
    /// Another fingerprint with at least as many crashes explains the crashes
    /// that both were involved in. If both have equally many, the next run of
    /// either decides.
    fn is_cause(&self, fingerprint: RequestFingerprint, starts: &HashSet<&Name>) -> bool {
        if starts.len() >= CRASH_HARD_LIMIT {
            return true;
        }
        let is_explained = |start: &&Name| {
            let ran = self.starts.get(*start).into_iter().flat_map(|crashed| &crashed.fingerprints);
            let mut others = ran.filter(|other| !other.same_request(&fingerprint));
            others.any(|other| self.count(*other) >= starts.len())
        };
        starts.iter().filter(|start| !is_explained(start)).count() >= CRASH_THRESHOLD
    }

    /// Whether any fingerprint with this head crashed a replica. Heads are
    /// cheap to compute, so the body is hashed only if this returns `true`.
    pub fn has_head(&self, head: u64) -> bool {
        let from = range_start(RequestFingerprint { head, body: 0, caller: 0 });
        let next = self.facts.range(from..).next();
        matches!(next, Some((CrashFact::Crashed { fingerprint, .. }, _)) if fingerprint.head == head)
    }

    /// Number of facts.
    pub fn len(&self) -> usize {
        self.facts.len()
    }

    /// Whether there are no facts.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    /// Whether a fact is known and not cleared.
    pub fn contains(&self, fact: &CrashFact) -> bool {
        self.facts.contains_key(fact)
    }

    /// Drops expired facts. The facts about a request stay while it is still
    /// being sent.
    pub fn expire(&mut self, now: Instant) {
        let is_old = |stamp: &Stamp| now.saturating_duration_since(stamp.at) >= FACT_TTL;
        let requested: HashSet<(u64, u64)> = self
            .facts
            .iter()
            .filter(|(fact, stamp)| matches!(fact, CrashFact::Refused { .. }) && !is_old(stamp))
            .filter_map(|(fact, _)| fact.fingerprint())
            .map(|fingerprint| (fingerprint.head, fingerprint.body))
            .collect();
        let is_requested = |key: RequestFingerprint| requested.contains(&(key.head, key.body));
        let before = self.facts.len();
        self.facts
            .retain(|fact, stamp| !is_old(stamp) || fact.fingerprint().is_some_and(is_requested));
        if self.facts.len() < before {
            self.rebuild_starts();
        }
    }

    /// Crashes of the same request as `fingerprint`, by caller and
    /// incarnation.
    fn matching_crashes(
        &self,
        fingerprint: RequestFingerprint,
    ) -> impl Iterator<Item = (RequestFingerprint, &Name)> {
        let from = range_start(RequestFingerprint { caller: 0, ..fingerprint });
        self.facts.range(from..).map_while(move |(fact, _)| match fact {
            CrashFact::Crashed { fingerprint: known, start }
                if known.same_request(&fingerprint) =>
            {
                Some((*known, start))
            }
            _ => None,
        })
    }

    /// Evicts facts, oldest first; those of refused fingerprints go last.
    fn evict(&mut self) {
        let mut order: Vec<(bool, Instant, CrashFact)> = self
            .facts
            .iter()
            .map(|(fact, stamp)| {
                let is_refused =
                    fact.fingerprint().is_some_and(|fingerprint| self.is_refused(fingerprint));
                (is_refused, stamp.at, fact.clone())
            })
            .collect();
        order.sort_unstable();
        for (_, _, fact) in order.into_iter().take(FACTS_MAX / EVICTION_DIVISOR) {
            self.facts.remove(&fact);
        }
        self.rebuild_starts();
    }
}

fn record_start(
    starts: &mut HashMap<Name, CrashedStart>,
    fingerprint: RequestFingerprint,
    start: &Name,
    at: Instant,
) {
    let empty = || CrashedStart { at, fingerprints: HashSet::new() };
    let crashed = starts.entry(start.clone()).or_insert_with(empty);
    crashed.at = crashed.at.max(at);
    crashed.fingerprints.insert(fingerprint);
}

/// Lower bound in the fact order of a fingerprint's crashes.
fn range_start(fingerprint: RequestFingerprint) -> CrashFact {
    CrashFact::Crashed { fingerprint, start: "".into() }
}

/// Logs a fact that a set has just learned.
pub(crate) fn log_fact(crashes: &CrashFacts, fact: &CrashFact, from: &str) {
    match fact {
        CrashFact::Replied { start } => log::info!("event=alive_learned start={start} from={from}"),
        CrashFact::Completed { fingerprint } => {
            log::info!("event=sound_learned content={fingerprint} from={from}");
        }
        CrashFact::Crashed { fingerprint, start } => log::warn!(
            "event=crash_learned content={fingerprint} start={start} crashes={} refused={} from={from}",
            crashes.count(*fingerprint),
            crashes.is_refused(*fingerprint)
        ),
        CrashFact::Refused { fingerprint } => log::info!(
            "event=refusal_learned content={fingerprint} crashes={} from={from}",
            crashes.count(*fingerprint)
        ),
    }
}
