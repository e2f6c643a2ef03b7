//! Time on the clock of one instance's log.

use std::{
    ops::Add,
    time::{Duration, Instant},
};

/// Milliseconds that the log's instance has run, over all restarts. The time of
/// day has no influence, and the time between two runs doesn't count, so an
/// entry is never taken for older than it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogTime(pub u64);

impl LogTime {
    /// Time at which a log begins. Entries that are copied into it may be older.
    pub const BEGIN: LogTime = LogTime(24 * 3_600 * 1_000);

    /// Time since `earlier`; zero if that is later.
    pub fn since(self, earlier: LogTime) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The time that is `age` earlier.
    pub fn before(self, age: Duration) -> LogTime {
        LogTime(self.0.saturating_sub(to_millis(age)))
    }
}

impl Add<Duration> for LogTime {
    type Output = LogTime;

    fn add(self, time: Duration) -> LogTime {
        LogTime(self.0.saturating_add(to_millis(time)))
    }
}

fn to_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Clock of a log, which goes on from the newest entry.
#[derive(Clone, Copy, Debug)]
pub struct LogClock {
    base: LogTime,
    started: Instant,
}

impl LogClock {
    /// Starts the clock at `base`.
    pub fn starting_at(base: LogTime) -> Self {
        LogClock { base, started: Instant::now() }
    }

    /// Current time.
    pub fn now(&self) -> LogTime {
        self.base + self.started.elapsed()
    }
}
