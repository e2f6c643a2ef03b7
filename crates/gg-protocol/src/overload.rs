//! Overload statistics that instances exchange.

use serde::{Deserialize, Serialize};

/// Overload statistics of one service: decayed counts of recent responses, and
/// the current number of requests in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OverloadStats {
    /// Number of responses that started.
    pub started: f32,
    /// Number of these that started late.
    pub late: f32,
    /// Number of responses with a known interval between events.
    pub timed: f32,
    /// Number of these that were slow.
    pub slow: f32,
    /// Number of requests in flight on the replicas.
    pub in_flight: f32,
    /// Number of instances that these counts come from.
    pub reporters: f32,
}

/// Minimum number of responses for a meaningful share.
const RESPONSES_MIN: f32 = 4.0;

impl OverloadStats {
    /// Reduces the weight of all responses counted so far.
    pub fn decay(&mut self, factor: f32) {
        self.started *= factor;
        self.late *= factor;
        self.timed *= factor;
        self.slow *= factor;
    }

    /// Adds the counts of another instance.
    pub fn add(&mut self, other: &OverloadStats) {
        self.started += other.started;
        self.late += other.late;
        self.timed += other.timed;
        self.slow += other.slow;
        self.in_flight += other.in_flight;
        self.reporters += other.reporters;
    }

    /// Mean number of requests in flight per instance.
    pub fn mean_in_flight(&self) -> Option<f32> {
        (self.reporters > 0.0).then(|| self.in_flight / self.reporters)
    }

    /// Share of late responses or of slow responses, whichever is larger;
    /// `None` if there are too few responses.
    pub fn worst_share(&self) -> Option<f32> {
        let share = |count: f32, total: f32| (total >= RESPONSES_MIN).then(|| count / total);
        let (late, slow) = (share(self.late, self.started), share(self.slow, self.timed));
        late.into_iter().chain(slow).reduce(f32::max)
    }
}
