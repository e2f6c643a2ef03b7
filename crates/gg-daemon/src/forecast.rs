//! Forecast of how long a program will take, from what was observed.

use std::{
    collections::HashMap,
    sync::Mutex,
    time::{Duration, Instant},
};

use gg_protocol::{Name, Rank, config::RANKS};
use rand::Rng;

use crate::lock::lock;

/// Weight of the newest observation.
const WEIGHT: f64 = 0.1;

/// Observed waits count half after this time without another.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Share of the target that a program may be expected to take.
const TARGET_SHARE: f64 = 0.8;

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

/// Programs of one profile under way here, and the turns that they finish.
#[derive(Clone, Copy, Debug)]
struct Activity {
    programs: f64,
    /// Finished turns, halved every [`RATE_HALF_LIFE`].
    turns: f64,
    at: Instant,
    since: Instant,
}

impl Activity {
    fn new(now: Instant) -> Self {
        Activity { programs: 0.0, turns: 0.0, at: now, since: now }
    }

    fn decay(&mut self, now: Instant) {
        let halves = now.duration_since(self.at).as_secs_f64() / RATE_HALF_LIFE.as_secs_f64();
        self.turns *= 0.5_f64.powf(halves);
        self.at = now;
    }

    /// Time in which each program under way gets one turn, in ms; `None`
    /// while too few turns were seen to tell.
    fn round_ms(&self) -> Option<f64> {
        if self.turns < TURNS_MIN {
            return None;
        }
        let half_life = RATE_HALF_LIFE.as_secs_f64();
        let halves = self.at.duration_since(self.since).as_secs_f64() / half_life;
        // The count has not seen a whole life in the beginning.
        let seen = 1.0 - 0.5_f64.powf(halves);
        let life_ms = half_life * 1000.0 / std::f64::consts::LN_2;
        Some((self.programs + 1.0) * life_ms * seen / self.turns)
    }
}

/// Half-life of the count of finished turns.
const RATE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Fewest recent turns that tell a rate.
const TURNS_MIN: f64 = 10.0;

/// What this daemon has seen of profiles and queues.
#[derive(Debug, Default)]
pub(crate) struct Forecast {
    activities: Mutex<HashMap<Name, Activity>>,
    shapes: Mutex<HashMap<Name, Shape>>,
    waits: Mutex<[Option<Wait>; RANKS]>,
}

impl Forecast {
    /// Takes in that a program began here.
    pub(crate) fn note_start(&self, profile: &Name) {
        self.change(profile, |activity| activity.programs += 1.0);
    }

    /// Takes in that a program ended here.
    pub(crate) fn note_end(&self, profile: &Name) {
        self.change(profile, |activity| activity.programs = (activity.programs - 1.0).max(0.0));
    }

    /// Takes in a finished turn.
    pub(crate) fn note_turn(&self, profile: &Name) {
        self.change(profile, |activity| activity.turns += 1.0);
    }

    fn change(&self, profile: &Name, change: impl FnOnce(&mut Activity)) {
        let now = Instant::now();
        let mut activities = lock(&self.activities);
        let activity = activities.entry(profile.clone()).or_insert_with(|| Activity::new(now));
        activity.decay(now);
        change(activity);
    }

    /// Time in which each program of the profile gets one turn, in ms.
    fn round_ms(&self, profile: &Name) -> f64 {
        let mut activities = lock(&self.activities);
        let Some(activity) = activities.get_mut(profile) else { return 0.0 };
        activity.decay(Instant::now());
        activity.round_ms().unwrap_or(0.0)
    }

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
        // Whichever tells more: the waits seen, which come late, or how many
        // programs share the turns that are finished now.
        let turn_ms = (shape.turn_ms + self.wait_ms(rank)).max(self.round_ms(profile));
        let over = turns * turn_ms - target_ms as f64 * TARGET_SHARE;
        if over <= 0.0 {
            return None;
        }
        let spread = rand::rng().random_range(0.5..1.5);
        Some((over * spread).clamp(RETRY_MIN_MS, RETRY_MAX_MS) as u64)
    }
}
