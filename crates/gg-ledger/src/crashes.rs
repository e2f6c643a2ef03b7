//! Contents that were under way when replicas crashed. A plain type; the log
//! feeds it, so that counts outlive restarts.

use std::time::{Duration, Instant};

use gg_protocol::Name;
use indexmap::{IndexMap, IndexSet};

use crate::Line;

/// Crashes after which a content is not sent to replicas any more. Fewer
/// could stop requests that only ran beside the one that crashes replicas.
const CRASHES_MAX: usize = 3;

/// A content is remembered for this long after its last crash.
const KEEP_TIME: Duration = Duration::from_secs(3_600);

/// Contents that are remembered; crashes of many replicas at once name all
/// that ran there.
const CONTENTS_MAX: usize = 4_096;

/// Crashes by content.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    contents: IndexMap<u64, Content>,
}

#[derive(Clone, Debug)]
struct Content {
    /// Starts of replicas that crashed, each counted once however many
    /// gateways tell of it.
    upstreams: IndexSet<Name>,
    at: Instant,
}

impl Crashes {
    /// Takes in that a start of a replica crashed while it ran a content;
    /// returns how many starts did.
    pub fn note(&mut self, content: u64, upstream: Name, now: Instant) -> usize {
        let empty = || Content { upstreams: IndexSet::new(), at: now };
        let known = self.contents.entry(content).or_insert_with(empty);
        known.at = now;
        known.upstreams.insert(upstream);
        let count = known.upstreams.len();
        if self.contents.len() > CONTENTS_MAX {
            self.contents.shift_remove_index(0);
        }
        count
    }

    /// Contents that are not to be sent any more.
    pub fn quarantined(&self) -> Vec<u64> {
        let contents = self.contents.iter();
        let crashing = contents.filter(|(_, known)| known.upstreams.len() >= CRASHES_MAX);
        crashing.map(|(content, _)| *content).collect()
    }

    /// Lines that bring all of this back.
    pub fn lines(&self) -> Vec<Line> {
        let each = |(content, known): (&u64, &Content)| {
            let content = *content;
            let upstreams = known.upstreams.clone().into_iter();
            upstreams.map(move |upstream| Line::Crash { content, upstream })
        };
        self.contents.iter().flat_map(each).collect()
    }

    /// Drops what is old.
    pub fn expire(&mut self, now: Instant) {
        self.contents.retain(|_, known| now.saturating_duration_since(known.at) < KEEP_TIME);
    }
}
