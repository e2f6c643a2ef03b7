//! Checks of the directory's revision, which show the followers of all kinds with
//! one call whether they may have missed changes, and whether the directory is
//! back after an outage.

use std::time::{Duration, Instant};

use rand::Rng;
use tokio::{sync::Mutex, time};

use crate::{Directory, FollowSettings, Kind, PlatformError, follow::now};

/// A kind with few entries. Its list is a short answer that carries the revision
/// of the whole directory.
const SHORT_KIND: Kind = Kind::Removals;

/// The checks of a process, one at a time.
#[derive(Debug, Default)]
pub(crate) struct RevisionCheck {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    last: Option<Checked>,
    /// Delay after the last failure, doubled with each one.
    retry_delay: Option<Duration>,
    /// Earliest time of the next check after a failure.
    retry_at: Option<Instant>,
}

/// The last check.
#[derive(Clone, Copy, Debug)]
struct Checked {
    sent_at: Instant,
    ended_at: Instant,
    outcome: Outcome,
}

#[derive(Clone, Copy, Debug)]
enum Outcome {
    Revision(u64),
    Refused(u16),
    Unavailable,
}

impl RevisionCheck {
    /// Returns a revision that the directory had after a moment that is at most
    /// `max_age` ago, and that moment. Makes a call unless another follower made
    /// one since. After a failure the next call waits for the retry delay; those
    /// who ask meanwhile share its outcome.
    pub(crate) async fn revision<D: Directory>(
        &self,
        directory: &D,
        max_age: Duration,
        settings: &FollowSettings,
    ) -> Result<(u64, Instant), PlatformError> {
        let asked_at = now();
        let mut state = self.state.lock().await;
        if let Some(last) = state.last.filter(|last| last.applies(asked_at, max_age)) {
            return last.result();
        }
        if let Some(retry_at) = state.retry_at {
            time::sleep_until(retry_at.into()).await;
        }
        let sent_at = now();
        let listed = directory.snapshot(SHORT_KIND).await;
        let outcome = match &listed {
            Ok(snapshot) => Outcome::Revision(snapshot.revision),
            Err(PlatformError::Refused(status)) => Outcome::Refused(*status),
            Err(_) => Outcome::Unavailable,
        };
        state.record(Checked { sent_at, ended_at: now(), outcome }, settings);
        listed.map(|snapshot| (snapshot.revision, sent_at))
    }
}

impl State {
    fn record(&mut self, checked: Checked, settings: &FollowSettings) {
        self.last = Some(checked);
        if let Outcome::Revision(_) = checked.outcome {
            (self.retry_delay, self.retry_at) = (None, None);
            return;
        }
        let doubled = self.retry_delay.map(|delay| (delay * 2).min(settings.retry_max));
        let delay = doubled.unwrap_or(settings.retry_delay);
        let jitter = rand::rng().random_range(0.5..1.5);
        self.retry_delay = Some(delay);
        self.retry_at = Some(checked.ended_at + delay.mul_f64(jitter));
    }
}

impl Checked {
    /// Whether the outcome answers a question of `asked_at`. A failure counts only
    /// for those who asked before it was known.
    fn applies(&self, asked_at: Instant, max_age: Duration) -> bool {
        match self.outcome {
            Outcome::Revision(_) => asked_at.saturating_duration_since(self.sent_at) <= max_age,
            Outcome::Refused(_) | Outcome::Unavailable => asked_at < self.ended_at,
        }
    }

    fn result(&self) -> Result<(u64, Instant), PlatformError> {
        match self.outcome {
            Outcome::Revision(revision) => Ok((revision, self.sent_at)),
            Outcome::Refused(status) => Err(PlatformError::Refused(status)),
            Outcome::Unavailable => {
                Err(PlatformError::Unavailable("the last check had no answer".into()))
            }
        }
    }
}
