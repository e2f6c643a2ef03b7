//! Clock functions: wall time for deadlines that outlive a process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Returns the milliseconds since the Unix epoch.
///
/// This clock advances while the process is stopped. Check it immediately
/// before an action that must not happen after its deadline.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    since.as_millis() as u64
}

/// Returns the time until the wall time `at_ms`, or zero if it has passed.
pub fn until_ms(at_ms: u64) -> Duration {
    Duration::from_millis(at_ms.saturating_sub(wall_ms()))
}
