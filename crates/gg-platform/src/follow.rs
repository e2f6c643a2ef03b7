//! Follows one kind of a directory: a list, then watches from its revision.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use rand::Rng;
use tokio::time;

use crate::{Change, Directory, Entry, FRESH_TIME, Freshness, Kind, PlatformError, Watched};

/// How a kind is followed.
#[derive(Clone, Copy, Debug)]
pub struct FollowSettings {
    /// Longest wait of one watch. Each watch is a priced call, and one whose
    /// answer was lost costs this wait before it is noticed.
    pub wait: Duration,
    /// Pause after a watch that brought changes, so that changes that come
    /// close together cost one call; bounds how late they are heard of.
    pub gather: Duration,
    /// Pause between a list and the first watch, which hears what happened
    /// meanwhile. Others may tell until then, and no watch is needed.
    pub settle: Duration,
    /// First pause after a failed call; doubles up to `pause_max`.
    pub pause: Duration,
    /// Longest pause between failed calls, which bounds how late the
    /// directory's return is noticed.
    pub pause_max: Duration,
}

impl Default for FollowSettings {
    fn default() -> Self {
        FollowSettings {
            wait: Duration::from_secs(10),
            gather: Duration::from_millis(250),
            settle: Duration::ZERO,
            pause: Duration::from_millis(50),
            pause_max: Duration::from_millis(500),
        }
    }
}

/// What following a kind brings.
#[derive(Debug)]
pub enum News {
    /// All entries as of a revision; what is not among them is gone.
    Snapshot(u64, Vec<Entry>),
    /// Changes since the last news, up to a revision.
    Changes(u64, Vec<Change>),
    /// The directory does not answer; the last known state stands.
    Lost(PlatformError),
}

/// Follows `kind` until dropped and hands all news to `take`.
pub async fn follow<D: Directory>(
    directory: &D,
    kind: Kind,
    settings: FollowSettings,
    mut take: impl FnMut(News),
) {
    let mut pause = settings.pause;
    let mut revision = None;
    loop {
        match step(directory, kind, settings.wait, revision).await {
            Ok((next, news)) => {
                pause = settings.pause;
                revision = next;
                let has_changes =
                    matches!(&news, Some(News::Changes(_, changes)) if !changes.is_empty());
                let is_list = matches!(&news, Some(News::Snapshot(..)));
                news.into_iter().for_each(&mut take);
                if has_changes {
                    time::sleep(settings.gather).await;
                } else if is_list {
                    time::sleep(settings.settle).await;
                }
            }
            Err(err) => {
                // A watch that broke off may have missed changes whose
                // history is dropped a moment later; only a list is sure.
                revision = None;
                take(News::Lost(err));
                let spread = rand::rng().random_range(0.5..1.5);
                time::sleep(pause.mul_f64(spread)).await;
                pause = (pause * 2).min(settings.pause_max);
            }
        }
    }
}

/// Follows `kind` while nobody else tells what is up to date, until dropped.
pub async fn follow_unless_told<D: Directory>(
    directory: &D,
    kind: Kind,
    settings: FollowSettings,
    told: &Mutex<Freshness>,
    mut take: impl FnMut(News),
) {
    let is_told = || told.lock().unwrap_or_else(PoisonError::into_inner).is_fresh(Instant::now());
    loop {
        while is_told() {
            time::sleep(FRESH_TIME).await;
        }
        log::info!("event=directory_followed kind={}", kind.as_str());
        let relieved = async {
            while !is_told() {
                time::sleep(FRESH_TIME / 2).await;
            }
        };
        tokio::select! {
            () = follow(directory, kind, settings, &mut take) => {}
            () = relieved => {}
        }
    }
}

/// One call: a list without a revision, else a watch.
async fn step<D: Directory>(
    directory: &D,
    kind: Kind,
    wait: Duration,
    revision: Option<u64>,
) -> Result<(Option<u64>, Option<News>), PlatformError> {
    let Some(revision) = revision else {
        let listed = directory.snapshot(kind).await?;
        log::info!(
            "event=directory_listed kind={} revision={} entries={}",
            kind.as_str(),
            listed.revision,
            listed.entries.len()
        );
        return Ok((Some(listed.revision), Some(News::Snapshot(listed.revision, listed.entries))));
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
            Ok((Some(next), Some(News::Changes(next, changes))))
        }
    }
}
