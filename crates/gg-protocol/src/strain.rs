//! Overload statistics that instances exchange.

use serde::{Deserialize, Serialize};

/// Overload statistics of one service: decayed counts of recent responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Strain {
    /// Number of responses that started.
    pub begun: f32,
    /// Number of these that started late.
    pub late: f32,
    /// Number of responses with a known interval between events.
    pub paced: f32,
    /// Number of these that were slow.
    pub slow: f32,
    /// Number of requests in flight on the replicas.
    pub under_way: f32,
    /// Number of instances that these counts come from.
    pub tellers: f32,
}

/// Minimum number of responses for a meaningful share.
const RESPONSES_MIN: f32 = 4.0;

impl Strain {
    /// Reduces the weight of all responses counted so far.
    pub fn decay(&mut self, factor: f32) {
        self.begun *= factor;
        self.late *= factor;
        self.paced *= factor;
        self.slow *= factor;
    }

    /// Adds the counts of another instance.
    pub fn add(&mut self, other: &Strain) {
        self.begun += other.begun;
        self.late += other.late;
        self.paced += other.paced;
        self.slow += other.slow;
        self.under_way += other.under_way;
        self.tellers += other.tellers;
    }

    /// Mean number of requests in flight per instance.
    pub fn mean_in_flight(&self) -> Option<f32> {
        (self.tellers > 0.0).then(|| self.under_way / self.tellers)
    }

    /// Share of late responses or of slow responses, whichever is larger;
    /// `None` if there are too few responses.
    pub fn worst_share(&self) -> Option<f32> {
        let share = |count: f32, total: f32| (total >= RESPONSES_MIN).then(|| count / total);
        let (late, slow) = (share(self.late, self.begun), share(self.slow, self.paced));
        late.into_iter().chain(slow).reduce(f32::max)
    }
}
