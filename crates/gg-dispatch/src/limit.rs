//! Limit on the calls in flight on one replica, adapted to measured latency.

use std::time::{Duration, Instant};

/// Settings of the adaptive limit.
#[derive(Clone, Debug)]
pub struct LimitSettings {
    /// Target for the time to the first token, in ms.
    pub first_ms: f64,
    /// Target for the time between tokens, in ms.
    pub token_ms: f64,
    /// Share of calls that must meet the targets.
    pub quantile: f64,
    /// Number of samples per window.
    pub window: usize,
    /// Time after which a window is closed with fewer samples.
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

/// Factor applied to the limit after a window that missed a target.
const DECREASE_FACTOR: f64 = 0.85;

/// Minimum number of samples to close a window by time.
const WINDOW_SAMPLES_MIN: usize = 4;

/// Additive-increase, multiplicative-decrease limit. Without samples the limit
/// stays unchanged, so late or missing reports have no effect.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    settings: LimitSettings,
    limit: f64,
    max: f64,
    ttft_ms: Vec<f64>,
    tpot_ms: Vec<f64>,
    is_reached: bool,
    window_start: Instant,
}

impl AdaptiveLimit {
    /// Creates a limit that starts at `slots`.
    pub fn new(settings: LimitSettings, slots: u32) -> Self {
        let limit = f64::from(slots.max(1));
        AdaptiveLimit {
            max: limit * settings.growth_max,
            settings,
            limit,
            ttft_ms: Vec::new(),
            tpot_ms: Vec::new(),
            is_reached: false,
            window_start: Instant::now(),
        }
    }

    /// Maximum number of calls in flight, at least one.
    pub fn get(&self) -> u32 {
        (self.limit as u32).max(1)
    }

    /// Resets the limit to one call, for a replica that restarted with a cold
    /// cache.
    pub fn restart(&mut self) {
        self.limit = 1.0;
        self.close_window(Instant::now());
    }

    /// Records that a call had to wait because the limit was reached.
    pub fn record_limit_reached(&mut self) {
        self.is_reached = true;
    }

    /// Records the latencies of a finished call.
    pub fn sample(&mut self, first_ms: f64, token_ms: f64, now: Instant) {
        self.ttft_ms.push(first_ms);
        self.tpot_ms.push(token_ms);
        let is_expired = now.duration_since(self.window_start) >= self.settings.window_time;
        let is_complete = self.ttft_ms.len() >= self.settings.window
            || (is_expired && self.ttft_ms.len() >= WINDOW_SAMPLES_MIN);
        if is_complete {
            self.adjust();
            self.close_window(now);
        }
    }

    fn adjust(&mut self) {
        let ttft_ms = quantile(&mut self.ttft_ms, self.settings.quantile);
        let tpot_ms = quantile(&mut self.tpot_ms, self.settings.quantile);
        if ttft_ms > self.settings.first_ms || tpot_ms > self.settings.token_ms {
            self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
        } else if self.is_reached {
            self.limit = (self.limit + 1.0).min(self.max);
        }
    }

    fn close_window(&mut self, now: Instant) {
        self.ttft_ms.clear();
        self.tpot_ms.clear();
        self.is_reached = false;
        self.window_start = now;
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
