//! Decides whether a copy of the directory may be used for a request. A copy may
//! have grown old unnoticed, for example while the process didn't run.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use gg_platform::Confirmed;
use tokio::{sync::Notify, time};

use crate::state::lock;

/// Time after which the directory counts as unreachable if this gateway asked it
/// and has no answer. A call takes a few ms.
pub const ANSWER_TIME: Duration = Duration::from_millis(250);

/// Longest time that a request waits until its copy is confirmed: a poll of the
/// ledger instances, or [`ANSWER_TIME`] and the delay until the directory is asked.
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

/// Decides on a copy that may be used up to the age `limit`. `asked` is the time
/// since the gateway began to ask the directory itself, if no answer has come.
pub fn copy_use(limit: Duration, age: Option<Duration>, asked: Option<Duration>) -> CopyUse {
    match (age, asked) {
        (Some(age), _) if age < limit => CopyUse::Recent,
        (_, Some(asked)) if asked >= ANSWER_TIME => CopyUse::Outage,
        _ => CopyUse::Unconfirmed,
    }
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
    /// Since when the directory is asked without an answer.
    asked_at: Option<Instant>,
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
        let age = state.confirmed.map(|confirmed| confirmed.age(Instant::now()));
        if age.is_some_and(|age| age < self.limit) {
            state.asked_at = None;
            self.changed.notify_waiters();
        }
    }

    /// Records that the gateway begins to ask the directory itself.
    pub(crate) fn begin_asking(&self) {
        lock(&self.state).asked_at.get_or_insert_with(Instant::now);
    }

    /// Age of the copy: all that was acknowledged longer ago is in it. `None` until
    /// it was confirmed once.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        lock(&self.state).confirmed.map(|confirmed| confirmed.age(now))
    }

    /// Whether the copy may be used now.
    pub(crate) fn check(&self) -> CopyUse {
        let (state, now) = (*lock(&self.state), Instant::now());
        let age = state.confirmed.map(|confirmed| confirmed.age(now));
        copy_use(self.limit, age, state.asked_at.map(|at| now.saturating_duration_since(at)))
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
