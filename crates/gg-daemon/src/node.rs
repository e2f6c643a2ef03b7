//! Startup, operation and planned stop of a daemon.

use std::{io, net, sync::Arc, time::Duration};

use gg_caller::CallerSettings;
use gg_http::ServerLimits;
use gg_journal::JournalError;
use gg_peer::{PeerApiClient, Secret};
use gg_settings::DaemonSettings;
use quick_error::quick_error;
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    time,
};
use tokio_util::sync::CancellationToken;

use crate::{
    adopt,
    api::Api,
    entry::Entry,
    home::{Home, HomeCell},
    operators::Operators,
    shared::Shared,
    tasks, upkeep,
};

quick_error! {
    /// Why a daemon could not start.
    #[derive(Debug)]
    pub enum DaemonError {
        /// An address can't be listened on.
        Listen(address: String, err: io::Error) {
            display("can't listen on {address}: {err}")
        }
    }
}

/// Delay before opening, adopting or handing over a home is retried.
const HOME_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Interval between checks for steps in progress during a planned stop.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time in which the platform's load balancer may still send new connections
/// after the daemon has reported that it is not ready.
const NOT_READY_DELAY: Duration = Duration::from_millis(300);

/// Runs a daemon until SIGTERM or SIGINT, then performs a planned stop.
pub async fn run_until_signal(settings: DaemonSettings) -> Result<(), DaemonError> {
    let stop = CancellationToken::new();
    tokio::spawn(stop_on_signal(stop.clone()));
    run(settings, stop).await
}

/// Cancels `stop` on SIGTERM or SIGINT.
pub async fn stop_on_signal(stop: CancellationToken) {
    let (Ok(mut term), Ok(mut int)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    stop.cancel();
}

/// Runs a daemon until `stop` is cancelled, then performs a planned stop.
pub async fn run(settings: DaemonSettings, stop: CancellationToken) -> Result<(), DaemonError> {
    let callers = listen(&settings.listen.callers).await?;
    let operators = listen(&settings.listen.operators).await?;
    let peers = net::TcpListener::bind(&settings.listen.peers)
        .map_err(|err| DaemonError::Listen(settings.listen.peers.clone(), err))?;
    let shutdown = CancellationToken::new();
    let shared = Arc::new(Shared::new(settings, shutdown.clone()));
    let homes = HomeCell::default();
    let entry = Entry::new(shared.clone(), homes.clone());
    let secret = Secret::new(&shared.settings.peer_key);
    let peer_server =
        gg_peer::serve(peers, secret, Api { shared: shared.clone(), homes: homes.clone() })
            .map_err(|err| DaemonError::Listen(shared.settings.listen.peers.clone(), err))?;
    if !shared.settings.log.metrics.is_empty() {
        let metrics = listen(&shared.settings.log.metrics).await?;
        let registry = shared.metrics.registry();
        tokio::spawn(gg_metrics::serve_metrics(metrics, registry, || {}, shutdown.child_token()));
    }
    tasks::spawn_all(&shared, &homes);
    let home_task = tokio::spawn(
        shutdown.clone().run_until_cancelled_owned(maintain_home(shared.clone(), homes.clone())),
    );
    let callers_closed = CancellationToken::new();
    let operator_api = Operators {
        shared: shared.clone(),
        homes: homes.clone(),
        entry: entry.clone(),
        stop: stop.clone(),
    };
    let memory = shared.memory.clone();
    tokio::spawn(gg_operator::serve(operators, memory, shutdown.child_token(), operator_api));
    let caller_server = tokio::spawn(gg_caller::serve(
        callers,
        caller_settings(&shared),
        callers_closed.clone(),
        entry,
    ));
    log::info!("event=started callers={}", shared.settings.listen.callers);
    stop.cancelled().await;
    drain(&shared, &homes, &callers_closed).await;
    let _ = caller_server.await;
    shutdown.cancel();
    let _ = home_task.await;
    let _ = peer_server.stop();
    log::info!("event=stopped");
    Ok(())
}

async fn listen(address: &str) -> Result<TcpListener, DaemonError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|err| DaemonError::Listen(address.into(), err))
}

fn caller_settings(shared: &Shared) -> CallerSettings {
    let listen = &shared.settings.listen;
    CallerSettings {
        limits: ServerLimits {
            connections: listen.connections,
            body_bytes: listen.body_bytes,
            head_timeout: listen.head_timeout,
            stop_timeout: shared.settings.timing.drain,
            memory: shared.memory.clone(),
            ..ServerLimits::default()
        },
        max_duration: shared.settings.timing.request,
    }
}

/// Keeps a home open: opens a new one when another daemon has sealed the
/// journal of the current one.
async fn maintain_home(shared: Arc<Shared>, homes: HomeCell) {
    loop {
        let home = match Home::open(shared.clone()).await {
            Ok(home) => home,
            Err(err) => {
                log::warn!("event=home_failed error={err:?}");
                time::sleep(HOME_RETRY_DELAY).await;
                continue;
            }
        };
        shared.set_journal(Some(home.id().clone()));
        homes.set(Some(home.clone()));
        let home_task = tokio::spawn(upkeep::run(home.clone()));
        let adopt_task = tokio::spawn(adopt_previous(home.clone()));
        home.journal.fenced().cancelled().await;
        log::warn!("event=home_lost journal={} by={:?}", home.id(), home.journal.sealed_by());
        home_task.abort();
        adopt_task.abort();
        home.close();
        if shared.is_draining() {
            homes.set(None);
            shared.set_journal(None);
            return;
        }
    }
}

/// Adopts the journals of this instance's previous incarnations.
async fn adopt_previous(home: Arc<Home>) {
    let instance = home.shared.settings.instance.clone();
    while let Err(err) = adopt::adopt_instance(&home, &instance, Some(home.id())).await {
        log::warn!("event=adopt_failed instance={instance} error={err:?}");
        if let adopt::AdoptError::Journal(JournalError::Sealed(_)) = err {
            return;
        }
        time::sleep(HOME_RETRY_DELAY).await;
    }
}

/// Planned stop: refuses new work, waits for steps in progress up to the drain
/// timeout, and hands the programs over.
async fn drain(shared: &Arc<Shared>, homes: &HomeCell, callers_closed: &CancellationToken) {
    log::info!("event=drain");
    shared.drain();
    let deadline = time::Instant::now() + shared.settings.timing.drain;
    time::sleep(NOT_READY_DELAY).await;
    while let Some(home) = homes.get() {
        let (programs, busy) = home.load();
        if busy > 0 && time::Instant::now() < deadline {
            time::sleep(DRAIN_CHECK_INTERVAL).await;
            continue;
        }
        log::info!("event=hand_over journal={} programs={programs} busy={busy}", home.id());
        hand_over(shared, &home, deadline).await;
        break;
    }
    callers_closed.cancel();
}

/// Asks the successor to adopt this home's journal. Without a successor the
/// journal stays open until another daemon or a later incarnation adopts it.
async fn hand_over(shared: &Arc<Shared>, home: &Home, deadline: time::Instant) {
    while time::Instant::now() < deadline {
        let Some(successor) = adopt::successor(shared) else { return };
        if let Some(peer) = shared.membership.peer(&successor) {
            let adopted = async {
                let client = shared.peers.get(&peer.address).await.ok()?;
                client.adopt(home.id().clone()).await.ok()
            };
            if adopted.await == Some(true) {
                let _ = home.journal.verify().await;
                return;
            }
        }
        time::sleep(HOME_RETRY_DELAY).await;
    }
}
