//! Watches whose answers are lost, in virtual time.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use gg_platform::{
    Change, CopyAges, DELIVERY_TIME, Directory, DirectoryUpdate, Entry, FollowContext,
    FollowSettings, Kind, PlatformError, Snapshot, Watched, follow,
};
use gg_protocol::DirectoryBounds;
use tokio::{
    sync::watch,
    time::{self, Instant},
};

/// Timeout of a call, in addition to the wait of a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a follower is watched after a change. Longer than any bound.
const WATCHED_TIME: Duration = Duration::from_secs(6);

/// Time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(4);

const KINDS: [Kind; 4] = [Kind::Configuration, Kind::Upstreams, Kind::Ledgers, Kind::Removals];

/// Directory that loses answers: those of the watches that are open at a change,
/// and during an outage all.
#[derive(Clone, Debug, Default)]
struct LossyDirectory {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    /// Revision of the one entry of each kind.
    entries: HashMap<Kind, u64>,
    /// Watches that began earlier lose their answers.
    lost_before: Option<Instant>,
    is_silent: bool,
    /// Calls are refused at once.
    is_busy: bool,
    calls: u32,
    /// Lists of the kinds that have entries, which checks don't read.
    lists: u32,
}

impl LossyDirectory {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock")
    }

    fn change(&self, kind: Kind) {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        state.entries.insert(kind, revision);
        drop(state);
        self.changed.send_replace(());
    }

    /// Changes the entry of a kind; the watches that are open lose their answers.
    fn change_unseen(&self, kind: Kind) {
        self.lock().lost_before = Some(Instant::now());
        self.change(kind);
    }

    /// Takes the time of an answer, which may be lost. The caller then waits for
    /// `wait` and the timeout.
    async fn answer(&self, began_at: Instant, wait: Duration) -> Result<(), PlatformError> {
        time::sleep(CALL_TIME).await;
        if self.lock().is_busy {
            return Err(PlatformError::Unavailable("status 503".into()));
        }
        let is_lost = {
            let state = self.lock();
            state.is_silent || state.lost_before.is_some_and(|before| began_at <= before)
        };
        if is_lost {
            time::sleep_until(began_at + wait + CALL_TIMEOUT).await;
            return Err(PlatformError::Unavailable("timed out".into()));
        }
        Ok(())
    }
}

impl State {
    fn entry(&self, kind: Kind) -> Option<Entry> {
        let revision = *self.entries.get(&kind)?;
        Some(Entry { name: "main".into(), revision, body: Bytes::new() })
    }
}

impl Directory for LossyDirectory {
    async fn snapshot(&self, kind: Kind) -> Result<Snapshot, PlatformError> {
        {
            let mut state = self.lock();
            state.calls += 1;
            state.lists += u32::from(kind != Kind::Removals);
        }
        self.answer(Instant::now(), Duration::ZERO).await?;
        let state = self.lock();
        Ok(Snapshot { revision: state.revision, entries: state.entry(kind).into_iter().collect() })
    }

