//! Forecasts program duration from observed turns and slot waits.

use std::{
    collections::HashMap,
    sync::Mutex,
    time::{Duration, Instant},
};

use gg_protocol::{Name, Rank, config::RANKS};
use rand::Rng;

use crate::lock::lock;

/// Weight of the newest observation in the moving averages.
const EWMA_WEIGHT: f64 = 0.1;

/// Half-life of the average wait while no new wait is observed.
const WAIT_HALF_LIFE: Duration = Duration::from_secs(3);

/// Share of the target within which a program's expected duration must lie.
const TARGET_SHARE: f64 = 0.8;

/// Shortest retry delay given to a refused caller.
const RETRY_MIN_MS: f64 = 500.0;

/// Longest retry delay given to a refused caller.
const RETRY_MAX_MS: f64 = 60_000.0;

/// Moving averages over the finished programs of one profile.
#[derive(Clone, Copy, Debug, Default)]
struct ProgramAverages {
    turns: f64,
    turn_ms: f64,
}

/// Moving average of the slot waits of one rank.
#[derive(Clone, Copy, Debug)]
struct AverageWait {
    ms: f64,
    updated_at: Instant,
}

/// Running programs of one profile and their recently finished turns.
#[derive(Clone, Copy, Debug)]
struct Activity {
    programs: f64,
    /// Count of finished turns that decays with [`TURN_HALF_LIFE`].
    turns: f64,
    updated_at: Instant,
    created_at: Instant,
}

impl Activity {
    fn new(now: Instant) -> Self {
        Activity { programs: 0.0, turns: 0.0, updated_at: now, created_at: now }
    }

    fn decay(&mut self, now: Instant) {
        let half_lives =
            now.duration_since(self.updated_at).as_secs_f64() / TURN_HALF_LIFE.as_secs_f64();
        self.turns *= 0.5_f64.powf(half_lives);
        self.updated_at = now;
    }

    /// Expected time in which each running program and one new program finish a
    /// turn, in ms; `None` while there are too few recent turns for an estimate.
    fn turn_interval_ms(&self) -> Option<f64> {
        if self.turns < TURNS_MIN {
            return None;
        }
        let half_life = TURN_HALF_LIFE.as_secs_f64();
        let half_lives = self.updated_at.duration_since(self.created_at).as_secs_f64() / half_life;
        // Corrects for the time before the first observation, from which the
        // decaying count holds no turns.
        let coverage = 1.0 - 0.5_f64.powf(half_lives);
        let mean_life_ms = half_life * 1000.0 / std::f64::consts::LN_2;
        Some((self.programs + 1.0) * mean_life_ms * coverage / self.turns)
    }
}

/// Half-life of the count of finished turns.
const TURN_HALF_LIFE: Duration = Duration::from_secs(2);

/// Minimum number of recent turns for an estimate of the turn rate.
const TURNS_MIN: f64 = 10.0;

/// This daemon's statistics on profiles and slot waits.
#[derive(Debug, Default)]
pub(crate) struct Forecast {
    activities: Mutex<HashMap<Name, Activity>>,
    averages: Mutex<HashMap<Name, ProgramAverages>>,
    waits: Mutex<[Option<AverageWait>; RANKS]>,
}

impl Forecast {
    /// Records the start of a program on this daemon.
    pub(crate) fn record_start(&self, profile: &Name) {
        self.update(profile, |activity| activity.programs += 1.0);
    }

    /// Records the end of a program on this daemon.
    pub(crate) fn record_end(&self, profile: &Name) {
        self.update(profile, |activity| activity.programs = (activity.programs - 1.0).max(0.0));
    }

    /// Records a finished turn.
    pub(crate) fn record_turn(&self, profile: &Name) {
        self.update(profile, |activity| activity.turns += 1.0);
    }

    fn update(&self, profile: &Name, update: impl FnOnce(&mut Activity)) {
        let now = Instant::now();
        let mut activities = lock(&self.activities);
        let activity = activities.entry(profile.clone()).or_insert_with(|| Activity::new(now));
        activity.decay(now);
        update(activity);
    }

    /// Expected time in which each running program of the profile and one new
    /// program finish a turn, in ms; 0 if there is no estimate.
    fn turn_interval_ms(&self, profile: &Name) -> f64 {
        let mut activities = lock(&self.activities);
        let Some(activity) = activities.get_mut(profile) else { return 0.0 };
        activity.decay(Instant::now());
        activity.turn_interval_ms().unwrap_or(0.0)
    }

    /// Records the turn count and the total turn time of a finished program.
    pub(crate) fn record_program(&self, profile: &Name, turns: usize, busy_ms: u64) {
        if turns == 0 {
            return;
        }
        let turn_ms = busy_ms as f64 / turns as f64;
        let mut averages = lock(&self.averages);
        let average = averages
            .entry(profile.clone())
            .or_insert(ProgramAverages { turns: turns as f64, turn_ms });
        average.turns += EWMA_WEIGHT * (turns as f64 - average.turns);
        average.turn_ms += EWMA_WEIGHT * (turn_ms - average.turn_ms);
    }

    /// Records the time that a call of `rank` waited for a slot.
    pub(crate) fn record_wait(&self, rank: Rank, ms: u64) {
        let mut waits = lock(&self.waits);
        let wait = &mut waits[usize::from(rank.0).min(RANKS - 1)];
        let now = Instant::now();
        let previous = wait.map_or(ms as f64, |wait| wait.ms);
        *wait = Some(AverageWait {
            ms: previous + EWMA_WEIGHT * (ms as f64 - previous),
            updated_at: now,
        });
    }

    /// Expected wait of a call of `rank`, in ms.
    pub(crate) fn wait_ms(&self, rank: Rank) -> f64 {
        let waits = lock(&self.waits);
        let Some(wait) = waits[usize::from(rank.0).min(RANKS - 1)] else { return 0.0 };
        let half_lives = wait.updated_at.elapsed().as_secs_f64() / WAIT_HALF_LIFE.as_secs_f64();
        wait.ms * 0.5_f64.powf(half_lives)
    }

    /// Returns a retry delay in ms if a new program of `profile` is not expected
    /// to finish within `target_ms`. The delay is random, so that refused callers
    /// don't retry at the same time.
    pub(crate) fn retry_delay_ms(&self, profile: &Name, rank: Rank, target_ms: u64) -> Option<u64> {
        let average = lock(&self.averages).get(profile).copied().unwrap_or_default();
        let turns = average.turns.max(1.0);
        // The higher of two estimates: observed waits, which lag behind the
        // load, and the current turn rate shared by the running programs.
        let turn_ms = (average.turn_ms + self.wait_ms(rank)).max(self.turn_interval_ms(profile));
        let excess_ms = turns * turn_ms - target_ms as f64 * TARGET_SHARE;
        if excess_ms <= 0.0 {
            return None;
        }
        let jitter = rand::rng().random_range(0.5..1.5);
        Some((excess_ms * jitter).clamp(RETRY_MIN_MS, RETRY_MAX_MS) as u64)
    }
}
