//! Checks of the directory's revision, which show the followers of all kinds with
//! one call whether they may have missed changes.

use std::time::{Duration, Instant};

use tokio::sync::Mutex;

use crate::{Directory, Kind, PlatformError, follow::now};

/// A kind with few entries. Its list is a short answer that carries the revision
/// of the whole directory.
const SHORT_KIND: Kind = Kind::Removals;

/// The last check in a process.
#[derive(Debug, Default)]
pub(crate) struct RevisionCheck {
    last: Mutex<Option<Checked>>,
}

/// Outcome of a check.
#[derive(Clone, Copy, Debug)]
struct Checked {
    sent_at: Instant,
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
    /// one since.
    pub(crate) async fn revision<D: Directory>(
        &self,
        directory: &D,
        max_age: Duration,
    ) -> Result<(u64, Instant), PlatformError> {
        let asked_at = now();
        let mut last = self.last.lock().await;
        if let Some(Checked { sent_at, outcome }) = *last
            && asked_at.saturating_duration_since(sent_at) <= max_age
        {
            return match outcome {
                Outcome::Revision(revision) => Ok((revision, sent_at)),
                Outcome::Refused(status) => Err(PlatformError::Refused(status)),
                Outcome::Unavailable => {
                    Err(PlatformError::Unavailable("the last check had no answer".into()))
                }
            };
        }
        let sent_at = now();
        let listed = directory.snapshot(SHORT_KIND).await;
        let outcome = match &listed {
            Ok(snapshot) => Outcome::Revision(snapshot.revision),
            Err(PlatformError::Refused(status)) => Outcome::Refused(*status),
            Err(_) => Outcome::Unavailable,
        };
        *last = Some(Checked { sent_at, outcome });
        listed.map(|snapshot| (snapshot.revision, sent_at))
    }
}
