//! Shares of engine time that decay, so that only the recent past counts.

use std::{
    collections::HashMap,
    hash::Hash,
    time::{Duration, Instant},
};

/// Engine time used by each key, halved every half-life.
#[derive(Clone, Debug)]
pub struct Shares<K> {
    used: HashMap<K, f64>,
    half_life: Duration,
    decayed: Instant,
}

/// Entries below this many ms are dropped.
const NEGLIGIBLE_MS: f64 = 0.5;

/// Decay is applied in steps of this part of the half-life.
const STEPS: u32 = 16;

impl<K: Eq + Hash> Shares<K> {
    /// Empty shares.
    pub fn new(half_life: Duration, now: Instant) -> Self {
        Shares { used: HashMap::new(), half_life, decayed: now }
    }

    /// Adds engine time, or takes some back that was estimated too high.
    pub fn add(&mut self, key: K, ms: f64, now: Instant) {
        self.decay(now);
        let used = self.used.entry(key).or_insert(0.0);
        *used = (*used + ms).max(0.0);
    }

    /// Recent engine time of `key`, in ms.
    pub fn used<Q>(&self, key: &Q) -> f64
    where
        K: std::borrow::Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        self.used.get(key).copied().unwrap_or(0.0)
    }

    /// Recent engine time of all keys, in ms.
    pub fn total(&self) -> f64 {
        self.used.values().sum()
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.duration_since(self.decayed);
        if elapsed < self.half_life / STEPS {
            return;
        }
        let factor = 0.5_f64.powf(elapsed.as_secs_f64() / self.half_life.as_secs_f64());
        self.used.retain(|_, used| {
            *used *= factor;
            *used > NEGLIGIBLE_MS
        });
        self.decayed = now;
    }
}
