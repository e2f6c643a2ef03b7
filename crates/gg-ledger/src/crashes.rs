//! What is known of requests that crash replicas: facts that gateways see and
//! ledger instances keep. Facts are only ever added, so two sets of them are
//! put together by taking in all of both, in any order and as often as one
//! likes, and no answer of one instance takes back what another one told.

use std::{
    collections::{BTreeMap, HashSet},
    fmt,
    time::{Duration, Instant},
};

use gg_protocol::Name;
use serde::{Deserialize, Serialize};

use crate::Line;

/// Crashes after which a content is not sent to replicas any more. Fewer
/// could stop requests that only ran beside the one that crashes replicas.
const CRASHES_MAX: usize = 3;

/// A fact is remembered for this long.
const KEEP_TIME: Duration = Duration::from_secs(3_600);

/// Facts that are remembered; a crash names all contents that ran there.
const FACTS_MAX: usize = 16_384;

/// Part of the facts that goes when there are too many.
const EVICTED_SHARE: usize = 8;

/// A fact that is told again counts as new only if it is younger than the
/// known one by more than this: ages grow by the time that a message is on
/// its way.
const RENEWAL_MIN: Duration = Duration::from_secs(2);

/// The same for a content that is refused again and again: it is told that
/// often at most.
const REFUSED_RENEWAL: Duration = Duration::from_secs(300);

/// Facts in one message.
const MESSAGE_MAX: usize = 512;

/// What a request asks, as digests; requests that are alike crash replicas
/// alike.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Content {
    /// Digest of method, host and path.
    pub head: u64,
    /// Digest of the body.
    pub body: u64,
    /// Digest of who asks.
    pub caller: u64,
}

impl Content {
    /// Whether the same is asked, by whomever.
    fn is_like(&self, other: &Content) -> bool {
        (self.head, self.body) == (other.head, other.body)
    }
}

impl fmt::Display for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}.{:016x}.{:016x}", self.head, self.body, self.caller)
    }
}

/// A fact about crashes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashFact {
    /// A start of a replica crashed while it ran a content.
    Crashed {
        /// The content.
        content: Content,
        /// Start of the replica.
        start: Name,
    },
    /// A content was refused, so it is still asked for.
    Refused {
        /// The content.
        content: Content,
    },
}

impl CrashFact {
    /// The content that the fact is about.
    pub fn content(&self) -> Content {
        match self {
            CrashFact::Crashed { content, .. } | CrashFact::Refused { content } => *content,
        }
    }
}

/// A fact on its way to another process, whose clock differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedFact {
    /// The fact.
    pub fact: CrashFact,
    /// Time since it came about, in ms.
    pub age_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Stamp {
    at: Instant,
    /// Position in the order in which this set learned its facts.
    serial: u64,
}

/// A set of facts.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    facts: BTreeMap<CrashFact, Stamp>,
    /// Serial of the newest fact.
    last: u64,
}

impl Crashes {
    /// Takes in a fact of `age`; returns whether it was new.
    pub fn learn(&mut self, fact: &CrashFact, age: Duration, now: Instant) -> bool {
        let Some(at) = now.checked_sub(age).filter(|_| age < KEEP_TIME) else { return false };
        let renewal = match fact {
            CrashFact::Refused { .. } => REFUSED_RENEWAL,
            _ => RENEWAL_MIN,
        };
        if self.facts.get(fact).is_some_and(|known| at <= known.at + renewal) {
            return false;
        }
        self.last += 1;
        self.facts.insert(fact.clone(), Stamp { at, serial: self.last });
        if self.facts.len() > FACTS_MAX {
            self.evict();
        }
        true
    }

    /// Takes in facts of another set; returns those that were new.
    pub fn merge(&mut self, facts: &[AgedFact], now: Instant) -> Vec<CrashFact> {
        let new = facts
            .iter()
            .filter(|aged| self.learn(&aged.fact, Duration::from_millis(aged.age_ms), now));
        new.map(|aged| aged.fact.clone()).collect()
    }

