//! Keeps an instance registered and the set of members complete: founds the
//! set, takes the place of lost members, and empties instances.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime},
};

use bytes::Bytes;
use futures::future::join_all;
use gg_platform::{Change, Entry, FollowSettings, Kind, News, PlatformError, follow};
use gg_protocol::Name;
use gg_route::Deployment;
use indexmap::IndexMap;
use tokio::{sync::Notify, time};
use tokio_util::sync::CancellationToken;

use crate::{
    LedgerSet, Member, Node, Registration, SET_NAME,
    node::lock,
    protocol::{Answer, Ask},
    pull,
    set::Plan,
};

/// How an instance takes part in the set.
#[derive(Clone, Debug)]
pub struct KeeperSettings {
    /// This instance, as others reach it.
    pub member: Member,
    /// Disks that may be lost at once.
    pub tolerated: usize,
    /// Whether the whole deployment starts for the first time.
    pub is_founding: bool,
    /// Time without an answer after which a member may be replaced.
    pub lost_after: Duration,
}

/// Time between two looks at the set while nothing changes.
const LOOK_INTERVAL: Duration = Duration::from_millis(400);

/// Wait for all instances to register before a set is founded with fewer.
const FOUNDING_WAIT: Duration = Duration::from_secs(3);

/// A change is given up when a newcomer is silent this many times longer than
/// a member that is replaced: until then it costs little.
const ABANDON_FACTOR: u32 = 4;

/// Longest wait for another instance's status.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Keeps one instance in the set.
#[derive(Debug)]
pub struct Keeper<D> {
    settings: KeeperSettings,
    directory: D,
    node: Node,
    known: Arc<Mutex<Known>>,
    changed: Arc<Notify>,
}

/// The directory as last heard of.
#[derive(Debug, Default)]
struct Known {
    set: Option<(u64, LedgerSet)>,
    registered: IndexMap<Name, Registration>,
    /// Instances to be emptied, and whether the end was told.
    leaving: IndexMap<Name, Told>,
    listed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Nothing,
    Running,
    Finished,
}

impl<D: Deployment> Keeper<D> {
    /// A keeper of `node`.
    pub fn new(settings: KeeperSettings, directory: D, node: Node) -> Self {
        Keeper { settings, directory, node, known: Arc::default(), changed: Arc::default() }
    }

