//! When the directory has answered, as far as this process and its peers have seen.
//! Tells an outage of the directory from one of a process's own calls. Performs no
//! I/O.

use std::time::{Duration, Instant};

use gg_protocol::suspension::suspended_since;
use serde::{Deserialize, Serialize};

/// Spans that are kept, the latest ones. Two show the last outage.
const SPANS_MAX: usize = 4;

/// Time in which the directory answered again and again, without a pause in which
/// leases could run out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerSpan {
    first: Instant,
    last: Instant,
}

/// A span as instances exchange it, since their clocks differ: times before the
/// report, in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerReport {
    /// Time since the first answer.
    pub first_ms: u64,
    /// Time since the last answer.
    pub last_ms: u64,
}

/// A pause of the directory's answers in which leases may have run out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// The last answer before it.
    pub began: Instant,
    /// The first answer after it.
    pub ended: Instant,
}

/// Answers that are known.
#[derive(Clone, Debug)]
pub struct AnswerLog {
    outage_min: Duration,
    /// Spans in the order of time, with an outage between any two.
    spans: Vec<AnswerSpan>,
}

impl AnswerSpan {
    /// The span of a single answer.
    pub fn at(answered: Instant) -> Self {
        AnswerSpan { first: answered, last: answered }
    }

    /// The span of a peer's report, in reply to a request. When the peer replied is
    /// not known, so only the time counts that is in the span in any case.
    pub fn from_peer(report: AnswerReport, sent_at: Instant, received_at: Instant) -> Option<Self> {
        let last = sent_at.checked_sub(Duration::from_millis(report.last_ms))?;
        let length = Duration::from_millis(report.first_ms.saturating_sub(report.last_ms));
        let exchange = received_at.saturating_duration_since(sent_at);
        let first = last.checked_sub(length.saturating_sub(exchange))?;
        Some(AnswerSpan { first, last })
    }

    /// The span as it is sent to a peer.
    pub fn report(self, now: Instant) -> AnswerReport {
        let ms = |at| now.saturating_duration_since(at).as_millis() as u64;
        // Rounded so that the span doesn't grow.
        AnswerReport { first_ms: ms(self.first), last_ms: ms(self.last) + 1 }
    }
}

impl AnswerLog {
    /// A log in which a pause of `outage_min` is an outage.
    pub fn new(outage_min: Duration) -> Self {
        AnswerLog { outage_min, spans: Vec::new() }
    }

    /// Records answers that this process or a peer got.
    pub fn record(&mut self, new: AnswerSpan) {
        self.spans.push(new);
        self.spans.sort_by_key(|span| span.first);
        let mut joined: Vec<AnswerSpan> = Vec::with_capacity(self.spans.len());
        for span in self.spans.drain(..) {
            match joined.last_mut() {
                Some(known) if pause(known.last, span.first) < self.outage_min => {
                    known.last = known.last.max(span.last);
                }
                _ => joined.push(span),
            }
        }
        let dropped = joined.len().saturating_sub(SPANS_MAX);
        joined.drain(..dropped);
        self.spans = joined;
    }

    /// The current span.
    pub fn span(&self) -> Option<AnswerSpan> {
        self.spans.last().copied()
    }

    /// The last outage that has ended.
    pub fn outage(&self) -> Option<Outage> {
        match self.spans.as_slice() {
            [.., before, after] => Some(Outage { began: before.last, ended: after.first }),
            _ => None,
        }
    }
}

impl Outage {
    /// Whether a `lease` that was renewed before the outage may have run out after
    /// `known`, because it could not be renewed in the outage.
    pub fn may_end_lease(&self, lease: Duration, known: Instant) -> bool {
        known < self.ended.max(self.began + lease)
    }
}

/// Time without answers. That in which this machine was suspended counts, as it could
/// get none.
fn pause(last: Instant, next: Instant) -> Duration {
    match next.checked_duration_since(last) {
        None => Duration::ZERO,
        Some(pause) => pause + suspended_since(last).saturating_sub(suspended_since(next)),
    }
}