    /// Facts learned after the one numbered `serial`, oldest first, as many as
    /// fit into a message, and the number of the last of them.
    pub fn since(&self, serial: u64, now: Instant) -> (Vec<AgedFact>, u64) {
        if serial >= self.last {
            return (Vec::new(), self.last);
        }
        let mut newer: Vec<(&CrashFact, &Stamp)> =
            self.facts.iter().filter(|(_, stamp)| stamp.serial > serial).collect();
        newer.sort_unstable_by_key(|(_, stamp)| stamp.serial);
        let last = match newer.get(MESSAGE_MAX - 1) {
            Some((_, stamp)) => stamp.serial,
            None => self.last,
        };
        newer.truncate(MESSAGE_MAX);
        let aged = newer.into_iter().map(|(fact, stamp)| {
            let age = now.saturating_duration_since(stamp.at);
            AgedFact { fact: fact.clone(), age_ms: age.as_millis() as u64 }
        });
        (aged.collect(), last)
    }

    /// Starts of replicas that crashed while they ran a content.
    pub fn count(&self, content: Content) -> usize {
        self.alike(content).filter(|(known, _)| *known == content).count()
    }

    /// Whether a content is not to be sent any more: it crashed enough
    /// replicas, or its like did at several callers. One caller's crashes
    /// alone don't stop another one, whose request may mean something else.
    pub fn is_refused(&self, content: Content) -> bool {
        if self.count(content) >= CRASHES_MAX {
            return true;
        }
        let mut callers = HashSet::new();
        let mut starts = HashSet::new();
        for (alike, start) in self.alike(content) {
            callers.insert(alike.caller);
            starts.insert(start);
        }
        callers.len() > 1 && starts.len() >= CRASHES_MAX
    }

    /// Whether any content with this head crashed a replica. Heads are short,
    /// so that bodies need not be looked at for nothing.
    pub fn has_head(&self, head: u64) -> bool {
        let from = lowest(Content { head, body: 0, caller: 0 });
        let next = self.facts.range(from..).next();
        matches!(next, Some((CrashFact::Crashed { content, .. }, _)) if content.head == head)
    }

    /// Number of facts.
    pub fn len(&self) -> usize {
        self.facts.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    /// Lines that bring all of this back.
    pub fn lines(&self) -> Vec<Line> {
        self.facts.keys().map(|fact| Line::Fact(fact.clone())).collect()
    }

    /// Drops what is old. Crashes stay while their content is asked for.
    pub fn expire(&mut self, now: Instant) {
        let is_old = |stamp: &Stamp| now.saturating_duration_since(stamp.at) >= KEEP_TIME;
        let asked: HashSet<(u64, u64)> = self
            .facts
            .iter()
            .filter(|(fact, stamp)| matches!(fact, CrashFact::Refused { .. }) && !is_old(stamp))
            .map(|(fact, _)| (fact.content().head, fact.content().body))
            .collect();
        self.facts.retain(|fact, stamp| {
            let content = fact.content();
            !is_old(stamp) || asked.contains(&(content.head, content.body))
        });
    }

    /// Crashes of the same as `content`, by caller and start.
    fn alike(&self, content: Content) -> impl Iterator<Item = (Content, &Name)> {
        let from = lowest(Content { caller: 0, ..content });
        self.facts.range(from..).map_while(move |(fact, _)| match fact {
            CrashFact::Crashed { content: known, start } if known.is_like(&content) => {
                Some((*known, start))
            }
            _ => None,
        })
    }

    /// Makes room: contents that are not refused go first, oldest first.
    fn evict(&mut self) {
        let mut order: Vec<(bool, Instant, CrashFact)> = self
            .facts
            .iter()
            .map(|(fact, stamp)| (self.is_refused(fact.content()), stamp.at, fact.clone()))
            .collect();
        order.sort_unstable();
        for (_, _, fact) in order.into_iter().take(FACTS_MAX / EVICTED_SHARE) {
            self.facts.remove(&fact);
        }
    }
}

/// The first fact in the order that tells of a content's crash.
fn lowest(content: Content) -> CrashFact {
    CrashFact::Crashed { content, start: "".into() }
}

/// Logs a fact that a set has just learned.
pub(crate) fn log_learned(crashes: &Crashes, fact: &CrashFact, from: &str) {
    let content = fact.content();
    let count = crashes.count(content);
    let is_refused = crashes.is_refused(content);
    match fact {
        CrashFact::Crashed { start, .. } => log::warn!(
            "event=crash_learned content={content} start={start} crashes={count} \
             refused={is_refused} from={from}"
        ),
        CrashFact::Refused { .. } => {
            log::info!("event=refusal_learned content={content} crashes={count} from={from}");
        }
    }
}
