//! Copy of directory entries that serves clients which don't follow the
//! directory themselves.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    AnswerLog, AnswerReport, AnswerSpan, Change, Confirmed, CopyAges, DirectoryUpdate, Entry, Kind,
};

/// Copies of directory entries, by kind.
#[derive(Clone, Debug)]
pub struct Mirror {
    kinds: IndexMap<Kind, KindCopy>,
    /// Age from which on a copy is not called current.
    current_age: Duration,
    /// Answers of the directory to this instance and its peers.
    answers: AnswerLog,
}

/// Copy of the entries of one kind.
#[derive(Clone, Debug, Default)]
struct KindCopy {
    /// Revision of the last change to the entries.
    revision: u64,
    entries: IndexMap<String, Entry>,
    confirmed: Option<Confirmed>,
    /// Whether the directory can't be reached since the last confirmation.
    is_lost: bool,
}

/// An update that a mirror returns for one kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MirrorUpdate {
    /// Kind that the update is about.
    pub kind: Kind,
    /// Revision of the last change to the entries.
    pub revision: u64,
    /// Whether the directory counts as reachable for the owner of the mirror, and
    /// the copy was confirmed in time.
    pub is_current: bool,
    /// All entries, if there are newer ones than the polling client knows.
    pub entries: Option<Vec<Entry>>,
    /// Time since the call that confirmed the copy was sent. Unknown if it was never
    /// confirmed, or the owner's version doesn't tell. Sent behind the updates.
    #[serde(skip)]
    pub age: Option<Duration>,
}

impl Default for Mirror {
    fn default() -> Self {
        Mirror::new(&CopyAges::default())
    }
}

impl Mirror {
    /// A mirror without entries.
    pub fn new(ages: &CopyAges) -> Self {
        let answers = AnswerLog::new(ages.outage_min);
        Mirror { kinds: IndexMap::new(), current_age: ages.current, answers }
    }

    /// Records answers of the directory to a peer.
    pub fn record_answers(&mut self, span: AnswerSpan) {
        self.answers.record(span);
    }

    /// When the directory has answered, for peers.
    pub fn answer_report(&self, now: Instant) -> Option<AnswerReport> {
        self.answers.span().map(|span| span.report(now))
    }

    /// Applies an update of a kind.
    pub fn apply(&mut self, kind: Kind, update: &DirectoryUpdate) {
        let copy = self.kinds.entry(kind).or_default();
        match update {
            DirectoryUpdate::Snapshot(revision, entries) => {
                let entries = entries.iter().map(|entry| (entry.name.clone(), entry.clone()));
                let entries: IndexMap<_, _> = entries.collect();
                if entries != copy.entries || copy.revision == 0 {
                    copy.entries = entries;
                    copy.revision = *revision;
                }
            }
            DirectoryUpdate::Changes(revision, changes) => {
                for change in changes {
                    copy.revision = *revision;
                    match change {
                        Change::Put(entry) => {
                            copy.entries.insert(entry.name.clone(), entry.clone());
                        }
                        Change::Removed(name) => {
                            copy.entries.shift_remove(name);
                        }
                    }
                }
            }
            DirectoryUpdate::Answered(at) => self.answers.record(AnswerSpan::at(*at)),
            DirectoryUpdate::Confirmed(confirmed) => {
                self.answers.record(AnswerSpan::at(confirmed.moment()));
                copy.confirmed = copy.confirmed.max(Some(*confirmed));
                copy.is_lost = false;
            }
            DirectoryUpdate::Lost(_) => copy.is_lost = true,
        }
    }

    /// Returns the updates for a polling client that knows these kinds up to these
    /// revisions.
    pub fn updates(&self, known: &[(Kind, u64)], now: Instant) -> Vec<MirrorUpdate> {
        let update = |(kind, known): &(Kind, u64)| {
            let copy = self.kinds.get(kind)?;
            let is_newer = copy.revision > *known;
            let age = copy.confirmed.map(|confirmed| confirmed.age(now));
            Some(MirrorUpdate {
                kind: *kind,
                revision: copy.revision,
                is_current: !copy.is_lost && age.is_some_and(|age| age < self.current_age),
                entries: is_newer.then(|| copy.entries.values().cloned().collect()),
                age,
            })
        };
        known.iter().filter_map(update).collect()
    }
}
