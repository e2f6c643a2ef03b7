//! Startup, operation and planned shutdown of a gateway or ledger instance.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use gg_http::{MemoryBudget, ServerLimits, listen_socket};
use gg_ledger::{
    Capacity, LayoutController, LayoutControllerSettings, Ledger, Member, Node, NodeError,
    NodeSettings, ReplacementTimeouts,
};
use gg_metrics::{Metrics, Registry, serve_metrics};
use gg_platform::CopyAges;
use gg_route::Deployment;
use gg_settings::{GatewaySettings, LedgerSettings};
use quick_error::quick_error;
use tokio::{net::TcpListener, time};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{connect::Connector, discovery, ingress, state::State};

quick_error! {
    /// Why an instance could not run.
    #[derive(Debug)]
    pub enum GatewayError {
        /// Listening on an address failed.
        Listen(address: SocketAddr, err: io::Error) {
            display("can't listen on {address}: {err}")
        }
        /// The ledger failed.
        Ledger(err: NodeError) {
            from()
            display("{err}")
        }
    }
}

/// Length of the queue of connections waiting to be accepted.
const BACKLOG: u32 = 1024;

/// Time after SIGTERM in which the platform may still send new connections: it
/// checks readiness once a second and needs two failed checks.
const NOT_READY_TIME: Duration = Duration::from_millis(2_600);

/// Time before the end of the planned shutdown at which requests that still wait
/// for their replica get a final answer.
const LAST_CALL_TIME: Duration = Duration::from_millis(300);

/// Time reserved between the last response and the end of the grace period.
const STOP_MARGIN: Duration = Duration::from_millis(600);

/// Runs a gateway until `stopping` is cancelled, then shuts it down in order.
pub async fn run_gateway<D: Deployment>(
    settings: GatewaySettings,
    deployment: D,
    stopping: CancellationToken,
) -> Result<(), GatewayError> {
    let clients = listen(settings.clients)?;
    let ready = listen(settings.ready)?;
    // Cancelled once no requests are in flight.
    let stop = CancellationToken::new();
    let ledger =
        Ledger::new(settings.instance.clone(), settings.centre.clone(), stop.child_token());
    let registry = Registry::default();
    let metrics = Metrics::new(&registry);
    let connector = Connector::new(
        settings.instance.clone(),
        settings.centre.clone(),
        settings.tunnels,
        metrics.clone(),
    );
    let rate = settings.accounts.rate;
    let centre = settings.centre.clone();
    let memory = MemoryBudget::new(settings.client_memory);
    let state = State::new(deployment, centre, ledger, connector, &settings.bounds, rate, metrics)
        .with_memory(memory.clone());
    let state = Arc::new(if settings.paces_replicas { state.with_replica_pace() } else { state });
    if let Some(address) = settings.metrics {
        let refresh = {
            let state = state.clone();
            move || state.refresh_gauges()
        };
        tokio::spawn(serve_metrics(listen(address)?, registry, refresh, stop.child_token()));
    }
    let ages = CopyAges::new(&settings.bounds);
    tokio::spawn(discovery::run(state.clone(), settings.is_first_start, ages, stop.child_token()));
    tokio::spawn(ingress::serve_readiness(ready, state.clone(), stop.child_token()));
    let carried = TaskTracker::new();
    if let Some(address) = settings.tunnels {
        let (connector, fleet) = (state.connector.clone(), state.fleet.clone());
        let serving =
            connector.serve_tunnels(fleet, listen(address)?, stopping.clone(), carried.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(serving));
    }
    let probing = state.clone();
    tokio::spawn(stop.clone().run_until_cancelled_owned(async move {
        probing.connector.probe_paths(&probing.fleet).await;
    }));
    let listener_stop = CancellationToken::new();
    let base = ServerLimits {
        connections: settings.connections,
        stop_timeout: settings.stop_timeout.saturating_sub(NOT_READY_TIME + STOP_MARGIN),
        memory,
        ..ServerLimits::default()
    };
    let stop_timeout = base.stop_timeout;
    let serving =
        tokio::spawn(ingress::serve_clients(clients, state.clone(), base, listener_stop.clone()));
    log::info!("event=started role=gateway clients={}", settings.clients);
    stopping.cancelled().await;
    log::info!("event=stopping");
    state.stop();
    time::sleep(NOT_READY_TIME).await;
    listener_stop.cancel();
    carried.close();
    let last_call = state.last_call.clone();
    tokio::spawn(async move {
        time::sleep(stop_timeout.saturating_sub(LAST_CALL_TIME)).await;
        last_call.cancel();
    });
    let (served, _) = tokio::join!(serving, time::timeout(stop_timeout, carried.wait()));
    if let Err(err) = served {
        log::error!("event=listener_failed error={err}");
    }
    stop.cancel();
    log::info!("event=stopped");
    Ok(())
}

/// Runs a ledger instance until `stop` is cancelled, or until writes to its log
/// fail.
pub async fn run_ledger<D: Deployment>(
    settings: LedgerSettings,
    deployment: D,
    stop: CancellationToken,
) -> Result<(), GatewayError> {
    let node = NodeSettings {
        listen: settings.listen,
        folder: settings.folder.clone(),
        capacity: Capacity {
            memory_bytes: settings.memory_limit,
            disk_bytes: settings.disk_bytes,
            log_bytes_min: settings.checkpoint_bytes,
        },
        memory: MemoryBudget::new(settings.frame_memory),
    };
    let registry = Registry::default();
    let metrics = Metrics::new(&registry);
    let node = Node::start(node, metrics.clone(), stop.clone()).await?;
    if let Some(address) = settings.metrics {
        let refresh = {
            let (node, metrics) = (node.clone(), metrics.clone());
            move || {
                let (turns, programs) = node.len();
                metrics.gauge("turns", turns as u64, &[]);
                metrics.gauge("programs", programs as u64, &[]);
                let (usage, capacity) = (node.usage(), node.capacity());
                metrics.gauge("content_bytes", usage.memory, &[]);
                metrics.gauge("content_bytes_max", capacity.memory_bytes as u64, &[]);
                metrics.gauge("log_needed_bytes", usage.needed, &[]);
                metrics.gauge("log_total_bytes", node.log_bytes(), &[]);
                metrics.gauge("log_backlog_bytes", usage.backlog, &[]);
                metrics.gauge("frame_bytes", node.memory().bytes() as u64, &[]);
                metrics.gauge("fill_percent", capacity.fill(usage).0, &[]);
            }
        };
        tokio::spawn(serve_metrics(listen(address)?, registry, refresh, stop.child_token()));
    }
    let member = Member {
        instance: settings.instance.clone(),
        disk: node.disk(),
        address: settings.listen,
        centre: settings.centre.clone(),
    };
    let controller = LayoutControllerSettings {
        member,
        tolerated_losses: settings.tolerated_losses,
        is_first_start: settings.is_first_start,
        registration_wait: settings.registration_wait,
        replacement: ReplacementTimeouts {
            idle: settings.idle_timeout,
            busy: settings.busy_timeout,
        },
        ages: CopyAges::new(&settings.bounds),
    };
    let controller = LayoutController::new(controller, deployment, node, stop.child_token());
    tokio::spawn(controller.run(stop.child_token()));
    log::info!("event=started role=ledger listen={}", settings.listen);
    stop.cancelled().await;
    log::info!("event=stopped");
    Ok(())
}

fn listen(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    listen_socket(address, BACKLOG).map_err(|err| GatewayError::Listen(address, err))
}
