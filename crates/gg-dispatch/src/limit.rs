//! Limit on the calls in flight on one replica, adapted to what it measures.

use std::time::{Duration, Instant};

/// Settings of the adaptive limit.
#[derive(Clone, Debug)]
pub struct LimitSettings {
    /// Target for the time to the first token, in ms.
    pub first_ms: f64,
    /// Target for the time between tokens, in ms.
    pub token_ms: f64,
    /// Share of calls that is to meet the targets.
    pub quantile: f64,
    /// Calls that are measured before a decision.
    pub window: usize,
    /// A window is also closed after this time.
    pub window_time: Duration,
    /// Largest limit, as a multiple of the configured one.
    pub growth_max: f64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        LimitSettings {
            first_ms: 610.0,
            token_ms: 53.0,
            quantile: 0.95,
            window: 20,
            window_time: Duration::from_secs(2),
            growth_max: 4.0,
        }
    }
}

/// Factor on the limit after a window that missed a target.
const DECREASE: f64 = 0.85;

/// Fewest samples that may close a window by time.
const SAMPLES_MIN: usize = 4;

/// Additive increase, multiplicative decrease. Without samples the limit
/// stays as it is, so late or missing reports change nothing.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    settings: LimitSettings,
    limit: f64,
    max: f64,
    first: Vec<f64>,
    token: Vec<f64>,
    reached: bool,
    opened: Instant,
}

impl AdaptiveLimit {
    /// A limit that begins at `slots`.
    pub fn new(settings: LimitSettings, slots: u32) -> Self {
        let limit = f64::from(slots.max(1));
        AdaptiveLimit {
            max: limit * settings.growth_max,
            settings,
            limit,
            first: Vec::new(),
            token: Vec::new(),
            reached: false,
            opened: Instant::now(),
        }
    }

    /// Most calls in flight, at least one.
    pub fn get(&self) -> u32 {
        (self.limit as u32).max(1)
    }

    /// Starts over from one call at a time, for a replica that has come back
    /// with a cold cache.
    pub fn restart(&mut self) {
        self.limit = 1.0;
        self.close_window(Instant::now());
    }

    /// Notes that a call had to wait because the limit was reached.
    pub fn note_reached(&mut self) {
        self.reached = true;
    }

    /// Takes the measurements of a finished call.
    pub fn sample(&mut self, first_ms: f64, token_ms: f64, now: Instant) {
        self.first.push(first_ms);
        self.token.push(token_ms);
        let old = now.duration_since(self.opened) >= self.settings.window_time;
        let due =
            self.first.len() >= self.settings.window || (old && self.first.len() >= SAMPLES_MIN);
        if due {
            self.decide();
            self.close_window(now);
        }
    }

    fn decide(&mut self) {
        let first = quantile(&mut self.first, self.settings.quantile);
        let token = quantile(&mut self.token, self.settings.quantile);
        if first > self.settings.first_ms || token > self.settings.token_ms {
            self.limit = (self.limit * DECREASE).max(1.0);
        } else if self.reached {
            self.limit = (self.limit + 1.0).min(self.max);
        }
    }

    fn close_window(&mut self, now: Instant) {
        self.first.clear();
        self.token.clear();
        self.reached = false;
        self.opened = now;
    }
}

fn quantile(values: &mut [f64], share: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let index = (values.len() as f64 * share).ceil() as usize;
    values[index.clamp(1, values.len()) - 1]
}
