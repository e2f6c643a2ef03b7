//! Receives the configuration, the replicas and the ledger members. They come
//! from ledger instances, which follow the directory for all gateways, and from
//! the directory itself while no ledger instance is up to date. With hundreds
//! of gateways, the calls to the directory then grow only with the number of
//! ledger instances, and a gateway whose requests the directory refuses
//! still receives updates.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use gg_ledger::{EntryFilter, LAYOUT_NAME, Registration};
use gg_platform::{
    AnswerSpan, Change, Confirmed, CopyAges, DirectoryUpdate, Entry, FRESH_TIME, FollowContext,
    FollowSettings, Freshness, Kind, MirrorUpdate, OWN_LIST_SPREAD, POLL_INTERVAL, POLL_SLOWDOWN,
    follow_unless_fresh,
};
use gg_route::Deployment;
use rand::Rng;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::{
    admit,
    copy_guard::CopyGuard,
    fleet::UpdateSource,
    permit,
    state::{State, lock, millis_text},
};

/// Kinds of directory entries that a gateway follows.
const KINDS: [Kind; 3] = [Kind::Configuration, Kind::Upstreams, Kind::Ledgers];

/// Poll interval until a configuration and replicas are known, so that a
/// restart completes sooner.
const START_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// With more gateways than this, each one polls less often, down to the rate
/// divided by [`POLL_SLOWDOWN`]. Its state then still stays fresh ([`FRESH_TIME`]) when one response is
/// lost.
const FULL_RATE_GATEWAYS: u32 = 120;

/// Time after the start in which the gateway waits for ledger instances before
/// it requests kinds other than theirs from the directory.
const START_TIMEOUT: Duration = Duration::from_millis(2_500);

/// When the whole deployment starts, a gateway lists the ledger instances after
/// this time plus a random delay of up to the same length. By then they are
/// registered, and one call finds them.
const FOUNDING_DELAY: Duration = Duration::from_millis(600);

/// Delays before a gateway asks the directory again that does not respond. The
/// ledger instances ask more often, and tell the gateways when it is back.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time that the ledger instances have to report up-to-date entries once a gateway
/// finds that the directory responds again.
const RELIST_DELAY: Duration = Duration::from_millis(300);

/// Interval between checks for missing replicas whose entries did not return.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Source of updates in logs that came from the directory itself.
const DIRECTORY_SOURCE: &str = "directory";

/// Delay of a timer from which on the process counts as stalled: it did not run,
/// or other tasks ran for that long.
const STALL_MIN: Duration = Duration::from_millis(250);

/// State of one followed kind.
struct FollowedKind<'a, D> {
    state: &'a State<D>,
    kind: Kind,
    /// Revision of the entries in use.
    revision: Mutex<u64>,
    freshness: Mutex<Freshness>,
    filter: Mutex<EntryFilter>,
    context: &'a FollowContext,
    ages: CopyAges,
    is_directory_lost: AtomicBool,
}

/// Follows all kinds until `stop` is cancelled.
pub(crate) async fn run<D: Deployment>(
    state: Arc<State<D>>,
    is_first_start: bool,
    ages: CopyAges,
    stop: CancellationToken,
) {
    let ledger_delay = match is_first_start {
        true => FOUNDING_DELAY.mul_f64(rand::rng().random_range(1.0..2.0)),
        false => Duration::ZERO,
    };
    let context = FollowContext::default();
    // Copies of many gateways grow old together when their sources do.
    let fresh_age = ages.current + OWN_LIST_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0));
    let kinds = KINDS.map(|kind| FollowedKind {
        state: &state,
        kind,
        revision: Mutex::default(),
        freshness: Mutex::new(Freshness::new(fresh_age)),
        filter: Mutex::new(EntryFilter::new(kind)),
        context: &context,
        ages,
        is_directory_lost: AtomicBool::new(false),
    });
    let [configuration, upstreams, ledgers] = &kinds;
    let work = async {
        tokio::join!(
            configuration.follow_directly(START_TIMEOUT),
            upstreams.follow_directly(START_TIMEOUT),
            ledgers.follow_directly(ledger_delay),
            poll_ledgers(&state, &kinds),
            sweep(&state),
        );
    };
    stop.run_until_cancelled(work).await;
}

