//! Decides whether a copy of the directory may be used for a request. A copy may
//! have grown old unnoticed, for example while the process didn't run.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use gg_platform::Confirmed;
use tokio::{sync::Notify, time};

use crate::state::lock;

/// Time in which a running gateway confirms its copy if it can: polls of the ledger
/// instances and calls to the directory take a few ms.
pub const ANSWER_TIME: Duration = Duration::from_millis(250);

/// Longest time that a request waits until its copy is confirmed.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

/// Whether a copy may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyUse {
    /// It is recent enough.
    Recent,
    /// It is old, but the directory can't be reached, so that no newer one can be
    /// had.
    Outage,
    /// It is old, and it is not known yet whether there is a newer one.
    Unconfirmed,
}

/// Decides on a copy that may be used up to the age `limit`. `noticed` is the time
/// since the gateway noticed that the copy grows old: not before it runs again after
/// a stall.
pub fn copy_use(limit: Duration, age: Option<Duration>, noticed: Duration) -> CopyUse {
    match age {
        Some(age) if age < limit => CopyUse::Recent,
        _ if noticed >= ANSWER_TIME => CopyUse::Outage,
        _ => CopyUse::Unconfirmed,
    }
}

/// Whether a copy is so close to the age `limit` that the gateway begins to doubt
/// it. An outage is then certain by the time that the copy reaches the limit.
pub fn is_doubtful(limit: Duration, age: Option<Duration>) -> bool {
    age.is_none_or(|age| age + ANSWER_TIME >= limit)
}

/// Guards the use of the copy of one kind of entries.
#[derive(Debug)]
pub(crate) struct CopyGuard {
    limit: Duration,
    state: Mutex<CopyState>,
    changed: Notify,
}

#[derive(Clone, Copy, Debug, Default)]
struct CopyState {
    /// Up to when the copy is known to be the newest.
    confirmed: Option<Confirmed>,
    /// When the gateway noticed that the copy grows old.
    doubtful_since: Option<Instant>,
}

impl CopyGuard {
    /// Creates a guard for a copy that may be used up to the age `limit`.
    pub(crate) fn new(limit: Duration) -> Self {
        CopyGuard { limit, state: Mutex::default(), changed: Notify::new() }
    }

    /// Records that the copy was the newest one.
    pub(crate) fn confirm(&self, confirmed: Confirmed) {
        let mut state = lock(&self.state);
        state.confirmed = state.confirmed.max(Some(confirmed));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Age of the copy: all that was acknowledged longer ago is in it. `None` until
    /// it was confirmed once.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed().map(|confirmed| confirmed.age(now))
    }

    /// Up to when the copy is known to be the newest.
    pub(crate) fn confirmed(&self) -> Option<Confirmed> {
        lock(&self.state).confirmed
    }

    /// Whether the copy may be used now. Called regularly, so that an outage is
    /// noticed before a request comes.
    pub(crate) fn check(&self) -> CopyUse {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let age = state.confirmed.map(|confirmed| confirmed.age(now));
        if !is_doubtful(self.limit, age) {
            state.doubtful_since = None;
            return CopyUse::Recent;
        }
        let noticed_at = *state.doubtful_since.get_or_insert(now);
        copy_use(self.limit, age, now.saturating_duration_since(noticed_at))
    }

    /// Waits until the copy may be used. Returns `false` if that is still unknown
    /// after [`CONFIRM_TIMEOUT`].
    pub(crate) async fn until_usable(&self) -> bool {
        let usable = async {
            loop {
                let changed = self.changed.notified();
                if self.check() != CopyUse::Unconfirmed {
                    return;
                }
                // Without a confirmation, the time decides.
                let _ = time::timeout(ANSWER_TIME / 5, changed).await;
            }
        };
        time::timeout(CONFIRM_TIMEOUT, usable).await.is_ok()
    }
}
