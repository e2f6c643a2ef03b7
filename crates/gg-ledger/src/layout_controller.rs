//! Keeps an instance registered and the layout whole: founds it, takes the
//! place of lost members, and empties instances.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant, SystemTime},
};

use bytes::Bytes;
use futures::future::join_all;
use gg_platform::{
    Change, Entry, FollowSettings, Kind, MirrorNews, News, PlatformError, follow_unless_told,
};
use gg_protocol::Name;
use gg_route::Deployment;
use indexmap::{IndexMap, IndexSet};
use rand::seq::SliceRandom;
use tokio::{sync::Notify, time};
use tokio_util::sync::CancellationToken;

use crate::{
    LAYOUT_NAME, Layout, LedgerSet, Member, Node, Patience, Plan, Registration,
    link::{Link, Scope},
    links::Links,
    node::lock,
    protocol::{Answer, Ask},
    sources::{KINDS, Source, watchers},
};

/// How an instance takes part.
#[derive(Clone, Debug)]
pub struct KeeperSettings {
    /// This instance, as others reach it.
    pub member: Member,
    /// Disks that may be lost at once.
    pub tolerated: usize,
    /// Whether the whole deployment starts for the first time.
    pub is_founding: bool,
    /// Wait for all instances to register before a layout is founded with
    /// those that are there.
    pub founding_wait: Duration,
    /// When silent members are replaced.
    pub patience: Patience,
}

/// Time between two looks while nothing changes, and between two heartbeats.
const LOOK_INTERVAL: Duration = Duration::from_millis(400);

/// Time between two questions to instances that follow the directory; part of
/// how late a change is heard of.
const ASK_INTERVAL: Duration = Duration::from_millis(300);

/// The same until something is known of each kind: a restart ends sooner.
const ASK_PAUSE: Duration = Duration::from_millis(40);

/// Longest wait for their answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);

/// Instances that are asked each time.
const ASKED: usize = 2;

/// Time after the start in which other instances may tell before kinds other
/// than the instances themselves are asked of the directory.
const START_PATIENCE: Duration = Duration::from_millis(1_000);

/// Calls that belong to no partition.
const NO_PARTITION: Scope = Scope { partition: 0, epoch: 0 };

/// Longest wait for another instance's status.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// A change is given up when a newcomer is silent this many times longer than
/// a member that is replaced: until then it costs little.
const ABANDON_FACTOR: u32 = 4;

/// How many times longer the founding waits while too few instances are
/// registered to bear the loss of one.
const FOUNDING_FACTOR: u32 = 4;

/// An instance founds the layout this much later than the one before it in
/// the order of names: a write and the news of it take less.
const FOUNDING_TURN: Duration = Duration::from_millis(600);

/// Instances that wait for their turn to found; the others wait as long as the
/// last of them.
const FOUNDERS: usize = 4;

/// Keeps one instance in the layout.
#[derive(Debug)]
pub struct Keeper<D> {
    settings: KeeperSettings,
    directory: D,
    node: Node,
    known: Mutex<Known>,
    links: Mutex<Links>,
    sources: [Source; KINDS.len()],
    changed: Notify,
}

/// The directory as last heard of.
#[derive(Debug, Default)]
struct Known {
    layout: Option<(u64, Layout)>,
    registered: IndexMap<Name, Registration>,
    /// Instances that are to be emptied.
    leaving: IndexSet<Name>,
    /// Since when this instance is registered.
    registered_at: Option<Instant>,
    /// What the operators were told of this instance's emptying.
    told: Option<bool>,
    is_listed: bool,
}

impl<D: Deployment> Keeper<D> {
    /// A keeper of `node`; its links end when `stop` is cancelled.
    pub fn new(
        settings: KeeperSettings,
        directory: D,
        node: Node,
        stop: CancellationToken,
    ) -> Self {
        let links = Mutex::new(Links::new(Some(LOOK_INTERVAL), stop));
        Keeper {
            settings,
            directory,
            node,
            known: Mutex::default(),
            links,
            sources: KINDS.map(Source::new),
            changed: Notify::new(),
        }
    }

