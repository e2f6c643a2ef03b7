//! Clock functions: wall time for deadlines that outlive a process, and time
//! that counts while the machine is suspended.

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

/// Time since the machine started. Unlike [`std::time::Instant`], it counts the
/// time in which the machine was suspended; unlike wall time, it never jumps.
/// Only comparable on the same machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(Duration);

impl BootTime {
    /// Reads the clock.
    #[cfg(target_os = "linux")]
    pub fn now() -> Self {
        let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
        // SAFETY: `time` is a valid timespec that the call writes to.
        let status = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &mut time) };
        assert_eq!(status, 0, "every supported kernel has this clock");
        BootTime(Duration::new(time.tv_sec as u64, time.tv_nsec as u32))
    }

    /// Reads the clock. Where there is no such clock, this is the time since
    /// the first call, without suspensions.
    #[cfg(not(target_os = "linux"))]
    pub fn now() -> Self {
        static START: std::sync::OnceLock<std::time::Instant> = std::sync::OnceLock::new();
        BootTime(START.get_or_init(std::time::Instant::now).elapsed())
    }

    /// The time since `earlier`, or zero if that is later.
    pub fn since(self, earlier: BootTime) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The time after `delay`.
    pub fn after(self, delay: Duration) -> Self {
        BootTime(self.0.saturating_add(delay))
    }

    /// The time `age` ago; the start of the machine if that is later.
    pub fn before(self, age: Duration) -> Self {
        BootTime(self.0.saturating_sub(age))
    }
}