    /// Runs until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let work = async {
            tokio::join!(self.follow_ledgers(), self.follow_removals(), self.keep());
        };
        stop.run_until_cancelled(work).await;
    }

    async fn follow_ledgers(&self) {
        follow(&self.directory, Kind::Ledgers, FollowSettings::default(), |news| {
            let mut known = lock(&self.known);
            match news {
                News::Snapshot(entries) => {
                    known.registered.clear();
                    known.listed = true;
                    entries.iter().for_each(|entry| self.take(&mut known, entry));
                }
                News::Changes(changes) => {
                    for change in changes {
                        match change {
                            Change::Put(entry) => self.take(&mut known, &entry),
                            Change::Removed(name) => {
                                known.registered.shift_remove(name.as_str());
                            }
                        }
                    }
                }
                News::Lost(err) => log::warn!("event=directory_lost kind=ledgers error={err}"),
            }
            self.changed.notify_one();
        })
        .await;
    }

    fn take(&self, known: &mut Known, entry: &Entry) {
        if entry.name == SET_NAME {
            match serde_json::from_slice::<LedgerSet>(&entry.body) {
                Ok(set) => {
                    self.node.set_newer(set.clone());
                    known.set = Some((entry.revision, set));
                }
                Err(err) => log::error!("event=set_unreadable error={err}"),
            }
            return;
        }
        match serde_json::from_slice::<Registration>(&entry.body) {
            Ok(found) => {
                known.registered.insert(entry.name.as_str().into(), found);
            }
            Err(err) => log::warn!("event=registration_unreadable name={} error={err}", entry.name),
        }
    }

    async fn follow_removals(&self) {
        follow(&self.directory, Kind::Removals, FollowSettings::default(), |news| {
            let mut known = lock(&self.known);
            let names: Vec<String> = match news {
                News::Snapshot(entries) => entries.into_iter().map(|entry| entry.name).collect(),
                News::Changes(changes) => changes
                    .into_iter()
                    .filter_map(|change| match change {
                        Change::Put(entry) => Some(entry.name),
                        Change::Removed(_) => None,
                    })
                    .collect(),
                News::Lost(err) => {
                    log::warn!("event=directory_lost kind=removals error={err}");
                    return;
                }
            };
            for name in names {
                known.leaving.entry(name.as_str().into()).or_insert(Told::Nothing);
            }
            self.changed.notify_one();
        })
        .await;
    }

    /// Looks at the set again and again and does what is next.
    async fn keep(&self) {
        let started = Instant::now();
        let mut heard = HashMap::new();
        loop {
            // Either way it is time to look again.
            let _ = time::timeout(LOOK_INTERVAL, self.changed.notified()).await;
            if let Err(err) = self.look(started, &mut heard).await {
                log::warn!("event=set_change_failed error={err}");
                time::sleep(LOOK_INTERVAL).await;
            }
        }
    }

    async fn look(
        &self,
        started: Instant,
        heard: &mut HashMap<u64, Instant>,
    ) -> Result<(), PlatformError> {
        let (set, registered, leaving) = {
            let known = lock(&self.known);
            if !known.listed {
                return Ok(());
            }
            (known.set.clone(), known.registered.clone(), known.leaving.clone())
        };
        self.register(&registered).await?;
        let Some((revision, set)) = set else {
            return self.found(started, &registered).await;
        };
        self.tell_leaving(&set, &leaving).await?;
        if set.next.is_some() {
            return self.advance(revision, &set, heard).await;
        }
        let is_alone = set.members.iter().all(|member| member.disk == self.node.disk());
        if is_alone && set.members.len() >= set.size_wanted() {
            return Ok(());
        }
        // Members rest, unless one is to be emptied; spare instances look for
        // a place.
        let is_spare = !set.has(self.node.disk());
        if is_spare || set.members.iter().any(|member| leaving.contains_key(&member.instance)) {
            self.listen_for(&set, &registered, heard).await;
        }
        match self.plan(&set, &registered, &leaving, heard) {
            None => Ok(()),
            Some(next) => self.write_set(set.begin(next), Some(revision)).await,
        }
    }

    /// The change that this instance should write, if any.
    fn plan(
        &self,
        set: &LedgerSet,
        registered: &IndexMap<Name, Registration>,
        leaving: &IndexMap<Name, Told>,
        heard: &HashMap<u64, Instant>,
    ) -> Option<Vec<Member>> {
        let lost_after = self.settings.lost_after;
        if !self.is_connected(set, heard) {
            return None;
        }
        let plan = Plan {
            set,
            registered,
            is_leaving: &|name: &Name| leaving.contains_key(name),
            is_lost: &|member: &Member| {
                heard.get(&member.disk).is_some_and(|at| at.elapsed() > lost_after)
            },
        };
        plan.next().filter(|next| plan.is_driver(next, self.node.disk()))
    }

    /// Writes what this instance is, if the directory says otherwise.
    async fn register(
        &self,
        registered: &IndexMap<Name, Registration>,
    ) -> Result<(), PlatformError> {
        let member = &self.settings.member;
        if registered.get(&member.instance).is_some_and(|found| found.member == *member) {
            return Ok(());
        }
        let since_ms = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64);
        let registration = Registration { member: member.clone(), since_ms };
        let body = to_body(&registration);
        let over = self.revision_of(&member.instance, registered).await?;
        self.directory.write(Kind::Ledgers, &member.instance, body, over).await?;
        log::info!("event=ledger_registered disk={}", member.disk);
        lock(&self.known).registered.insert(member.instance.clone(), registration);
        Ok(())
    }

    /// Revision of this instance's former registration.
    async fn revision_of(
        &self,
        name: &str,
        registered: &IndexMap<Name, Registration>,
    ) -> Result<Option<u64>, PlatformError> {
        if !registered.contains_key(name) {
            return Ok(None);
        }
        let listed = self.directory.snapshot(Kind::Ledgers).await?;
        let entry = listed.entries.into_iter().find(|entry| entry.name == name);
        Ok(entry.map(|entry| entry.revision))
    }

    /// Founds the set when the whole deployment starts for the first time.
    async fn found(
        &self,
        started: Instant,
        registered: &IndexMap<Name, Registration>,
    ) -> Result<(), PlatformError> {
        let size = 2 * self.settings.tolerated + 1;
        let all_here = registered.len() >= size || started.elapsed() > FOUNDING_WAIT;
        if !self.settings.is_founding || !all_here {
            return Ok(());
        }
        let mut members: Vec<Member> =
            registered.values().map(|found| found.member.clone()).collect();
        members.sort_by(|a, b| a.instance.cmp(&b.instance));
        members.truncate(size);
        let tolerated = self.settings.tolerated;
        self.write_set(LedgerSet { epoch: 1, tolerated, members, next: None }, None).await
    }

    async fn write_set(&self, set: LedgerSet, over: Option<u64>) -> Result<(), PlatformError> {
        match self.directory.write(Kind::Ledgers, SET_NAME, to_body(&set), over).await {
            Ok(revision) => {
                log::info!("event=set_written epoch={} revision={revision}", set.epoch);
                self.node.set_newer(set.clone());
                lock(&self.known).set = Some((revision, set));
                Ok(())
            }
            // Another instance was faster; the watch brings its set.
            Err(PlatformError::Conflict(_)) => Ok(()),
            Err(err) => Err(err),
        }
    }

    /// Brings a change under way to its end, or gives it up if a newcomer is
    /// lost.
    async fn advance(
        &self,
        revision: u64,
        set: &LedgerSet,
        heard: &mut HashMap<u64, Instant>,
    ) -> Result<(), PlatformError> {
        let learners = set.learners();
        let me = self.node.disk();
        let copied = self.node.copied().is_some_and(|epoch| epoch >= set.epoch);
        if learners.iter().any(|member| member.disk == me) && !copied {
            match self.node.copy_all(set).await {
                Ok(()) => log::info!("event=ledger_copied epoch={}", set.epoch),
                Err(err) => log::warn!("event=ledger_copy_failed epoch={} error={err}", set.epoch),
            }
        }
        let mut is_done = true;
        let mut lost = false;
        for member in &learners {
            let copied = match member.disk == me {
                true => self.node.copied(),
                false => match status(member, set.epoch).await {
                    Ok(copied) => {
                        heard.insert(member.disk, Instant::now());
                        copied
                    }
                    Err(err) => {
                        log::info!("event=learner_silent instance={} error={err}", member.instance);
                        let at = *heard.entry(member.disk).or_insert_with(Instant::now);
                        lost |= at.elapsed() > self.settings.lost_after * ABANDON_FACTOR;
                        None
                    }
                },
            };
            is_done &= copied.is_some_and(|epoch| epoch >= set.epoch);
        }
        if is_done {
            self.write_set(set.finish(), Some(revision)).await
        } else if lost && set.has(me) {
            self.listen_for(set, &IndexMap::new(), heard).await;
            if !self.is_connected(set, heard) {
                return Ok(());
            }
            log::warn!("event=set_change_abandoned epoch={}", set.epoch);
            self.write_set(set.abandon(), Some(revision)).await
        } else {
            Ok(())
        }
    }

    /// Asks the members and the spare instances whether they are there.
    async fn listen_for(
        &self,
        set: &LedgerSet,
        registered: &IndexMap<Name, Registration>,
        heard: &mut HashMap<u64, Instant>,
    ) {
        let others = registered.values().map(|found| &found.member);
        let asked = set.members.iter().chain(others);
        let asked = asked.filter(|member| member.disk != self.node.disk());
        let asked =
            asked.map(async |member| (member.disk, status(member, set.epoch).await.is_ok()));
        let answers = join_all(asked).await;
        let now = Instant::now();
        for (disk, answered) in answers {
            match answered {
                true => heard.insert(disk, now),
                false => Some(*heard.entry(disk).or_insert(now)),
            };
        }
    }

    /// Whether this instance has just heard of enough members to judge the
    /// others; one that is cut off itself must not.
    fn is_connected(&self, set: &LedgerSet, heard: &HashMap<u64, Instant>) -> bool {
        let is_near = |member: &&Member| {
            member.disk == self.node.disk()
                || heard.get(&member.disk).is_some_and(|at| at.elapsed() < LOOK_INTERVAL)
        };
        let near: Vec<u64> = set.members.iter().filter(is_near).map(|member| member.disk).collect();
        set.is_read(&near)
    }

    /// Tells the operators how far the emptying of this instance is. Only an
    /// instance that the set doesn't need any more is empty.
    async fn tell_leaving(
        &self,
        set: &LedgerSet,
        leaving: &IndexMap<Name, Told>,
    ) -> Result<(), PlatformError> {
        let me = &self.settings.member.instance;
        let Some(told) = leaving.get(me) else { return Ok(()) };
        let is_needed = set.all().iter().any(|member| member.instance == *me);
        let next = if is_needed { Told::Running } else { Told::Finished };
        if *told == next || *told == Told::Finished {
            return Ok(());
        }
        let status = self.directory.removal_status(next == Told::Finished);
        self.directory.write_status(Kind::Removals, me, status).await?;
        log::info!("event=removal_told state={next:?}");
        lock(&self.known).leaving.insert(me.clone(), next);
        Ok(())
    }
}

/// Asks an instance how far it is.
async fn status(member: &Member, epoch: u64) -> Result<Option<u64>, pull::PullError> {
    let asked = pull::ask(member, epoch, Ask::Status);
    match time::timeout(STATUS_TIMEOUT, asked).await? {
        Ok(Answer::Status { copied }) => Ok(copied),
        Ok(_) => Err(pull::PullError::Refused),
        Err(err) => Err(err),
    }
}

fn to_body<T: serde::Serialize>(value: &T) -> Bytes {
    // Writing these types into memory never fails.
    serde_json::to_vec(value).map(Bytes::from).unwrap_or_default()
}
