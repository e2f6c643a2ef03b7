//! Follows the entries of one kind: lists them, then watches for changes from
//! the revision of the list.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use rand::Rng;
use tokio::time;

use crate::{
    Change, Confirmed, CopyAges, Directory, Entry, Freshness, Kind, PlatformError, Watched,
    outages::Outages, revision_check::RevisionCheck,
};

/// Intervals and delays used while following a kind.
#[derive(Clone, Copy, Debug)]
pub struct FollowSettings {
    /// Maximum duration of one watch. A longer wait needs fewer calls, which are
    /// billed; the directory allows 30 s.
    pub wait: Duration,
    /// Time since the last confirmation after which it is checked, beside the
    /// watch, that no change was missed. A lost response goes unnoticed for this
    /// long.
    pub check_interval: Duration,
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
    /// Whether a check comes before the first list too. In an outage, the followers
    /// of a process then make one call in place of a list each.
    pub checks_first: bool,
    /// Delay between the check that finds an outage ended and the list, in which
    /// other sources may report up-to-date entries.
    pub relist_delay: Duration,
}

impl Default for FollowSettings {
    fn default() -> Self {
        FollowSettings {
            wait: Duration::from_secs(25),
            check_interval: CopyAges::default().check_interval,
            batch_delay: Duration::from_millis(250),
            watch_delay: Duration::ZERO,
            retry_delay: Duration::from_millis(50),
            retry_max: Duration::from_millis(500),
            checks_first: false,
            relist_delay: Duration::ZERO,
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
    /// The directory has answered a call at this moment. Comes before the update that
    /// the answer holds.
    Answered(Instant),
    /// The updates so far hold all that the directory had acknowledged then.
    Confirmed(Confirmed),
    /// The directory can't be reached. The last known state stays in use.
    Lost(PlatformError),
}

/// Interval at which a follower looks whether other sources have become up to date
/// again.
const FRESH_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// What the followers of all kinds in a process share.
#[derive(Debug, Default)]
pub struct FollowContext {
    outages: Outages,
    check: RevisionCheck,
}

/// How far a follower has got.
#[derive(Clone, Copy, Debug)]
struct Position {
    /// Revision up to which all changes are known.
    revision: u64,
    /// When the last call that confirmed this was sent.
    sent_at: Instant,
}

/// Revision to continue from, `None` to list the entries again, and the update, if
/// there is one.
type Called = (Option<u64>, Option<DirectoryUpdate>);

/// Follows `kind` until the future is dropped and passes each update to
/// `on_update`. Lists the entries again when an outage ends that another
/// follower noticed.
pub async fn follow<D: Directory>(
    directory: &D,
    kind: Kind,
    settings: FollowSettings,
    context: &FollowContext,
    mut on_update: impl FnMut(DirectoryUpdate),
) {
    let mut retry_delay = settings.retry_delay;
    let mut position: Option<Position> = None;
    loop {
        let needs_check = settings.checks_first || context.outages.is_out();
        if position.is_none()
            && needs_check
            && let Err(err) = until_reachable(directory, &settings, context).await
        {
            on_update(DirectoryUpdate::Lost(err));
            continue;
        }
        let revision = position.map(|position| position.revision);
        let sent_at = now();
        let called = tokio::select! {
            called = list_or_watch(directory, kind, settings.wait, revision) => {
                called.map(|called| (sent_at, called))
            }
            missed = missed_changes(
                directory, kind, settings, context, &mut position, &mut on_update,
            ) => missed,
            () = context.outages.next_end() => {
                log::info!("event=watch_restarted kind={}", kind.as_str());
                position = None;
                continue;
            }
        };
        context.outages.record(!matches!(called, Err(PlatformError::Unavailable(_))));
        match called {
            Ok((sent_at, (next, update))) => {
                retry_delay = settings.retry_delay;
                let has_changes = matches!(&update, Some(DirectoryUpdate::Changes(_, changes)) if !changes.is_empty());
                let is_list = matches!(&update, Some(DirectoryUpdate::Snapshot(..)));
                // A watch may have been sent long before, and a list is of the moment
                // at which it was sent at the earliest.
                let answered_at = if is_list { sent_at } else { now() };
                on_update(DirectoryUpdate::Answered(answered_at));
                update.into_iter().for_each(&mut on_update);
                position = next.map(|revision| Position { revision, sent_at }.or_later(position));
                if let Some(Position { sent_at, .. }) = position {
                    on_update(DirectoryUpdate::Confirmed(Confirmed::at(sent_at)));
                }
                if has_changes {
                    time::sleep(settings.batch_delay).await;
                } else if is_list {
                    time::sleep(settings.watch_delay).await;
                }
            }
            Err(err) => {
                // Changes missed by a failed watch may be discarded from the
                // history before a retry, so only a new list is reliable.
                position = None;
                on_update(DirectoryUpdate::Lost(err));
                let jitter = rand::rng().random_range(0.5..1.5);
                time::sleep(retry_delay.mul_f64(jitter)).await;
                retry_delay = (retry_delay * 2).min(settings.retry_max);
            }
        }
    }
}

/// Makes one call for all followers of the process; fails if the directory doesn't
/// respond.
async fn until_reachable<D: Directory>(
    directory: &D,
    settings: &FollowSettings,
    context: &FollowContext,
) -> Result<(), PlatformError> {
    let checked = context.check.revision(directory, settings.check_interval / 2, settings).await;
    let was_out = context.outages.is_out();
    context.outages.record(!matches!(checked, Err(PlatformError::Unavailable(_))));
    checked?;
    if was_out {
        time::sleep(settings.relist_delay).await;
    }
    Ok(())
}

impl Position {
    /// Keeps what a check has moved on beside the watch.
    fn or_later(self, other: Option<Position>) -> Position {
        let Some(other) = other else { return self };
        Position {
            revision: self.revision.max(other.revision),
            sent_at: self.sent_at.max(other.sent_at),
        }
    }
}

/// Checks at intervals that a watch has missed nothing, and resolves with what it
/// has missed: its answer is lost, or late. A check that fails is repeated once,
/// since its own answer may be lost. Never resolves before the entries are listed.
async fn missed_changes<D: Directory>(
    directory: &D,
    kind: Kind,
    settings: FollowSettings,
    context: &FollowContext,
    position: &mut Option<Position>,
    on_update: &mut impl FnMut(DirectoryUpdate),
) -> Result<(Instant, Called), PlatformError> {
    let Some(position) = position else { return std::future::pending().await };
    let interval = settings.check_interval;
    let mut has_failed = false;
    loop {
        time::sleep_until((position.sent_at + interval).into()).await;
        // The checks of the kinds fall due at about the same time.
        let checked = context.check.revision(directory, interval / 2, &settings).await;
        if let (Err(err), false) = (&checked, has_failed) {
            log::info!("event=check_failed kind={} error={err}", kind.as_str());
            has_failed = true;
            continue;
        }
        let (revision, sent_at) = checked?;
        has_failed = false;
        context.outages.record(true);
        if revision > position.revision {
            // The change may be one of another kind.
            let sent_at = now();
            let called =
                list_or_watch(directory, kind, Duration::ZERO, Some(position.revision)).await?;
            match called {
                (Some(next), Some(DirectoryUpdate::Changes(_, changes))) if changes.is_empty() => {
                    *position = Position { revision: next, sent_at }.or_later(Some(*position));
                }
                missed => {
                    log::info!(
                        "event=changes_missed kind={} revision={}",
                        kind.as_str(),
                        position.revision
                    );
                    return Ok((sent_at, missed));
                }
            }
        } else {
            position.sent_at = sent_at.max(position.sent_at);
        }
        on_update(DirectoryUpdate::Confirmed(Confirmed::at(position.sent_at)));
    }
}

/// Current time. Follows the virtual time of tests.
pub(crate) fn now() -> Instant {
    time::Instant::now().into_std()
}

/// Follows `kind` while no other source reports up-to-date entries, until the
/// future is dropped.
pub async fn follow_unless_fresh<D: Directory>(
    directory: &D,
    kind: Kind,
    settings: FollowSettings,
    context: &FollowContext,
    freshness: &Mutex<Freshness>,
    mut on_update: impl FnMut(DirectoryUpdate),
) {
    let remaining = || freshness.lock().unwrap_or_else(PoisonError::into_inner).remaining(now());
    loop {
        loop {
            let remaining = remaining();
            if remaining.is_zero() {
                break;
            }
            time::sleep(remaining).await;
        }
        log::info!("event=directory_followed kind={}", kind.as_str());
        let until_fresh = async {
            while remaining().is_zero() {
                time::sleep(FRESH_CHECK_INTERVAL).await;
            }
        };
        tokio::select! {
            () = follow(directory, kind, settings, context, &mut on_update) => {}
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
) -> Result<Called, PlatformError> {
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