    /// Runs until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let work = async {
            tokio::join!(
                join_all(self.sources.iter().map(|source| self.follow(source))),
                self.ask_watchers(),
                self.keep(),
            );
        };
        stop.run_until_cancelled(work).await;
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        lock(&self.known)
    }

    /// Follows one kind while no other instance tells of it.
    async fn follow(&self, source: &Source) {
        if source.kind != Kind::Ledgers {
            let watching = async {
                while !self.is_watcher() {
                    time::sleep(ASK_PAUSE).await;
                }
            };
            // In the end it is followed either way.
            let _ = time::timeout(START_PATIENCE, watching).await;
        }
        let take = |news| self.take(source, news);
        let settings = FollowSettings::default();
        follow_unless_told(&self.directory, source.kind, settings, &source.told, take).await;
    }

    /// Asks instances that follow the directory what is new, unless this is
    /// one of them.
    async fn ask_watchers(&self) {
        loop {
            let is_told = self.sources.iter().all(|source| source.revision() > 0);
            time::sleep(if is_told { ASK_INTERVAL } else { ASK_PAUSE }).await;
            let known: Vec<(Kind, u64)> =
                self.sources.iter().map(|source| (source.kind, source.revision())).collect();
            let calls = self.asked().into_iter().map(async |link| {
                let call = link.call(NO_PARTITION, Ask::Mirror(known.clone()));
                match time::timeout(ASK_TIMEOUT, call).await {
                    Ok(Ok(Answer::Mirror(news))) => news,
                    _ => Vec::new(),
                }
            });
            let told = join_all(calls).await;
            told.into_iter().flatten().for_each(|news| self.take_told(news));
        }
    }

    /// Whether this instance is one of those that follow the directory.
    fn is_watcher(&self) -> bool {
        self.watchers().iter().any(|found| found.member.instance == self.settings.member.instance)
    }

    /// Instances that follow the directory, as far as this one knows. Machines
    /// that are gone stay registered, so those long silent don't count.
    fn watchers(&self) -> Vec<Registration> {
        let known = self.known();
        let patience = self.settings.patience.busy;
        let present =
            known.registered.iter().filter(|(_, found)| self.silence(&found.member) <= patience);
        let names = watchers(present.map(|(name, _)| name), self.settings.tolerated);
        names.into_iter().filter_map(|name| known.registered.get(name)).cloned().collect()
    }

    /// Instances to ask; none if this one follows the directory itself.
    fn asked(&self) -> Vec<Arc<Link>> {
        if self.is_watcher() {
            return Vec::new();
        }
        let watchers = self.watchers();
        let links = lock(&self.links);
        let all = watchers.iter().filter_map(|found| links.get(found.member.disk));
        let mut usable: Vec<Arc<Link>> = all.filter(|link| link.is_usable()).cloned().collect();
        usable.shuffle(&mut rand::rng());
        usable.truncate(ASKED);
        usable
    }

    fn take_told(&self, news: MirrorNews) {
        let Some(source) = self.sources.iter().find(|source| source.kind == news.kind) else {
            return;
        };
        source.note(news.is_current);
        match news.entries {
            Some(entries) => self.take(source, News::Snapshot(news.revision, entries)),
            // Nothing is new, and the directory answers.
            None if news.is_current => {
                self.node.mirror().take(source.kind, &News::Changes(news.revision, Vec::new()));
            }
            None => {}
        }
    }

    /// Takes in news of a kind, unless newer ones are known.
    fn take(&self, source: &Source, news: News) {
        match &news {
            News::Snapshot(revision, _) | News::Changes(revision, _) => {
                if !source.advance(*revision) {
                    return;
                }
            }
            News::Lost(err) => {
                log::warn!("event=directory_lost kind={} error={err}", source.kind.as_str());
            }
        }
        self.node.mirror().take(source.kind, &news);
        match source.kind {
            Kind::Ledgers => self.take_ledgers(news),
            Kind::Removals => self.take_removals(news),
            Kind::Configuration | Kind::Upstreams => return,
        }
        self.changed.notify_one();
    }

    fn take_ledgers(&self, news: News) {
        let mut known = self.known();
        match news {
            News::Snapshot(_, entries) => {
                known.registered.clear();
                known.is_listed = true;
                entries.iter().for_each(|entry| self.take_entry(&mut known, entry));
            }
            News::Changes(_, changes) => {
                for change in changes {
                    match change {
                        Change::Put(entry) => self.take_entry(&mut known, &entry),
                        Change::Removed(name) => {
                            known.registered.shift_remove(name.as_str());
                        }
                    }
                }
            }
            News::Lost(_) => {}
        }
    }

    fn take_entry(&self, known: &mut Known, entry: &Entry) {
        if entry.name == LAYOUT_NAME {
            match serde_json::from_slice::<Layout>(&entry.body) {
                Ok(layout) => {
                    self.node.set_layout(layout.clone());
                    known.layout = Some((entry.revision, layout));
                }
                Err(err) => log::error!("event=layout_unreadable error={err}"),
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

    fn take_removals(&self, news: News) {
        let mut known = self.known();
        match news {
            News::Snapshot(_, entries) => {
                known.leaving = entries.iter().map(|entry| entry.name.as_str().into()).collect();
            }
            News::Changes(_, changes) => {
                for change in changes {
                    match change {
                        Change::Put(entry) => known.leaving.insert(entry.name.as_str().into()),
                        Change::Removed(name) => known.leaving.shift_remove(name.as_str()),
                    };
                }
            }
            News::Lost(_) => {}
        }
    }

    /// Looks at the layout again and again and does what is next.
    async fn keep(&self) {
        loop {
            // Either way it is time to look again.
            let _ = time::timeout(LOOK_INTERVAL, self.changed.notified()).await;
            if let Err(err) = self.look().await {
                log::warn!("event=layout_change_failed error={err}");
                time::sleep(LOOK_INTERVAL).await;
            }
        }
    }

    async fn look(&self) -> Result<(), PlatformError> {
        let (layout, registered, leaving) = {
            let known = self.known();
            if !known.is_listed {
                return Ok(());
            }
            (known.layout.clone(), known.registered.clone(), known.leaving.clone())
        };
        self.register(&registered).await?;
        self.watch_others(layout.as_ref().map(|(_, layout)| layout), &registered);
        let Some((revision, layout)) = layout else {
            return self.found().await;
        };
        self.tell_leaving(&layout, &leaving).await?;
        let plan = Plan {
            layout: &layout,
            registered: &registered,
            leaving: &leaving,
            silence: |member: &Member| self.silence(member),
            patience: self.settings.patience,
        };
        let mut changes = plan.changes(self.node.disk());
        changes.extend(self.advance(&layout).await);
        if changes.is_empty() {
            return Ok(());
        }
        let mut next = layout.clone();
        for (partition, set) in changes {
            next.partitions[partition] = set;
        }
        self.write_layout(next, Some(revision)).await
    }

    /// Watches all other instances that are or could become members.
    fn watch_others(&self, layout: Option<&Layout>, registered: &IndexMap<Name, Registration>) {
        let mut others = layout.map(Layout::members).unwrap_or_default();
        others.extend(registered.values().map(|found| &found.member));
        others.retain(|member| member.disk != self.node.disk());
        lock(&self.links).keep(&others);
    }

    /// For how long a member has not been heard of.
    fn silence(&self, member: &Member) -> Duration {
        if member.disk == self.node.disk() {
            return Duration::ZERO;
        }
        lock(&self.links).get(member.disk).map_or(Duration::ZERO, |link| link.silence())
    }

    /// Writes what this instance is, if the directory says otherwise.
    async fn register(
        &self,
        registered: &IndexMap<Name, Registration>,
    ) -> Result<(), PlatformError> {
        let member = &self.settings.member;
        if registered.get(&member.instance).is_some_and(|found| found.member == *member) {
            self.known().registered_at.get_or_insert_with(Instant::now);
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
        let mut known = self.known();
        known.registered.insert(member.instance.clone(), registration);
        known.registered_at.get_or_insert_with(Instant::now);
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

    /// Founds the layout when the whole deployment starts for the first time.
    /// Its number of partitions stands for good, so the others get time to
    /// register, counted from when this instance could, and more of it while
    /// they are too few to lose any.
    async fn found(&self) -> Result<(), PlatformError> {
        let (members, registered_at) = {
            let known = self.known();
            let members = known.registered.values().map(|found| found.member.clone());
            (members.collect::<Vec<_>>(), known.registered_at)
        };
        let wanted = 2 * self.settings.tolerated + 1;
        let factor = if members.len() < wanted { FOUNDING_FACTOR } else { 1 };
        // One founds, the others if it doesn't.
        let mut names: Vec<&Name> = members.iter().map(|member| &member.instance).collect();
        names.sort();
        let turn = names.iter().position(|name| **name == self.settings.member.instance);
        let turn = turn.map_or(FOUNDERS, |turn| turn.min(FOUNDERS));
        let wait = self.settings.founding_wait * factor + FOUNDING_TURN * turn as u32;
        let is_due = registered_at.is_some_and(|at| at.elapsed() >= wait);
        if !self.settings.is_founding || !is_due || members.is_empty() {
            return Ok(());
        }
        self.write_layout(Layout::found(&members, self.settings.tolerated), None).await
    }

    async fn write_layout(&self, layout: Layout, over: Option<u64>) -> Result<(), PlatformError> {
        match self.directory.write(Kind::Ledgers, LAYOUT_NAME, to_body(&layout), over).await {
            Ok(revision) => {
                let changing = layout.partitions.iter().filter(|set| set.next.is_some()).count();
                log::info!("event=layout_written revision={revision} changing={changing}");
                self.node.set_layout(layout.clone());
                self.known().layout = Some((revision, layout));
                Ok(())
            }
            // Another instance was faster; the watch brings its layout.
            Err(PlatformError::Conflict(_)) => Ok(()),
            Err(err) => Err(err),
        }
    }

    /// Brings changes under way to their end, or gives them up if a newcomer
    /// is lost.
    async fn advance(&self, layout: &Layout) -> Vec<(usize, LedgerSet)> {
        let mut changes = Vec::new();
        for (number, set) in layout.partitions.iter().enumerate() {
            if set.next.is_none() {
                continue;
            }
            let partition = number as u16;
            self.copy_own(partition, set).await;
            if self.is_copied(partition, set).await {
                changes.push((number, set.finish()));
            } else if self.is_hopeless(set) {
                log::warn!("event=layout_change_abandoned partition={partition}");
                changes.push((number, set.abandon()));
            }
        }
        changes
    }

    /// Copies a partition that this instance is to hold.
    async fn copy_own(&self, partition: u16, set: &LedgerSet) {
        let is_learner = set.learners().iter().any(|member| member.disk == self.node.disk());
        if !is_learner || self.has_copied(partition, set) {
            return;
        }
        match self.node.copy_all(partition, set).await {
            Ok(()) => log::info!("event=ledger_copied partition={partition} epoch={}", set.epoch),
            Err(err) => log::warn!("event=ledger_copy_failed partition={partition} error={err}"),
        }
    }

    fn has_copied(&self, partition: u16, set: &LedgerSet) -> bool {
        self.node.book().copied(partition).is_some_and(|epoch| epoch >= set.epoch)
    }

    /// Whether this instance is the one to end a change and all learners are
    /// done.
    async fn is_copied(&self, partition: u16, set: &LedgerSet) -> bool {
        let learners = set.learners();
        let ends = learners.first().is_some_and(|member| member.disk == self.node.disk());
        if !ends {
            return false;
        }
        for member in learners {
            let copied = match member.disk == self.node.disk() {
                true => self.has_copied(partition, set),
                false => self.ask_copied(member, partition, set).await,
            };
            if !copied {
                return false;
            }
        }
        true
    }

    async fn ask_copied(&self, member: &Member, partition: u16, set: &LedgerSet) -> bool {
        let Some(link) = lock(&self.links).get(member.disk).cloned() else { return false };
        let call = link.call(Scope { partition, epoch: set.epoch }, Ask::Status);
        match time::timeout(STATUS_TIMEOUT, call).await {
            Ok(Ok(Answer::Status { copied })) => copied.is_some_and(|epoch| epoch >= set.epoch),
            other => {
                log::info!("event=learner_silent instance={} answer={other:?}", member.instance);
                false
            }
        }
    }

    /// Whether a learner has been silent for long, as seen by a present
    /// member that is not cut off itself.
    fn is_hopeless(&self, set: &LedgerSet) -> bool {
        let patience = self.settings.patience.idle;
        let is_near = |member: &&Member| self.silence(member) <= patience;
        let near: Vec<u64> = set.members.iter().filter(is_near).map(|member| member.disk).collect();
        let learners = set.learners();
        let mut learners = learners.iter();
        set.has(self.node.disk())
            && set.is_read(&near)
            && learners.any(|member| self.silence(member) > patience * ABANDON_FACTOR)
    }

    /// Tells the operators how far the emptying of this instance is. Only an
    /// instance that no partition needs any more is empty.
    async fn tell_leaving(
        &self,
        layout: &Layout,
        leaving: &IndexSet<Name>,
    ) -> Result<(), PlatformError> {
        let me = &self.settings.member.instance;
        if !leaving.contains(me) {
            return Ok(());
        }
        let is_empty = !layout.members().iter().any(|member| member.instance == *me);
        if self.known().told.is_some_and(|told| told || told == is_empty) {
            return Ok(());
        }
        let status = self.directory.removal_status(is_empty);
        self.directory.write_status(Kind::Removals, me, status).await?;
        log::info!("event=removal_told is_empty={is_empty}");
        self.known().told = Some(is_empty);
        Ok(())
    }
}

fn to_body<T: serde::Serialize>(value: &T) -> Bytes {
    // Writing these types into memory never fails.
    serde_json::to_vec(value).map(Bytes::from).unwrap_or_default()
}
