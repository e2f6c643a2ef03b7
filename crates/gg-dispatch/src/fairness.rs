//! Engine time usage that decays, so that only recent usage counts.

use std::{
    collections::HashMap,
    hash::Hash,
    time::{Duration, Instant},
};

/// Engine time used by each key, halved after every half-life.
#[derive(Clone, Debug)]
pub struct DecayingUsage<K> {
    used: HashMap<K, f64>,
    half_life: Duration,
    decayed_at: Instant,
}

/// Entries below this value are removed.
const NEGLIGIBLE_MS: f64 = 0.5;

/// Decay is applied at most this many times per half-life.
const DECAY_STEPS: u32 = 16;

impl<K: Eq + Hash> DecayingUsage<K> {
    /// Creates an empty record.
    pub fn new(half_life: Duration, now: Instant) -> Self {
        DecayingUsage { used: HashMap::new(), half_life, decayed_at: now }
    }

    /// Adds engine time. A negative value corrects an estimate that was too
    /// high.
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
        let elapsed = now.duration_since(self.decayed_at);
        if elapsed < self.half_life / DECAY_STEPS {
            return;
        }
        let factor = 0.5_f64.powf(elapsed.as_secs_f64() / self.half_life.as_secs_f64());
        self.used.retain(|_, used| {
            *used *= factor;
            *used > NEGLIGIBLE_MS
        });
        self.decayed_at = now;
    }
}
