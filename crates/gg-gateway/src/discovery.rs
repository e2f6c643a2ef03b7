//! Follows the directory: configuration, replicas and ledger members.

use std::{sync::Arc, time::Duration};

use gg_ledger::LAYOUT_NAME;
use gg_platform::{Change, Entry, FollowSettings, Kind, News, follow};
use gg_route::Deployment;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::state::State;

/// Time between two looks for replicas whose entries did not come back.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Follows all kinds until `stop` is cancelled.
pub(crate) async fn run<D: Deployment>(state: Arc<State<D>>, stop: CancellationToken) {
    let work = async {
        tokio::join!(
            follow_kind(&state, Kind::Configuration, take_configuration),
            follow_kind(&state, Kind::Upstreams, take_upstreams),
            follow_kind(&state, Kind::Ledgers, take_ledgers),
            sweep(&state),
        );
    };
    stop.run_until_cancelled(work).await;
}

async fn follow_kind<D: Deployment>(state: &State<D>, kind: Kind, take: impl Fn(&State<D>, News)) {
    let mut is_lost = false;
    follow(&state.dialect, kind, FollowSettings::default(), |news| {
        match &news {
            News::Lost(err) if !is_lost => {
                state.metrics.count("directory_lost", &[("kind", kind.as_str())]);
                log::warn!("event=directory_lost kind={} error={err}", kind.as_str());
                is_lost = true;
            }
            News::Lost(_) => {}
            _ if is_lost => {
                log::info!("event=directory_regained kind={}", kind.as_str());
                is_lost = false;
            }
            _ => {}
        }
        take(state, news);
    })
    .await;
}

async fn sweep<D>(state: &State<D>) {
    loop {
        time::sleep(SWEEP_INTERVAL).await;
        state.fleet.sweep();
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
        News::Snapshot(entries) => {
            state.fleet.replace(entries.iter().filter_map(read).collect());
        }
        News::Changes(changes) => {
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
    for entry in present(news).into_iter().filter(|entry| entry.name == LAYOUT_NAME) {
        match serde_json::from_slice(&entry.body) {
            Ok(layout) => state.ledger.set_layout(layout),
            Err(err) => log::error!("event=layout_unreadable error={err}"),
        }
    }
}

/// The entries that news say are there.
fn present(news: News) -> Vec<Entry> {
    match news {
        News::Snapshot(entries) => entries,
        News::Changes(changes) => changes
            .into_iter()
            .filter_map(|change| match change {
                Change::Put(entry) => Some(entry),
                Change::Removed(_) => None,
            })
            .collect(),
        News::Lost(_) => Vec::new(),
    }
}
