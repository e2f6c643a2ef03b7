//! Forecast of how long a program will take, from what was observed.

use std::{
    collections::HashMap,
    sync::Mutex,
    time::{Duration, Instant},
};

use gg_protocol::{Name, Rank, config::RANKS};
use rand::Rng;

use crate::shared::lock;

/// Weight of the newest observation.
const WEIGHT: f64 = 0.1;

/// Observed waits count half after this time without another.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Shortest time that a refused caller is told to stay away, in ms.
const RETRY_MIN_MS: f64 = 500.0;

/// Longest time that a refused caller is told to stay away, in ms.
const RETRY_MAX_MS: f64 = 60_000.0;

#[derive(Clone, Copy, Debug, Default)]
struct Shape {
    turns: f64,
    turn_ms: f64,
}

#[derive(Clone, Copy, Debug)]
struct Wait {
    ms: f64,
    at: Instant,
}

/// What this daemon has seen of profiles and queues.
#[derive(Debug, Default)]
pub(crate) struct Forecast {
    shapes: Mutex<HashMap<Name, Shape>>,
    waits: Mutex<[Option<Wait>; RANKS]>,
}

impl Forecast {
    /// Takes in a finished program of `turns` turns.
    pub(crate) fn note_program(&self, profile: &Name, turns: usize, busy_ms: u64) {
        if turns == 0 {
            return;
        }
        let turn_ms = busy_ms as f64 / turns as f64;
        let mut shapes = lock(&self.shapes);
        let shape = shapes.entry(profile.clone()).or_insert(Shape { turns: turns as f64, turn_ms });
        shape.turns += WEIGHT * (turns as f64 - shape.turns);
        shape.turn_ms += WEIGHT * (turn_ms - shape.turn_ms);
    }

    /// Takes in the time that a call of `rank` waited for a slot.
    pub(crate) fn note_wait(&self, rank: Rank, ms: u64) {
        let mut waits = lock(&self.waits);
        let wait = &mut waits[usize::from(rank.0).min(RANKS - 1)];
        let now = Instant::now();
        let old = wait.map_or(ms as f64, |wait| wait.ms);
        *wait = Some(Wait { ms: old + WEIGHT * (ms as f64 - old), at: now });
    }

    /// Expected wait of a call of `rank`, in ms.
    pub(crate) fn wait_ms(&self, rank: Rank) -> f64 {
        let waits = lock(&self.waits);
        let Some(wait) = waits[usize::from(rank.0).min(RANKS - 1)] else { return 0.0 };
        let halves = wait.at.elapsed().as_secs_f64() / HALF_LIFE.as_secs_f64();
        wait.ms * 0.5_f64.powf(halves)
    }

    /// If a new program of `profile` can't be expected to finish within
    /// `target_ms`, when to come back, in ms. Spread at random, so that
    /// refused callers don't come back together.
    pub(crate) fn refusal(&self, profile: &Name, rank: Rank, target_ms: u64) -> Option<u64> {
        let shape = lock(&self.shapes).get(profile).copied().unwrap_or_default();
        let turns = shape.turns.max(1.0);
        let expected = turns * (shape.turn_ms + self.wait_ms(rank));
        let over = expected - target_ms as f64;
        if over <= 0.0 {
            return None;
        }
        let spread = rand::rng().random_range(0.5..1.5);
        Some((over * spread).clamp(RETRY_MIN_MS, RETRY_MAX_MS) as u64)
    }
}