/// Polls the ledger instances for updates.
async fn poll_ledgers<D: Deployment>(state: &State<D>, kinds: &[FollowedKind<'_, D>]) {
    loop {
        let known: Vec<(Kind, u64)> =
            kinds.iter().map(|followed| (followed.kind, *lock(&followed.revision))).collect();
        let overload = admit::overload_statistics(state);
        let tunnels = state.connector.poll_tunnels(state.is_stopping());
        let responses = state.ledger.poll(&known, &overload, &tunnels).await;
        let has_reply = !responses.is_empty();
        let mut peers = Vec::new();
        for response in responses {
            response.answers.into_iter().for_each(|span| state.fleet.record_answers(span));
            admit::record_shared(state, response.overload);
            permit::record_limits(state, response.limits);
            peers.extend(response.peers);
            for update in response.updates {
                if let Some(followed) = kinds.iter().find(|followed| followed.kind == update.kind) {
                    followed.apply_mirrored(update, response.sent_at, &response.instance);
                }
            }
        }
        if tunnels.wants_peers && has_reply {
            state.connector.update_peers(peers, state.gateways());
        }
        let slowdown = f64::from(state.gateways()) / f64::from(FULL_RATE_GATEWAYS);
        let has_state = state.table().is_some() && state.fleet.is_usable();
        let pause = if has_state { POLL_INTERVAL } else { START_POLL_INTERVAL };
        let due = Instant::now() + pause.mul_f64(slowdown.clamp(1.0, f64::from(POLL_SLOWDOWN)));
        tokio::select! {
            () = time::sleep_until(due.into()) => {}
            () = state.connector.peers_wanted() => {}
        }
        record_stall(state, due);
        state.configuration_guard.check();
        state.replicas_guard.check();
    }
}

/// Logs that a timer that was `due` fired far too late.
fn record_stall<D>(state: &State<D>, due: Instant) {
    let now = Instant::now();
    let stall = now.saturating_duration_since(due);
    if stall >= STALL_MIN {
        state.metrics.time("stall", stall.as_micros() as u64, &[]);
        let age = millis_text(state.configuration_age(now));
        log::warn!("event=stalled ms={} configuration_age_ms={age}", stall.as_millis());
    }
}

async fn sweep<D>(state: &State<D>) {
    loop {
        time::sleep(SWEEP_INTERVAL).await;
        state.fleet.sweep();
        state.ledger.crashes().expire(Instant::now());
    }
}

impl<D: Deployment> FollowedKind<'_, D> {
    /// Follows the directory itself while no ledger instance is up to date.
    async fn follow_directly(&self, delay: Duration) {
        let checks_first = self.kind != Kind::Ledgers;
        time::sleep(delay).await;
        // Once the ledger instances are listed, they soon report updates, and
        // the directory need not be watched.
        let watch_delay = if self.kind == Kind::Ledgers { FRESH_TIME } else { Duration::ZERO };
        let check_interval = self.ages.check_interval;
        let settings = FollowSettings {
            watch_delay,
            check_interval,
            checks_first,
            retry_delay: RETRY_DELAY,
            retry_max: RETRY_DELAY,
            relist_delay: RELIST_DELAY,
            ..FollowSettings::default()
        };
        let apply = |update| self.apply_direct(update);
        let directory = &self.state.deployment;
        let (context, freshness) = (self.context, &self.freshness);
        follow_unless_fresh(directory, self.kind, settings, context, freshness, apply).await;
    }

    /// Applies an update of a ledger instance, in reply to a poll of `sent_at`.
    fn apply_mirrored(&self, update: MirrorUpdate, sent_at: Instant, instance: &str) {
        let confirmed = update.age.and_then(|age| Confirmed::from_peer(age, sent_at));
        lock(&self.freshness).record(update.is_current, confirmed, Instant::now());
        // Entries that are missing are judged by what is known of outages.
        if let Some(confirmed) = confirmed {
            self.state.fleet.record_answers(AnswerSpan::at(confirmed.moment()));
        }
        if let Some(entries) = update.entries {
            self.apply(DirectoryUpdate::Snapshot(update.revision, entries), instance);
        }
        if let Some(confirmed) = confirmed {
            self.confirm(confirmed);
        }
    }

    /// Records that the entries in use hold all that was acknowledged then.
    fn confirm(&self, confirmed: Confirmed) {
        self.state.fleet.record_answers(AnswerSpan::at(confirmed.moment()));
        if let Some(guard) = self.guard() {
            guard.confirm(confirmed);
        }
    }

    /// Guard of the copy, if requests are decided by entries of this kind.
    fn guard(&self) -> Option<&CopyGuard> {
        match self.kind {
            Kind::Configuration => Some(&self.state.configuration_guard),
            Kind::Upstreams => Some(&self.state.replicas_guard),
            Kind::Ledgers | Kind::Removals => None,
        }
    }

    fn apply_direct(&self, update: DirectoryUpdate) {
        let is_directory_lost = matches!(update, DirectoryUpdate::Lost(_));
        if self.is_directory_lost.swap(is_directory_lost, Ordering::Relaxed) != is_directory_lost {
            let kind = self.kind.as_str();
            match &update {
                DirectoryUpdate::Lost(err) => {
                    self.state.metrics.count("directory_lost", &[("kind", kind)]);
                    log::warn!("event=directory_lost kind={kind} error={err}");
                }
                _ => log::info!("event=directory_regained kind={kind}"),
            }
        }
        self.apply(update, DIRECTORY_SOURCE);
    }

    /// Applies an update of `source` unless a newer one was already applied.
    /// Entries that can't be read are filtered out and logged.
    fn apply(&self, update: DirectoryUpdate, source: &str) {
        match update {
            DirectoryUpdate::Answered(at) => {
                return self.state.fleet.record_answers(AnswerSpan::at(at));
            }
            DirectoryUpdate::Confirmed(confirmed) => return self.confirm(confirmed),
            _ => {}
        }
        if let DirectoryUpdate::Snapshot(revision, _) | DirectoryUpdate::Changes(revision, _) =
            &update
        {
            let mut known = lock(&self.revision);
            if *revision < *known {
                log::debug!(
                    "event=update_outdated kind={} revision={revision} known={known}",
                    self.kind.as_str()
                );
                return;
            }
            *known = *revision;
        }
        let update = {
            let mut filter = lock(&self.filter);
            let update = filter.apply(&self.state.deployment, update);
            if filter.is_incomplete() {
                // A ledger instance may know an older revision with the content.
                *lock(&self.revision) = 0;
            }
            update
        };
        match self.kind {
            Kind::Configuration => apply_configuration(self.state, update, source),
            Kind::Upstreams => apply_upstreams(self.state, update, source),
            Kind::Ledgers => apply_ledgers(self.state, update),
            Kind::Removals => {}
        }
    }
}

