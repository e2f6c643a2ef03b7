//! Keeps an instance registered and maintains the layout: creates it, replaces
//! lost members and drains instances.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant, SystemTime},
};

use bytes::Bytes;
use futures::future::join_all;
use gg_platform::{
    Change, Confirmed, CopyAges, DirectoryUpdate, Entry, FollowContext, FollowSettings, Kind,
    MirrorUpdate, POLL_INTERVAL, PlatformError, follow_unless_fresh,
};
use gg_protocol::Name;
use gg_route::Deployment;
use indexmap::{IndexMap, IndexSet};
use rand::seq::SliceRandom;
use tokio::{sync::Notify, time};
use tokio_util::sync::CancellationToken;

use crate::{
    LAYOUT_NAME, Layout, LayoutPlan, LedgerSet, Member, Node, Registration, ReplacementTimeouts,
    link::{Link, Scope},
    links::Links,
    node::lock,
    protocol::{Op, ReplyBody},
    sources::{KINDS, Source, watchers},
};

/// How an instance takes part in the layout.
#[derive(Clone, Debug)]
pub struct LayoutControllerSettings {
    /// This instance, as other instances reach it.
    pub member: Member,
    /// Disks that may be lost at once.
    pub tolerated_losses: usize,
    /// Whether the whole deployment starts for the first time.
    pub is_first_start: bool,
    /// Time that the other instances have to register. After it the layout is
    /// created from those that are registered.
    pub registration_wait: Duration,
    /// When silent members are replaced.
    pub replacement: ReplacementTimeouts,
    /// Ages that copies of the directory may reach.
    pub ages: CopyAges,
}

/// Time between two reconciliations while nothing changes, and between two
/// heartbeats.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(400);

/// Interval between polls until every kind has been received, so that a restart
/// completes sooner.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Timeout of one poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(250);

/// Number of watchers that each poll asks.
const POLL_TARGETS: usize = 2;

/// Time after the start in which other instances may supply updates. Until
/// then, an instance that is not a watcher reads only the ledger instances and
/// the layout from the directory.
const STARTUP_WAIT: Duration = Duration::from_millis(1_000);

/// Scope of requests that belong to no partition.
const NO_PARTITION: Scope = Scope { partition: 0, epoch: 0 };

/// Timeout of a status request to another instance.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// A change is abandoned when a learner has been silent this many times longer
/// than a member that is replaced. Waiting costs little until then.
const ABANDON_FACTOR: u32 = 4;

/// Factor by which the registration wait grows while fewer instances are
/// registered than a full member set has.
const REGISTRATION_WAIT_FACTOR: u32 = 4;

/// Delay between the attempts of successive instances, in the order of their
/// names, to create the layout. Writing the layout and receiving the update
/// take less.
const FOUNDING_STAGGER: Duration = Duration::from_millis(600);

/// Number of instances that are staggered; all others wait for one stagger
/// longer than the last of them.
const FOUNDERS_MAX: usize = 4;

/// Maintains the membership of one instance in the layout.
#[derive(Debug)]
pub struct LayoutController<D> {
    settings: LayoutControllerSettings,
    directory: D,
    node: Node,
    state: Mutex<DirectoryState>,
    links: Mutex<Links>,
    sources: [Source; KINDS.len()],
    context: FollowContext,
    changed: Notify,
}

/// Last known state of the directory.
#[derive(Debug, Default)]
struct DirectoryState {
    layout: Option<(u64, Layout)>,
    registered: IndexMap<Name, Registration>,
    /// Instances that are being drained.
    draining: IndexSet<Name>,
    /// When this instance's registration was first known to be in the
    /// directory.
    registered_at: Option<Instant>,
    /// Drain status of this instance as last reported to the operators.
    reported_empty: Option<bool>,
    is_listed: bool,
}

impl<D: Deployment> LayoutController<D> {
    /// Creates the controller of `node`. Its links close when `stop` is
    /// cancelled.
    pub fn new(
        settings: LayoutControllerSettings,
        directory: D,
        node: Node,
        stop: CancellationToken,
    ) -> Self {
        let links = Mutex::new(Links::new(Some(RECONCILE_INTERVAL), stop));
        let max_age = settings.ages.current;
        node.mirror().set_current_age(max_age);
        LayoutController {
            settings,
            directory,
            node,
            state: Mutex::default(),
            links,
            sources: KINDS.map(|kind| Source::new(kind, max_age)),
            context: FollowContext::default(),
            changed: Notify::new(),
        }
    }

