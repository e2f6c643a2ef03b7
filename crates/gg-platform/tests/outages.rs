//! Outages of the directory, in virtual time.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use gg_platform::{
    Directory, DirectoryUpdate, FollowContext, FollowSettings, Kind, PlatformError, Snapshot,
    Watched, follow,
};
use tokio::time::{self, Instant};

/// Timeout of a call, in addition to the wait of a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Directory that leaves calls unanswered during an outage, and also the watches
/// that were open when it began.
#[derive(Clone, Debug, Default)]
struct SilentDirectory(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    is_out: bool,
    outages: u32,
    revision: u64,
}

impl SilentDirectory {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("lock")
    }

    fn set_out(&self, is_out: bool) {
        let mut state = self.lock();
        state.is_out = is_out;
        state.outages += u32::from(is_out);
    }

    async fn check_reachable(&self) -> Result<(), PlatformError> {
        if self.lock().is_out {
            time::sleep(CALL_TIMEOUT).await;
            return Err(PlatformError::Unavailable("timed out".into()));
        }
        Ok(())
    }
}

impl Directory for SilentDirectory {
    async fn snapshot(&self, _kind: Kind) -> Result<Snapshot, PlatformError> {
        self.check_reachable().await?;
        Ok(Snapshot { revision: self.lock().revision, entries: Vec::new() })
    }

    async fn changes(
        &self,
        _kind: Kind,
        revision: u64,
        wait: Duration,
    ) -> Result<Watched, PlatformError> {
        self.check_reachable().await?;
        let (outages, ends_at) = (self.lock().outages, Instant::now() + wait);
        while Instant::now() < ends_at {
            if self.lock().outages > outages {
                time::sleep_until(ends_at + CALL_TIMEOUT).await;
                return Err(PlatformError::Unavailable("timed out".into()));
            }
            if self.lock().revision > revision {
                break;
            }
            time::sleep(Duration::from_millis(10)).await;
        }
        Ok(Watched::Changes(self.lock().revision, Vec::new()))
    }

    async fn write(
        &self,
        _kind: Kind,
        _name: &str,
        _body: Bytes,
        _expected: Option<u64>,
    ) -> Result<u64, PlatformError> {
        unreachable!("followers don't write")
    }

    async fn write_status(
        &self,
        _kind: Kind,
        _name: &str,
        _status: Bytes,
    ) -> Result<(), PlatformError> {
        unreachable!("followers don't write")
    }
}

/// A watch that an outage left unanswered is given up once another kind's
/// follower finds the directory back, not when the watch would have ended.
#[tokio::test(start_paused = true)]
async fn unanswered_watch_is_restarted() {
    let (directory, context) = (SilentDirectory::default(), FollowContext::default());
    let settings = FollowSettings { wait: Duration::from_secs(20), ..FollowSettings::default() };
    let seen = Mutex::new(None);
    let configuration = follow(&directory, Kind::Configuration, settings, &context, |update| {
        if let DirectoryUpdate::Snapshot(2, _) = update {
            seen.lock().expect("lock").get_or_insert_with(Instant::now);
        }
    });
    let removals = follow(&directory, Kind::Removals, settings, &context, |_| {});
    let script = async {
        time::sleep(Duration::from_millis(500)).await;
        directory.set_out(true);
        time::sleep(Duration::from_secs(4)).await;
        directory.set_out(false);
        directory.lock().revision = 2;
        let returned = Instant::now();
        time::sleep(Duration::from_secs(30)).await;
        returned
    };
    let returned = tokio::select! {
        returned = script => returned,
        () = configuration => unreachable!("followers don't end"),
        () = removals => unreachable!("followers don't end"),
    };
    let seen_at = seen.lock().expect("lock").expect("the new revision is seen");
    let delay = seen_at - returned;
    // A call that began just before the return, and the longest retry delay.
    assert!(delay <= CALL_TIMEOUT + Duration::from_secs(1), "{delay:?}");
}