fn apply_configuration<D: Deployment>(state: &State<D>, update: DirectoryUpdate, source: &str) {
    for entry in present_entries(update) {
        if let Ok(configuration) = state.deployment.configuration(&entry) {
            state.configure(configuration, source);
        }
    }
}

fn apply_upstreams<D: Deployment>(state: &State<D>, update: DirectoryUpdate, source: &str) {
    let from = UpdateSource { source, known: state.replicas_guard.confirmed() };
    let read = |entry: &Entry| state.deployment.upstream(entry).ok();
    match update {
        DirectoryUpdate::Snapshot(_, entries) => {
            state.fleet.replace(entries.iter().filter_map(read).collect(), &from);
        }
        DirectoryUpdate::Changes(_, changes) => {
            for change in changes {
                match change {
                    Change::Removed(name) => state.fleet.remove(&name, &from),
                    Change::Put(entry) => {
                        if let Some(upstream) = read(&entry) {
                            state.fleet.put(upstream);
                        }
                    }
                }
            }
        }
        DirectoryUpdate::Answered(_) | DirectoryUpdate::Confirmed(_) | DirectoryUpdate::Lost(_) => {
        }
    }
}

fn apply_ledgers<D: Deployment>(state: &State<D>, update: DirectoryUpdate) {
    let (layouts, instances): (Vec<Entry>, Vec<Entry>) =
        present_entries(update).into_iter().partition(|entry| entry.name == LAYOUT_NAME);
    for entry in layouts {
        if let Ok(layout) = serde_json::from_slice(&entry.body) {
            state.ledger.set_layout(layout);
        }
    }
    let read = |entry: &Entry| serde_json::from_slice::<Registration>(&entry.body).ok();
    let registered: Vec<Registration> = instances.iter().filter_map(read).collect();
    state.ledger.set_registered(registered.into_iter().map(|found| found.member).collect());
}

/// The entries that exist according to an update.
fn present_entries(update: DirectoryUpdate) -> Vec<Entry> {
    match update {
        DirectoryUpdate::Snapshot(_, entries) => entries,
        DirectoryUpdate::Changes(_, changes) => changes
            .into_iter()
            .filter_map(|change| match change {
                Change::Put(entry) => Some(entry),
                Change::Removed(_) => None,
            })
            .collect(),
        DirectoryUpdate::Answered(_) | DirectoryUpdate::Confirmed(_) | DirectoryUpdate::Lost(_) => {
            Vec::new()
        }
    }
}