    async fn changes(
        &self,
        kind: Kind,
        revision: u64,
        wait: Duration,
    ) -> Result<Watched, PlatformError> {
        self.lock().calls += 1;
        let began_at = Instant::now();
        let mut changed = self.changed.subscribe();
        let until_changed = changed.wait_for(|()| {
            self.lock().entries.get(&kind).is_some_and(|changed| *changed > revision)
        });
        // Answered in either case.
        let _ = time::timeout(wait, until_changed).await;
        self.answer(began_at, wait).await?;
        let state = self.lock();
        let entry = state.entry(kind).filter(|entry| entry.revision > revision);
        Ok(Watched::Changes(state.revision, entry.map(Change::Put).into_iter().collect()))
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

/// What a follower of all kinds learns, and when.
#[derive(Debug, Default)]
struct Seen {
    /// Time at which each revision of an entry was seen first.
    entries: HashMap<(Kind, u64), Instant>,
    /// Times of the confirmations of a kind.
    confirmed: HashMap<Kind, Vec<Instant>>,
}

impl Seen {
    fn record(&mut self, kind: Kind, update: DirectoryUpdate) {
        let entries = match update {
            DirectoryUpdate::Snapshot(_, entries) => entries,
            DirectoryUpdate::Changes(_, changes) => changes
                .into_iter()
                .filter_map(|change| match change {
                    Change::Put(entry) => Some(entry),
                    Change::Removed(_) => None,
                })
                .collect(),
            DirectoryUpdate::Confirmed(_) => {
                self.confirmed.entry(kind).or_default().push(Instant::now());
                Vec::new()
            }
            DirectoryUpdate::Answered(_) | DirectoryUpdate::Lost(_) => Vec::new(),
        };
        for entry in entries {
            self.entries.entry((kind, entry.revision)).or_insert_with(Instant::now);
        }
    }
}

/// Runs `script` beside a follower of all kinds.
async fn run<T>(directory: &LossyDirectory, script: impl Future<Output = T>) -> (T, Seen) {
    KINDS.iter().for_each(|kind| directory.change(*kind));
    let (context, seen) = (FollowContext::default(), Mutex::new(Seen::default()));
    let follow_kind = |kind| {
        let seen = &seen;
        let record = move |update| seen.lock().expect("lock").record(kind, update);
        follow(directory, kind, FollowSettings::default(), &context, record)
    };
    let [configuration, upstreams, ledgers, removals] = KINDS.map(follow_kind);
    let result = tokio::select! {
        result = script => result,
        _ = async { tokio::join!(configuration, upstreams, ledgers, removals) } => {
            unreachable!("followers don't end")
        }
    };
    (result, seen.into_inner().expect("lock"))
}

/// A change whose answer is lost is seen with the next check, whatever its kind and
/// whenever it comes between two checks.
#[tokio::test(start_paused = true)]
async fn lost_answer_is_noticed() {
    let interval = CopyAges::default().check_interval;
    for kind in KINDS {
        for moment in 0..10 {
            let directory = LossyDirectory::default();
            let script = async {
                let part = (f64::from(moment) + 0.5) / 10.0;
                time::sleep(interval.mul_f64(5.0 + part)).await;
                directory.change_unseen(kind);
                let changed_at = Instant::now();
                time::sleep(WATCHED_TIME).await;
                (changed_at, directory.lock().revision)
            };
            let ((changed_at, revision), seen) = run(&directory, script).await;
            let seen_at = seen.entries.get(&(kind, revision)).expect("the change is seen");
            let delay = *seen_at - changed_at;
            assert!(delay <= interval + CALL_TIME * 4, "{kind:?} {moment}: {delay:?}");
        }
    }
}

/// The directory is silent for a moment right after a change. What waits for it at
/// a gateway then still follows it within the bound after the end of a disruption.
#[tokio::test(start_paused = true)]
async fn silent_after_change() {
    let bounds = DirectoryBounds::default();
    for kind in KINDS {
        for (moment, silent_ms) in (0..20).flat_map(|moment| [(moment, 20), (moment, 500)]) {
            let directory = LossyDirectory::default();
            let script = async {
                time::sleep(Duration::from_millis(5_000 + 50 * moment)).await;
                directory.lock().is_silent = true;
                directory.change_unseen(kind);
                time::sleep(Duration::from_millis(silent_ms)).await;
                directory.lock().is_silent = false;
                let returned_at = Instant::now();
                time::sleep(WATCHED_TIME).await;
                (returned_at, directory.lock().revision)
            };
            let ((returned_at, revision), seen) = run(&directory, script).await;
            let seen_at = seen.entries.get(&(kind, revision)).expect("the change is seen");
            let delay = seen_at.saturating_duration_since(returned_at);
            let allowed = bounds.recovery - DELIVERY_TIME;
            assert!(delay <= allowed, "{kind:?} {moment} {silent_ms}: {delay:?}");
        }
    }
}

/// While nothing changes, one call confirms all kinds.
#[tokio::test(start_paused = true)]
async fn checks_are_shared() {
    const CALM: Duration = Duration::from_secs(100);
    let directory = LossyDirectory::default();
    let script = async {
        time::sleep(Duration::from_secs(2)).await;
        let (before, start) = (directory.lock().calls, Instant::now());
        time::sleep(CALM).await;
        (directory.lock().calls - before, start)
    };
    let ((calls, start), seen) = run(&directory, script).await;
    let settings = FollowSettings::default();
    let periods = |time: Duration| CALM.div_duration_f64(time).ceil() as u32;
    let watches = 4 * (periods(settings.wait) + 1);
    assert!(calls <= periods(CopyAges::default().check_interval) + watches, "{calls}");
    for kind in KINDS {
        let times = seen.confirmed[&kind].iter().filter(|at| **at >= start);
        let times: Vec<Instant> = times.copied().collect();
        let longest = times.windows(2).map(|pair| pair[1] - pair[0]).max().expect("confirmations");
        assert!(
            longest <= CopyAges::default().check_interval + CALL_TIME * 2,
            "{kind:?}: {longest:?}"
        );
    }
}

/// A check without an answer is repeated; the watches stay open, and nothing is
/// listed anew.
#[tokio::test(start_paused = true)]
async fn lost_check_keeps_watches() {
    let interval = CopyAges::default().check_interval;
    let directory = LossyDirectory::default();
    let script = async {
        time::sleep(interval.mul_f64(4.5)).await;
        let lists = directory.lock().lists;
        directory.lock().is_silent = true;
        time::sleep(interval).await;
        directory.lock().is_silent = false;
        time::sleep(WATCHED_TIME).await;
        directory.lock().lists - lists
    };
    let (lists, _) = run(&directory, script).await;
    assert_eq!(lists, 0);
}

/// While the directory refuses all calls, the followers of a process together make
/// one call for each retry delay.
#[tokio::test(start_paused = true)]
async fn outage_calls_are_shared() {
    const OUTAGE: Duration = Duration::from_secs(20);
    let directory = LossyDirectory::default();
    let script = async {
        time::sleep(Duration::from_secs(3)).await;
        let calls = directory.lock().calls;
        directory.lock().is_busy = true;
        time::sleep(OUTAGE).await;
        directory.lock().calls - calls
    };
    let (calls, _) = run(&directory, script).await;
    let settings = FollowSettings::default();
    // Delays are half of the setting at least; they begin shorter.
    let delays = OUTAGE.div_duration_f64(settings.retry_max / 2).ceil() as u32;
    assert!(calls <= delays + 8, "{calls}");
}

/// Changes of one kind leave the others confirmed.
#[tokio::test(start_paused = true)]
async fn other_kinds_stay_confirmed() {
    let directory = LossyDirectory::default();
    let script = async {
        for _ in 0..100 {
            time::sleep(Duration::from_millis(330)).await;
            directory.change(Kind::Upstreams);
        }
    };
    let ((), seen) = run(&directory, script).await;
    let interval = CopyAges::default().check_interval;
    for kind in [Kind::Configuration, Kind::Ledgers, Kind::Removals] {
        let times = &seen.confirmed[&kind];
        let longest = times.windows(2).map(|pair| pair[1] - pair[0]).max().expect("confirmations");
        assert!(longest <= interval + CALL_TIME * 3, "{kind:?}: {longest:?}");
    }
}

/// The sums of docs/design/freshness.md for the bounds of known deployments, in ms:
/// apply, drain, recovery, revocation.
#[test]
fn bounds_add_up() {
    for (apply, drain, recovery, revocation) in [
        (2_000, 2_000, 3_000, None),
        (3_000, 3_000, 4_000, None),
        (3_000, 3_000, 4_000, Some(5_000)),
        (4_000, 4_000, 5_000, None),
        (4_000, 4_000, 5_000, Some(3_000)),
    ] {
        let [apply, drain, recovery] = [apply, drain, recovery].map(Duration::from_millis);
        let revocation = revocation.map(Duration::from_millis);
        let ages = CopyAges::new(&DirectoryBounds {
            apply,
            drain,
            recovery,
            revocation,
            ..DirectoryBounds::default()
        });
        assert!(ages.check_interval < ages.outage_min, "checks show that there is no outage");
        let change = apply.min(drain);
        let settings = FollowSettings::default();
        assert!(settings.batch_delay + DELIVERY_TIME <= change, "a change in calm times");
        assert!(ages.check_interval + DELIVERY_TIME <= change, "a lost answer");
        assert!(ages.check_interval + DELIVERY_TIME <= ages.current, "current in calm times");
        let retry = settings.retry_max.mul_f64(1.5);
        assert!(CALL_TIMEOUT + retry + DELIVERY_TIME <= recovery, "a call without an answer");
        let list = gg_platform::OWN_LIST_TIME;
        assert!(ages.current + list <= recovery, "a silent source");
        assert!(ages.current + list <= change, "a silent source beside a change");
        if let Some(revocation) = revocation {
            assert!(ages.current + list <= revocation, "a silent source with withdrawn keys");
            assert!(ages.check_interval <= Duration::from_secs(1));
        }
    }
}
