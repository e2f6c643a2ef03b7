//! Learns of configuration, replicas and ledger members: from ledger
//! instances, which follow the directory for all gateways, and from the
//! directory itself while no ledger instance is up to date. At hundreds of
//! gateways the directory's calls then grow with the ledger instances alone,
//! and a gateway that the directory turns away hears from its neighbours.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use gg_ledger::{LAYOUT_NAME, Registration};
use gg_platform::{
    Change, Entry, FRESH_TIME, FollowSettings, Freshness, Kind, MirrorNews, News,
    follow_unless_told,
};
use gg_route::Deployment;
use rand::Rng;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::{
    admit,
    state::{State, lock},
};

/// Kinds that a gateway learns of.
const KINDS: [Kind; 3] = [Kind::Configuration, Kind::Upstreams, Kind::Ledgers];

/// Time between two questions to the ledger instances; part of how late a
/// change is heard of.
const ASK_INTERVAL: Duration = Duration::from_millis(300);

/// The same until a configuration and replicas are known: a restart ends
/// sooner.
const START_PAUSE: Duration = Duration::from_millis(40);

/// With more gateways than this, each asks less often, down to half as often:
/// its answers stay fresh ([`FRESH_TIME`]) with one lost.
const ASKERS_FULL: u32 = 120;

/// Time after the start in which the ledger instances are waited for before
/// kinds other than theirs are asked of the directory.
const START_PATIENCE: Duration = Duration::from_millis(2_500);

/// When the whole deployment starts, the ledger instances are asked for after
/// this time, and up to as much again drawn at random: they are registered
/// then, and one call finds them.
const FOUNDING_PATIENCE: Duration = Duration::from_millis(600);

/// Time between two looks for replicas whose entries did not come back.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// What is known of one kind.
struct Followed<'a, D> {
    state: &'a State<D>,
    kind: Kind,
    /// Revision of the content in force.
    revision: Mutex<u64>,
    freshness: Mutex<Freshness>,
    is_lost: AtomicBool,
}

/// Learns of all kinds until `stop` is cancelled.
pub(crate) async fn run<D: Deployment>(
    state: Arc<State<D>>,
    is_founding: bool,
    stop: CancellationToken,
) {
    let ledger_patience = match is_founding {
        true => FOUNDING_PATIENCE.mul_f64(rand::rng().random_range(1.0..2.0)),
        false => Duration::ZERO,
    };
    let kinds = KINDS.map(|kind| Followed {
        state: &state,
        kind,
        revision: Mutex::default(),
        freshness: Mutex::default(),
        is_lost: AtomicBool::new(false),
    });
    let [configuration, upstreams, ledgers] = &kinds;
    let work = async {
        tokio::join!(
            configuration.follow_directly(START_PATIENCE),
            upstreams.follow_directly(START_PATIENCE),
            ledgers.follow_directly(ledger_patience),
            ask_ledgers(&state, &kinds),
            sweep(&state),
        );
    };
    stop.run_until_cancelled(work).await;
}

