//! Keeps an instance registered and maintains the layout: creates it, replaces
//! lost members and drains instances.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant, SystemTime},
};

use bytes::Bytes;
use futures::future::join_all;
use gg_platform::{
    AnswerSpan, Confirmed, CopyAges, DirectoryUpdate, FollowContext, FollowSettings, Kind,
    MIRROR_INTERVAL, Mirror, MirrorUpdate, PlatformError, follow_unless_fresh,
};
use gg_protocol::Name;
use gg_route::Deployment;
use indexmap::IndexMap;
use rand::seq::SliceRandom;
use tokio::{sync::Notify, time};
use tokio_util::sync::CancellationToken;

use crate::{
    LAYOUT_NAME, Layout, LayoutPlan, Member, Node, Registration, ReplacementTimeouts,
    directory_state::DirectoryState,
    link::{Link, Scope},
    links::Links,
    node::lock,
    protocol::{Op, ReplyBody},
    removal_reports::RemovalReports,
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
    pub(crate) node: Node,
    state: Mutex<DirectoryState>,
    pub(crate) links: Mutex<Links>,
    sources: [Source; KINDS.len()],
    reports: RemovalReports,
    context: FollowContext,
    changed: Notify,
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
        *node.mirror() = Mirror::new(&settings.ages);
        LayoutController {
            settings,
            directory,
            node,
            state: Mutex::default(),
            links,
            sources: KINDS.map(|kind| Source::new(kind, max_age)),
            reports: RemovalReports::default(),
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
            time::sleep(if has_all_kinds { MIRROR_INTERVAL } else { STARTUP_POLL_INTERVAL }).await;
            let revisions: Vec<(Kind, u64)> =
                self.sources.iter().map(|source| (source.kind, source.revision())).collect();
            let calls = self.poll_targets().into_iter().map(async |link| {
                let sent_at = Instant::now();
                let call = link.call(NO_PARTITION, Op::Mirror(revisions.clone()));
                match time::timeout(POLL_TIMEOUT, call).await {
                    Ok(Ok(ReplyBody::Mirror(updates, answers))) => {
                        let span =
                            answers.and_then(|a| AnswerSpan::from_peer(a, sent_at, Instant::now()));
                        span.into_iter().for_each(|span| self.node.mirror().record_answers(span));
                        (sent_at, updates)
                    }
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
            DirectoryUpdate::Answered(_) | DirectoryUpdate::Confirmed(_) => {
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
            Kind::Ledgers => {
                let layout = self.state().apply_ledgers(update);
                layout.into_iter().for_each(|layout| self.node.set_layout(layout));
            }
            Kind::Removals => self.state().apply_removals(update),
            Kind::Configuration | Kind::Upstreams => return,
        }
        self.changed.notify_one();
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
        let plan = LayoutPlan {
            layout: &layout,
            registered: &registered,
            draining: &draining,
            silence: |member: &Member| self.silence(member),
            replacement: self.settings.replacement,
        };
        self.report_removal(&plan).await?;
        let mut changes = plan.changes(self.node.disk());
        changes.extend(self.advance_changes(&plan).await);
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

    /// Time since a member's last reply; without end if it isn't connected.
    fn proven_silence(&self, member: &Member) -> Duration {
        if member.disk == self.node.disk() {
            return Duration::ZERO;
        }
        let links = lock(&self.links);
        let link = links.get(member.disk).filter(|link| link.is_up());
        link.map_or(Duration::MAX, |link| link.silence())
    }

    /// Reports whether this instance may be taken away, if it is being drained.
    async fn report_removal<S: Fn(&Member) -> Duration>(
        &self,
        plan: &LayoutPlan<'_, S>,
    ) -> Result<(), PlatformError> {
        let own_name = &self.settings.member.instance;
        if !plan.draining.contains(own_name) {
            self.reports.withdraw();
            return Ok(());
        }
        let silence = |member: &Member| self.proven_silence(member);
        let block = plan.with_silence(silence).removal_block(own_name);
        self.reports.report(&self.directory, own_name, block).await
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
}

fn to_body<T: serde::Serialize>(value: &T) -> Bytes {
    // Serializing these types into memory can't fail.
    serde_json::to_vec(value).map(Bytes::from).unwrap_or_default()
}
