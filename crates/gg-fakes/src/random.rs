//! Seeded random numbers for reproducible runs.

use rand::{Rng, SeedableRng, rngs::StdRng};

/// A seeded source of random numbers.
#[derive(Clone, Debug)]
pub struct Random(StdRng);

impl Random {
    /// Creates a source that generates the same numbers for the same seed.
    pub fn new(seed: u64) -> Self {
        Random(StdRng::seed_from_u64(seed))
    }

    /// A number from `low` inclusive to `high` exclusive; `low` if the range is empty.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        if low >= high { low } else { self.0.random_range(low..high) }
    }

    /// Returns `true` with the given probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.0.random_bool(probability.clamp(0.0, 1.0))
    }

    /// An exponentially distributed duration with the given mean, as between random
    /// arrivals.
    pub fn pause_ms(&mut self, mean_ms: f64) -> u64 {
        let uniform: f64 = self.0.random_range(f64::EPSILON..1.0);
        (-uniform.ln() * mean_ms) as u64
    }
}