/// Asks the ledger instances again and again what is new.
async fn ask_ledgers<D: Deployment>(state: &State<D>, kinds: &[Followed<'_, D>]) {
    loop {
        let known: Vec<(Kind, u64)> =
            kinds.iter().map(|followed| (followed.kind, *lock(&followed.revision))).collect();
        let strains = admit::strains(state);
        let heard = state.ledger.news(&known, &strains).await;
        for heard in heard {
            admit::note_shared(state, heard.strains);
            for news in heard.news {
                if let Some(followed) = kinds.iter().find(|followed| followed.kind == news.kind) {
                    followed.take_mirrored(news);
                }
            }
        }
        let crowd = f64::from(state.gateways()) / f64::from(ASKERS_FULL);
        let is_told = state.table().is_some() && state.fleet.is_usable();
        let pause = if is_told { ASK_INTERVAL } else { START_PAUSE };
        time::sleep(pause.mul_f64(crowd.clamp(1.0, 2.0))).await;
    }
}

async fn sweep<D>(state: &State<D>) {
    loop {
        time::sleep(SWEEP_INTERVAL).await;
        state.fleet.sweep();
        state.ledger.crashes().expire(Instant::now());
    }
}

impl<D: Deployment> Followed<'_, D> {
    /// Follows the directory itself while no ledger instance is up to date.
    async fn follow_directly(&self, patience: Duration) {
        time::sleep(patience).await;
        // Once the ledger instances are listed, they tell soon.
        let settle = if self.kind == Kind::Ledgers { FRESH_TIME } else { Duration::ZERO };
        let settings = FollowSettings { settle, ..FollowSettings::default() };
        let take = |news| self.take_direct(news);
        follow_unless_told(&self.state.dialect, self.kind, settings, &self.freshness, take).await;
    }

    fn take_mirrored(&self, news: MirrorNews) {
        if lock(&self.freshness).note(news.is_current, Instant::now()) {
            self.state.fleet.note_lost();
        }
        if let Some(entries) = news.entries {
            self.take(News::Snapshot(news.revision, entries));
        }
    }

    fn take_direct(&self, news: News) {
        let is_lost = matches!(news, News::Lost(_));
        if self.is_lost.swap(is_lost, Ordering::Relaxed) != is_lost {
            let kind = self.kind.as_str();
            match &news {
                News::Lost(err) => {
                    self.state.metrics.count("directory_lost", &[("kind", kind)]);
                    log::warn!("event=directory_lost kind={kind} error={err}");
                }
                _ => log::info!("event=directory_regained kind={kind}"),
            }
        }
        self.take(news);
    }

    /// Puts news in force unless newer ones already are.
    fn take(&self, news: News) {
        if let News::Snapshot(revision, _) | News::Changes(revision, _) = &news {
            let mut known = lock(&self.revision);
            if *revision < *known {
                log::debug!(
                    "event=news_old kind={} revision={revision} known={known}",
                    self.kind.as_str()
                );
                return;
            }
            *known = *revision;
        }
        match self.kind {
            Kind::Configuration => take_configuration(self.state, news),
            Kind::Upstreams => take_upstreams(self.state, news),
            Kind::Ledgers => take_ledgers(self.state, news),
            Kind::Removals => {}
        }
    }
}

fn take_configuration<D: Deployment>(state: &State<D>, news: News) {
    for entry in present(news) {
        match state.dialect.configuration(&entry) {
            Ok(configuration) => state.configure(configuration),
            Err(err) => log::warn!("event=configuration_unreadable error={err}"),
        }
    }
}

fn take_upstreams<D: Deployment>(state: &State<D>, news: News) {
    let read = |entry: &Entry| match state.dialect.upstream(entry) {
        Ok(upstream) => Some(upstream),
        Err(err) => {
            log::debug!("event=replica_unreadable error={err}");
            None
        }
    };
    match news {
        News::Snapshot(_, entries) => {
            state.fleet.replace(entries.iter().filter_map(read).collect());
        }
        News::Changes(_, changes) => {
            for change in changes {
                match change {
                    Change::Removed(name) => state.fleet.remove(&name),
                    Change::Put(entry) => {
                        if let Some(upstream) = read(&entry) {
                            state.fleet.put(upstream);
                        }
                    }
                }
            }
        }
        News::Lost(_) => state.fleet.note_lost(),
    }
}

fn take_ledgers<D: Deployment>(state: &State<D>, news: News) {
    let (layouts, instances): (Vec<Entry>, Vec<Entry>) =
        present(news).into_iter().partition(|entry| entry.name == LAYOUT_NAME);
    for entry in layouts {
        match serde_json::from_slice(&entry.body) {
            Ok(layout) => state.ledger.set_layout(layout),
            Err(err) => log::error!("event=layout_unreadable error={err}"),
        }
    }
    let read = |entry: &Entry| serde_json::from_slice::<Registration>(&entry.body).ok();
    let registered: Vec<Registration> = instances.iter().filter_map(read).collect();
    state.ledger.set_registered(registered.into_iter().map(|found| found.member).collect());
}

/// The entries that news say are there.
fn present(news: News) -> Vec<Entry> {
    match news {
        News::Snapshot(_, entries) => entries,
        News::Changes(_, changes) => changes
            .into_iter()
            .filter_map(|change| match change {
                Change::Put(entry) => Some(entry),
                Change::Removed(_) => None,
            })
            .collect(),
        News::Lost(_) => Vec::new(),
    }
}
