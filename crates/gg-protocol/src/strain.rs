//! How answers fared lately, as instances tell each other.

use serde::{Deserialize, Serialize};

/// Counts of recent answers of one service; older ones weigh less.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Strain {
    /// Answers that began.
    pub begun: f32,
    /// Of these, those that began late.
    pub late: f32,
    /// Answers whose pace is known.
    pub paced: f32,
    /// Of these, those that were produced slowly.
    pub slow: f32,
    /// Requests on the replicas now.
    pub under_way: f32,
    /// Instances that counted all this.
    pub tellers: f32,
}

/// Fewest answers that tell a share.
const ANSWERS_MIN: f32 = 4.0;

impl Strain {
    /// Makes the answers that were counted before weigh less.
    pub fn fade(&mut self, rest: f32) {
        self.begun *= rest;
        self.late *= rest;
        self.paced *= rest;
        self.slow *= rest;
    }

    /// Adds what another instance counted.
    pub fn add(&mut self, other: &Strain) {
        self.begun += other.begun;
        self.late += other.late;
        self.paced += other.paced;
        self.slow += other.slow;
        self.under_way += other.under_way;
        self.tellers += other.tellers;
    }

    /// Requests on the replicas of each instance, on average.
    pub fn mean_under_way(&self) -> Option<f32> {
        (self.tellers > 0.0).then(|| self.under_way / self.tellers)
    }

    /// Share of answers that began late or were produced slowly, whichever is
    /// larger; `None` if too few are known.
    pub fn worst(&self) -> Option<f32> {
        let share = |part: f32, all: f32| (all >= ANSWERS_MIN).then(|| part / all);
        let (late, slow) = (share(self.late, self.begun), share(self.slow, self.paced));
        late.into_iter().chain(slow).reduce(f32::max)
    }
}
