//! Follows the entries of one kind: lists them, then watches for changes from
//! the revision of the list.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use rand::Rng;
use tokio::time;

use crate::{
    Change, Directory, Entry, FRESH_TIME, Freshness, Kind, Outages, PlatformError, Watched,
};

/// Intervals and delays used while following a kind.
#[derive(Clone, Copy, Debug)]
pub struct FollowSettings {
    /// Maximum duration of one watch of a kind that affects how requests are
    /// handled: configuration and replicas. A longer wait needs fewer calls,
    /// which are billed, but a lost response goes unnoticed for this long.
    pub wait: Duration,
    /// Maximum duration of one watch of the other kinds.
    pub idle_wait: Duration,
    /// Delay after a watch that returned changes, so that changes in quick
    /// succession are fetched with one call. Adds up to this delay to updates.
    pub batch_delay: Duration,
    /// Delay between a list and the first watch. The watch then returns what
    /// changed in between. If another source reports up-to-date entries during
    /// the delay, the watch isn't needed.
    pub watch_delay: Duration,
    /// Delay before the first retry of a failed call. Doubles up to `retry_max`.
    pub retry_delay: Duration,
    /// Maximum delay before a retry, which bounds the time until a recovered
    /// directory is noticed.
    pub retry_max: Duration,
}

impl Default for FollowSettings {
    fn default() -> Self {
        FollowSettings {
            wait: Duration::from_secs(4),
            idle_wait: Duration::from_secs(10),
            batch_delay: Duration::from_millis(250),
            watch_delay: Duration::ZERO,
            retry_delay: Duration::from_millis(50),
            retry_max: Duration::from_millis(500),
        }
    }
}

/// An update from following a kind.
#[derive(Debug)]
pub enum DirectoryUpdate {
    /// All entries as of a revision. Entries not included have been removed.
    Snapshot(u64, Vec<Entry>),
    /// Changes since the last update, up to a revision.
    Changes(u64, Vec<Change>),
    /// The directory can't be reached. The last known state stays in use.
    Lost(PlatformError),
}

/// Follows `kind` until the future is dropped and passes each update to
/// `on_update`. Lists the entries again when an outage ends that another
/// follower noticed.
pub async fn follow<D: Directory>(
    directory: &D,
    kind: Kind,
    settings: FollowSettings,
    outages: &Outages,
    mut on_update: impl FnMut(DirectoryUpdate),
) {
    let mut retry_delay = settings.retry_delay;
    let mut revision = None;
    loop {
        let wait = settings.wait_for(kind);
        let called = tokio::select! {
            called = list_or_watch(directory, kind, wait, revision) => called,
            () = outages.next_end() => {
                log::info!("event=watch_restarted kind={}", kind.as_str());
                revision = None;
                continue;
            }
        };
        outages.record(!matches!(called, Err(PlatformError::Unavailable(_))));
        match called {
            Ok((next, update)) => {
                retry_delay = settings.retry_delay;
                revision = next;
                let has_changes = matches!(&update, Some(DirectoryUpdate::Changes(_, changes)) if !changes.is_empty());
                let is_list = matches!(&update, Some(DirectoryUpdate::Snapshot(..)));
                update.into_iter().for_each(&mut on_update);
                if has_changes {
                    time::sleep(settings.batch_delay).await;
                } else if is_list {
                    time::sleep(settings.watch_delay).await;
                }
            }
            Err(err) => {
                // Changes missed by a failed watch may be discarded from the
                // history before a retry, so only a new list is reliable.
                revision = None;
                on_update(DirectoryUpdate::Lost(err));
                let jitter = rand::rng().random_range(0.5..1.5);
                time::sleep(retry_delay.mul_f64(jitter)).await;
                retry_delay = (retry_delay * 2).min(settings.retry_max);
            }
        }
    }
}

impl FollowSettings {
    fn wait_for(&self, kind: Kind) -> Duration {
        match kind {
            Kind::Configuration | Kind::Upstreams => self.wait,
            Kind::Ledgers | Kind::Removals => self.idle_wait,
        }
    }
}

/// Follows `kind` while no other source reports up-to-date entries, until the
/// future is dropped.
pub async fn follow_unless_fresh<D: Directory>(
    directory: &D,
    kind: Kind,
    settings: FollowSettings,
    outages: &Outages,
    freshness: &Mutex<Freshness>,
    mut on_update: impl FnMut(DirectoryUpdate),
) {
    let has_fresh_source =
        || freshness.lock().unwrap_or_else(PoisonError::into_inner).is_fresh(Instant::now());
    loop {
        while has_fresh_source() {
            time::sleep(FRESH_TIME).await;
        }
        log::info!("event=directory_followed kind={}", kind.as_str());
        let until_fresh = async {
            while !has_fresh_source() {
                time::sleep(FRESH_TIME / 2).await;
            }
        };
        tokio::select! {
            () = follow(directory, kind, settings, outages, &mut on_update) => {}
            () = until_fresh => {}
        }
    }
}

/// Makes one call: a list if `revision` is `None`, otherwise a watch.
async fn list_or_watch<D: Directory>(
    directory: &D,
    kind: Kind,
    wait: Duration,
    revision: Option<u64>,
) -> Result<(Option<u64>, Option<DirectoryUpdate>), PlatformError> {
    let Some(revision) = revision else {
        let snapshot = directory.snapshot(kind).await?;
        log::info!(
            "event=directory_listed kind={} revision={} entries={}",
            kind.as_str(),
            snapshot.revision,
            snapshot.entries.len()
        );
        return Ok((
            Some(snapshot.revision),
            Some(DirectoryUpdate::Snapshot(snapshot.revision, snapshot.entries)),
        ));
    };
    match directory.changes(kind, revision, wait).await? {
        Watched::HistoryGone => {
            log::info!("event=history_gone kind={} revision={revision}", kind.as_str());
            Ok((None, None))
        }
        Watched::Changes(next, changes) => {
            log::debug!(
                "event=directory_changed kind={} revision={next} changes={}",
                kind.as_str(),
                changes.len()
            );
            Ok((Some(next), Some(DirectoryUpdate::Changes(next, changes))))
        }
    }
}