    /// Runs until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let work = async {
            tokio::join!(
                join_all(self.sources.iter().map(|source| self.follow(source))),
                self.poll_watchers(),
                self.reconcile_loop(),
            );
        };
        stop.run_until_cancelled(work).await;
    }

    fn state(&self) -> MutexGuard<'_, DirectoryState> {
        lock(&self.state)
    }

    /// Follows one kind in the directory while no other instance supplies
    /// current updates.
    async fn follow(&self, source: &Source) {
        if source.kind != Kind::Ledgers {
            let until_watcher = async {
                while !self.is_watcher() {
                    time::sleep(STARTUP_POLL_INTERVAL).await;
                }
            };
            // The kind is followed in either case.
            let _ = time::timeout(STARTUP_WAIT, until_watcher).await;
        }
        let apply_directory_update = |update| self.apply_directory_update(source, update);
        let check_interval = self.settings.ages.check_interval;
        let settings = FollowSettings { check_interval, ..FollowSettings::default() };
        follow_unless_fresh(
            &self.directory,
            source.kind,
            settings,
            &self.context,
            &source.freshness,
            apply_directory_update,
        )
        .await;
    }

    /// Polls the directory watchers for updates, unless this instance is one of
    /// them.
    async fn poll_watchers(&self) {
        loop {
            let has_all_kinds = self.sources.iter().all(|source| source.revision() > 0);
            time::sleep(if has_all_kinds { POLL_INTERVAL } else { STARTUP_POLL_INTERVAL }).await;
            let revisions: Vec<(Kind, u64)> =
                self.sources.iter().map(|source| (source.kind, source.revision())).collect();
            let calls = self.poll_targets().into_iter().map(async |link| {
                let sent_at = Instant::now();
                let call = link.call(NO_PARTITION, Op::Mirror(revisions.clone()));
                match time::timeout(POLL_TIMEOUT, call).await {
                    Ok(Ok(ReplyBody::Mirror(updates))) => (sent_at, updates),
                    _ => (sent_at, Vec::new()),
                }
            });
            for (sent_at, updates) in join_all(calls).await {
                updates.into_iter().for_each(|update| self.apply_mirror_update(update, sent_at));
            }
        }
    }

    /// Whether this instance is a directory watcher.
    fn is_watcher(&self) -> bool {
        self.watchers()
            .iter()
            .any(|registration| registration.member.instance == self.settings.member.instance)
    }

    /// Directory watchers, as far as this instance knows. Removed instances
    /// stay registered, so those that have been silent for long don't count.
    fn watchers(&self) -> Vec<Registration> {
        let state = self.state();
        let timeout = self.settings.replacement.busy;
        let present = state
            .registered
            .iter()
            .filter(|(_, registration)| self.silence(&registration.member) <= timeout);
        let names = watchers(present.map(|(name, _)| name), self.settings.tolerated_losses);
        names.into_iter().filter_map(|name| state.registered.get(name)).cloned().collect()
    }

    /// Watchers to poll; none if this instance is a watcher itself.
    fn poll_targets(&self) -> Vec<Arc<Link>> {
        if self.is_watcher() {
            return Vec::new();
        }
        let watchers = self.watchers();
        let links = lock(&self.links);
        let all = watchers.iter().filter_map(|registration| links.get(registration.member.disk));
        let mut usable: Vec<Arc<Link>> = all.filter(|link| link.is_usable()).cloned().collect();
        usable.shuffle(&mut rand::rng());
        usable.truncate(POLL_TARGETS);
        usable
    }

    /// Applies an update of another instance, in reply to a poll of `sent_at`.
    fn apply_mirror_update(&self, update: MirrorUpdate, sent_at: Instant) {
        let Some(source) = self.sources.iter().find(|source| source.kind == update.kind) else {
            return;
        };
        let confirmed = update.age.and_then(|age| Confirmed::from_peer(age, sent_at));
        source.record_freshness(update.is_current, confirmed);
        if let Some(entries) = update.entries {
            self.apply_directory_update(
                source,
                DirectoryUpdate::Snapshot(update.revision, entries),
            );
        }
        if let Some(confirmed) = confirmed.filter(|_| update.is_current) {
            self.apply_directory_update(source, DirectoryUpdate::Confirmed(confirmed));
        }
    }

    /// Applies updates of a kind, unless newer ones are known.
    fn apply_directory_update(&self, source: &Source, update: DirectoryUpdate) {
        match &update {
            DirectoryUpdate::Snapshot(revision, _) | DirectoryUpdate::Changes(revision, _) => {
                if !source.advance(*revision) {
                    return;
                }
            }
            DirectoryUpdate::Confirmed(_) => {
                self.node.mirror().apply(source.kind, &update);
                return;
            }
            DirectoryUpdate::Lost(err) => {
                log::warn!("event=directory_lost kind={} error={err}", source.kind.as_str());
            }
        }
        let (update, is_incomplete) = {
            let mut filter = lock(&source.filter);
            (filter.apply(&self.directory, update), filter.is_incomplete())
        };
        if is_incomplete {
            source.reset();
        }
        self.node.mirror().apply(source.kind, &update);
        match source.kind {
            Kind::Ledgers => self.apply_ledgers(update),
            Kind::Removals => self.apply_removals(update),
            Kind::Configuration | Kind::Upstreams => return,
        }
        self.changed.notify_one();
    }

    fn apply_ledgers(&self, update: DirectoryUpdate) {
        let mut state = self.state();
        match update {
            DirectoryUpdate::Snapshot(_, entries) => {
                state.registered.clear();
                state.is_listed = true;
                entries.iter().for_each(|entry| self.apply_entry(&mut state, entry));
            }
            DirectoryUpdate::Changes(_, changes) => {
                for change in changes {
                    match change {
                        Change::Put(entry) => self.apply_entry(&mut state, &entry),
                        Change::Removed(name) => {
                            state.registered.shift_remove(name.as_str());
                        }
                    }
                }
            }
            DirectoryUpdate::Confirmed(_) | DirectoryUpdate::Lost(_) => {}
        }
    }

    /// Applies an entry. The source's filter has logged those that can't be read.
    fn apply_entry(&self, state: &mut DirectoryState, entry: &Entry) {
        if entry.name == LAYOUT_NAME {
            if let Ok(layout) = serde_json::from_slice::<Layout>(&entry.body) {
                self.node.set_layout(layout.clone());
                state.layout = Some((entry.revision, layout));
            }
            return;
        }
        if let Ok(registration) = serde_json::from_slice::<Registration>(&entry.body) {
            state.registered.insert(entry.name.as_str().into(), registration);
        }
    }

    fn apply_removals(&self, update: DirectoryUpdate) {
        let mut state = self.state();
        match update {
            DirectoryUpdate::Snapshot(_, entries) => {
                state.draining = entries.iter().map(|entry| entry.name.as_str().into()).collect();
            }
            DirectoryUpdate::Changes(_, changes) => {
                for change in changes {
                    match change {
                        Change::Put(entry) => state.draining.insert(entry.name.as_str().into()),
                        Change::Removed(name) => state.draining.shift_remove(name.as_str()),
                    };
                }
            }
            DirectoryUpdate::Confirmed(_) | DirectoryUpdate::Lost(_) => {}
        }
    }

    /// Reconciles the layout after each change and at regular intervals.
    async fn reconcile_loop(&self) {
        loop {
            // Reconciles in both cases, after a change and after a timeout.
            let _ = time::timeout(RECONCILE_INTERVAL, self.changed.notified()).await;
            if let Err(err) = self.reconcile().await {
                log::warn!("event=layout_change_failed error={err}");
                time::sleep(RECONCILE_INTERVAL).await;
            }
        }
    }

    async fn reconcile(&self) -> Result<(), PlatformError> {
        let (layout, registered, draining) = {
            let state = self.state();
            if !state.is_listed {
                return Ok(());
            }
            (state.layout.clone(), state.registered.clone(), state.draining.clone())
        };
        self.register(&registered).await?;
        self.monitor_members(layout.as_ref().map(|(_, layout)| layout), &registered);
        let Some((revision, layout)) = layout else {
            return self.create_layout().await;
        };
        self.report_removal(&layout, &draining).await?;
        let plan = LayoutPlan {
            layout: &layout,
            registered: &registered,
            draining: &draining,
            silence: |member: &Member| self.silence(member),
            replacement: self.settings.replacement,
        };
        let mut changes = plan.changes(self.node.disk());
        changes.extend(self.advance_changes(&layout).await);
        if changes.is_empty() {
            return Ok(());
        }
        let mut next = layout.clone();
        for (partition, set) in changes {
            next.partitions[partition] = set;
        }
        self.write_layout(next, Some(revision)).await
    }

    /// Monitors all other instances that are or could become members.
    fn monitor_members(&self, layout: Option<&Layout>, registered: &IndexMap<Name, Registration>) {
        let mut others = layout.map(Layout::members).unwrap_or_default();
        others.extend(registered.values().map(|registration| &registration.member));
        others.retain(|member| member.disk != self.node.disk());
        lock(&self.links).set_members(&others);
    }

    /// Time since a member's last reply; zero if the member is this instance or
    /// has no link yet.
    fn silence(&self, member: &Member) -> Duration {
        if member.disk == self.node.disk() {
            return Duration::ZERO;
        }
        lock(&self.links).get(member.disk).map_or(Duration::ZERO, |link| link.silence())
    }

    /// Writes this instance's registration unless the directory already holds
    /// it.
    async fn register(
        &self,
        registered: &IndexMap<Name, Registration>,
    ) -> Result<(), PlatformError> {
        let member = &self.settings.member;
        if registered
            .get(&member.instance)
            .is_some_and(|registration| registration.member == *member)
        {
            self.state().registered_at.get_or_insert_with(Instant::now);
            return Ok(());
        }
        let since_ms = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64);
        let registration = Registration { member: member.clone(), since_ms };
        let body = to_body(&registration);
        let expected = self.revision_of(&member.instance, registered).await?;
        let write = |expected| {
            self.directory.write(Kind::Ledgers, &member.instance, body.clone(), expected)
        };
        match write(expected).await {
            // The entry exists, but it can't be read.
            Err(PlatformError::Conflict(found @ Some(_))) if expected.is_none() => {
                write(found).await?
            }
            written => written?,
        };
        log::info!("event=ledger_registered disk={}", member.disk);
        let mut state = self.state();
        state.registered.insert(member.instance.clone(), registration);
        state.registered_at.get_or_insert_with(Instant::now);
        Ok(())
    }

    /// Revision of this instance's previous registration.
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

    /// Creates the layout when the whole deployment starts for the first time.
    /// The number of partitions never changes afterwards, so the other
    /// instances get time to register. It is counted from this instance's own
    /// registration and is longer while there are fewer instances than a full
    /// member set has.
    async fn create_layout(&self) -> Result<(), PlatformError> {
        let (members, registered_at) = {
            let state = self.state();
            let members = state.registered.values().map(|registration| registration.member.clone());
            (members.collect::<Vec<_>>(), state.registered_at)
        };
        let wanted = 2 * self.settings.tolerated_losses + 1;
        let factor = if members.len() < wanted { REGISTRATION_WAIT_FACTOR } else { 1 };
        // The first instance creates the layout; the others do so if it fails
        // to.
        let mut names: Vec<&Name> = members.iter().map(|member| &member.instance).collect();
        names.sort();
        let position = names.iter().position(|name| **name == self.settings.member.instance);
        let position = position.map_or(FOUNDERS_MAX, |position| position.min(FOUNDERS_MAX));
        let wait = self.settings.registration_wait * factor + FOUNDING_STAGGER * position as u32;
        let is_due = registered_at.is_some_and(|at| at.elapsed() >= wait);
        if !self.settings.is_first_start || !is_due || members.is_empty() {
            return Ok(());
        }
        self.write_layout(Layout::initial(&members, self.settings.tolerated_losses), None).await
    }

    async fn write_layout(
        &self,
        layout: Layout,
        expected: Option<u64>,
    ) -> Result<(), PlatformError> {
        match self.directory.write(Kind::Ledgers, LAYOUT_NAME, to_body(&layout), expected).await {
            Ok(revision) => {
                let changing = layout.partitions.iter().filter(|set| set.next.is_some()).count();
                log::info!("event=layout_written revision={revision} changing={changing}");
                self.node.set_layout(layout.clone());
                self.state().layout = Some((revision, layout));
                Ok(())
            }
            // Another instance wrote first; its layout arrives with the
            // directory updates.
            Err(PlatformError::Conflict(_)) => Ok(()),
            Err(err) => Err(err),
        }
    }

    /// Completes changes in progress, or abandons those whose learner is lost.
    async fn advance_changes(&self, layout: &Layout) -> Vec<(usize, LedgerSet)> {
        let mut changes = Vec::new();
        for (number, set) in layout.partitions.iter().enumerate() {
            if set.next.is_none() {
                continue;
            }
            let partition = number as u16;
            self.ensure_copied(partition, set).await;
            if self.is_copied(partition, set).await {
                changes.push((number, set.finish()));
            } else if self.is_learner_lost(set) {
                log::warn!("event=layout_change_abandoned partition={partition}");
                changes.push((number, set.abandon()));
            }
        }
        changes
    }

    /// Copies a partition that this instance is to hold.
    async fn ensure_copied(&self, partition: u16, set: &LedgerSet) {
        let is_learner = set.learners().iter().any(|member| member.disk == self.node.disk());
        if !is_learner || self.has_copied(partition, set) {
            return;
        }
        match self.node.copy_partition(partition, set).await {
            Ok(()) => log::info!("event=ledger_copied partition={partition} epoch={}", set.epoch),
            Err(err) => log::warn!("event=ledger_copy_failed partition={partition} error={err}"),
        }
    }

    fn has_copied(&self, partition: u16, set: &LedgerSet) -> bool {
        self.node.store().copied(partition).is_some_and(|epoch| epoch >= set.epoch)
    }

    /// Whether this instance is the one that completes the change, and all
    /// learners have copied the partition.
    async fn is_copied(&self, partition: u16, set: &LedgerSet) -> bool {
        let learners = set.learners();
        let is_finisher = learners.first().is_some_and(|member| member.disk == self.node.disk());
        if !is_finisher {
            return false;
        }
        for member in learners {
            let copied = match member.disk == self.node.disk() {
                true => self.has_copied(partition, set),
                false => self.query_copied(member, partition, set).await,
            };
            if !copied {
                return false;
            }
        }
        true
    }

    async fn query_copied(&self, member: &Member, partition: u16, set: &LedgerSet) -> bool {
        let Some(link) = lock(&self.links).get(member.disk).cloned() else { return false };
        let call = link.call(Scope { partition, epoch: set.epoch }, Op::Status);
        match time::timeout(STATUS_TIMEOUT, call).await {
            Ok(Ok(ReplyBody::Status { copied })) => copied.is_some_and(|epoch| epoch >= set.epoch),
            other => {
                log::info!("event=learner_silent instance={} answer={other:?}", member.instance);
                false
            }
        }
    }

    /// Whether a learner has been silent for too long. Only a current member
    /// that reaches a read quorum decides this, as it is not cut off itself.
    fn is_learner_lost(&self, set: &LedgerSet) -> bool {
        let timeout = self.settings.replacement.idle;
        let is_reachable = |member: &&Member| self.silence(member) <= timeout;
        let reachable: Vec<u64> =
            set.members.iter().filter(is_reachable).map(|member| member.disk).collect();
        let learners = set.learners();
        let mut learners = learners.iter();
        set.contains_disk(self.node.disk())
            && set.has_read_quorum(&reachable)
            && learners.any(|member| self.silence(member) > timeout * ABANDON_FACTOR)
    }

    /// Reports the drain status of this instance to the operators. It is empty
    /// only when no partition includes it any more.
    async fn report_removal(
        &self,
        layout: &Layout,
        draining: &IndexSet<Name>,
    ) -> Result<(), PlatformError> {
        let own_name = &self.settings.member.instance;
        if !draining.contains(own_name) {
            return Ok(());
        }
        let is_empty = !layout.members().iter().any(|member| member.instance == *own_name);
        if self.state().reported_empty.is_some_and(|reported| reported || reported == is_empty) {
            return Ok(());
        }
        let status = self.directory.removal_status(is_empty);
        self.directory.write_status(Kind::Removals, own_name, status).await?;
        log::info!("event=removal_told is_empty={is_empty}");
        self.state().reported_empty = Some(is_empty);
        Ok(())
    }
}

fn to_body<T: serde::Serialize>(value: &T) -> Bytes {
    // Serializing these types into memory can't fail.
    serde_json::to_vec(value).map(Bytes::from).unwrap_or_default()
}
