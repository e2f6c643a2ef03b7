//! Clocks: wall time for deadlines that outlive a process, and a monotonic
//! clock for measuring within one.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Milliseconds since the Unix epoch.
///
/// A stopped process sees this clock go on, so it is the one to check right
/// before an action that must not happen late.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    since.as_millis() as u64
}

/// Time left until the wall time `at_ms`, zero if it has passed.
pub fn until_ms(at_ms: u64) -> Duration {
    Duration::from_millis(at_ms.saturating_sub(wall_ms()))
}
