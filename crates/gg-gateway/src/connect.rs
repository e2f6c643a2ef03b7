//! Opens connections to replicas: directly, or through another gateway while
//! this one is cut off from them.

use std::{
    io,
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use futures::future::join_all;
use gg_ledger::{PollTunnels, TunnelOffer};
use gg_metrics::Metrics;
use gg_protocol::Name;
use rand::seq::IteratorRandom;
use tokio::{sync::Notify, time};

use crate::{
    ConnectFailure, Path, PathChange, Reachability, TunnelPeers,
    fleet::Fleet,
    pool::{Connection, Tunnel},
    replica::Replica,
    state::lock,
    tunnel::{self, TUNNEL_TIMEOUT, TUNNELS_MAX, TunnelReply, TunnelRequest},
};

/// Timeout of a direct connection; replicas are a few ms away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// A tunnel is opened beside a direct attempt that takes longer than this.
/// Nothing of a request is sent before a connection is open, so this repeats
/// nothing.
const FALLBACK_DELAY: Duration = Duration::from_millis(150);

/// Timeout of a connection that shows whether a lost path is back.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Peers that are asked for one tunnel.
const TUNNEL_ATTEMPTS: usize = 3;

/// Peers are listed again after this time, so that some are known when a cut
/// begins.
const PEERS_TTL: Duration = Duration::from_secs(10);

/// While the gateway needs peers they are listed again after this time.
const PEERS_NEEDED_TTL: Duration = Duration::from_millis(500);

/// Longest wait for a list of peers; a poll takes a few ms.
const PEERS_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval between direct attempts to reach replicas whose paths are lost.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Replicas that are probed at a time.
const PROBES: usize = 3;

/// A request that has waited this long for its response, while no replica
/// responded to this gateway, lets it check whether it still reaches the replica.
pub(crate) const SILENCE_TIME: Duration = Duration::from_millis(400);

/// Why no connection to a replica could be opened.
#[derive(Debug)]
pub(crate) struct ConnectError {
    pub(crate) reason: String,
    /// Whether the gateway, and not the replica, may be at fault: it may be cut
    /// off, and no other gateway has tried to reach the replica.
    pub(crate) is_uncertain: bool,
}

/// Opens connections to replicas, and carries those of other gateways.
#[derive(Debug)]
pub(crate) struct Connector {
    instance: Name,
    centre: Name,
    /// Where tunnels of other gateways are accepted.
    listen: Option<SocketAddr>,
    pub(crate) reach: Mutex<Reachability>,
    peers: Mutex<TunnelPeers>,
    /// Notified when peers are to be listed without delay.
    peers_wanted: Notify,
    peers_listed: Notify,
    /// Notified when a path was lost, or when the gateway may be cut off.
    probes_wanted: Notify,
    /// Whether there are other gateways.
    has_others: AtomicBool,
    /// When a replica last responded on a direct connection.
    last_response: Mutex<Option<Instant>>,
    tunnels_opened: AtomicU64,
    pub(crate) tunnels_carried: AtomicU32,
    pub(crate) metrics: Metrics,
}

impl Connector {
    pub(crate) fn new(
        instance: Name,
        centre: Name,
        listen: Option<SocketAddr>,
        metrics: Metrics,
    ) -> Self {
        Connector {
            instance,
            centre,
            listen,
            reach: Mutex::default(),
            peers: Mutex::default(),
            peers_wanted: Notify::new(),
            peers_listed: Notify::new(),
            probes_wanted: Notify::new(),
            has_others: AtomicBool::new(false),
            last_response: Mutex::default(),
            tunnels_opened: AtomicU64::new(1),
            tunnels_carried: AtomicU32::new(0),
            metrics,
        }
    }

    /// Whether no replica can be reached, neither directly nor through peers. It
    /// is not so while replicas respond on open connections: then those that were
    /// tried are down.
    pub(crate) fn is_isolated(&self) -> bool {
        lock(&self.reach).is_isolated() && !self.hears_replicas()
    }

    /// Whether the gateway is cut off from all replicas.
    pub(crate) fn is_cut_off(&self) -> bool {
        lock(&self.reach).is_cut_off()
    }

    /// Whether new connections to the replica go through peers.
    pub(crate) fn is_lost(&self, replica: &Replica) -> bool {
        lock(&self.reach).path(&replica.upstream.id.name) == Path::Tunnel
    }

    /// Number of replicas whose paths are lost.
    pub(crate) fn lost(&self) -> usize {
        lock(&self.reach).lost().len()
    }

    /// Tunnels that this gateway carries for others.
    pub(crate) fn carried(&self) -> u32 {
        self.tunnels_carried.load(Ordering::Relaxed)
    }

    /// Records that a replica responded on a direct connection.
    pub(crate) fn record_response(&self) {
        *lock(&self.last_response) = Some(Instant::now());
    }

    /// Whether any replica has responded directly within [`SILENCE_TIME`].
    pub(crate) fn hears_replicas(&self) -> bool {
        lock(&self.last_response).is_some_and(|at| at.elapsed() < SILENCE_TIME)
    }

    /// Opens a connection to a replica.
    pub(crate) async fn connect(
        &self,
        fleet: &Fleet,
        replica: &Replica,
    ) -> Result<Connection, ConnectError> {
        if self.is_lost(replica) {
            return self.open_tunnel(fleet, replica).await;
        }
        let name = &replica.upstream.id.name;
        let may_tunnel = lock(&self.reach).may_tunnel(name, Instant::now());
        let mut direct = pin!(self.connect_directly(fleet, replica, CONNECT_TIMEOUT));
        let known_down =
            |err: io::Error| ConnectError { reason: err.to_string(), is_uncertain: false };
        if !may_tunnel {
            return direct.await.map_err(known_down);
        }
        match time::timeout(FALLBACK_DELAY, &mut direct).await {
            Ok(Ok(connection)) => return Ok(connection),
            Ok(Err(_)) => return self.open_tunnel(fleet, replica).await,
            Err(_) => self.record_failed(name, ConnectFailure::Silent),
        }
        let mut tunnel = pin!(self.open_tunnel(fleet, replica));
        tokio::select! {
            biased;
            connected = &mut direct => match connected {
                Ok(connection) => Ok(connection),
                Err(_) => tunnel.await,
            },
            opened = &mut tunnel => match opened {
                Ok(connection) => Ok(connection),
                Err(err) => direct.await.map_err(|_| err),
            },
        }
    }

    async fn connect_directly(
        &self,
        fleet: &Fleet,
        replica: &Replica,
        timeout: Duration,
    ) -> io::Result<Connection> {
        let connected = replica.pool.connect(timeout).await;
        self.record_direct(fleet, replica, connected.as_ref().err());
        connected
    }

    /// Opens a connection to a replica through another gateway.
    async fn open_tunnel(
        &self,
        fleet: &Fleet,
        replica: &Replica,
    ) -> Result<Connection, ConnectError> {
        self.refresh_peers().await;
        let name = &replica.upstream.id.name;
        let centres = (&*self.centre, &*replica.upstream.centre);
        let mut tried: Vec<Name> = Vec::new();
        let mut is_down = false;
        while tried.len() < TUNNEL_ATTEMPTS {
            let peer = lock(&self.peers).choose(centres, &tried, Instant::now(), &mut rand::rng());
            let Some(peer) = peer else { break };
            tried.push(peer.instance.clone());
            match self.ask(&peer, replica).await {
                Ok(connection) => {
                    let replicas = fleet.len();
                    let change = lock(&self.reach).record_tunnel(name, replicas, Instant::now());
                    self.apply(fleet, replica, change, Some(&peer.instance));
                    return Ok(connection);
                }
                Err(Some(TunnelReply::Unreachable)) => {
                    is_down = true;
                    break;
                }
                Err(_) => {}
            }
        }
        let has_peers = self.has_others.load(Ordering::Relaxed) || !lock(&self.peers).is_empty();
        let is_now_isolated =
            lock(&self.reach).record_tunnel_failed(name, is_down, fleet.len(), Instant::now());
        if is_now_isolated {
            self.probes_wanted.notify_one();
            log::warn!("event=isolated peers={} tried={}", lock(&self.peers).len(), tried.len());
            self.metrics.count("path_changes", &[("event", "isolated")]);
        }
        let reason = match (is_down, has_peers) {
            (true, _) => "no gateway reaches the replica",
            (_, true) => "no other gateway opened a tunnel",
            (_, false) => "no other gateway is known",
        };
        let is_silent = lock(&self.reach).failure(name) == Some(ConnectFailure::Silent);
        Err(ConnectError {
            reason: reason.into(),
            is_uncertain: !is_down && has_peers && is_silent,
        })
    }

    /// Asks a peer for a tunnel; the error holds its reply, if there was one.
    async fn ask(
        &self,
        peer: &TunnelOffer,
        replica: &Replica,
    ) -> Result<Connection, Option<TunnelReply>> {
        let id = &replica.upstream.id;
        let number = self.tunnels_opened.fetch_add(1, Ordering::Relaxed);
        let request = TunnelRequest {
            origin: self.instance.clone(),
            number,
            replica: id.name.clone(),
            started_ms: id.started_ms,
        };
        let is_closing = Arc::new(AtomicBool::new(false));
        let opening = async {
            let (reply, stream) = tunnel::open(peer.address, &request, is_closing.clone()).await?;
            let TunnelReply::Opened { tunnels } = reply else { return Ok(Err(reply)) };
            let tunnel = Tunnel { peer: peer.instance.clone(), number, is_closing };
            Ok(Ok((tunnels, replica.pool.handshake(stream, Some(tunnel)).await?)))
        };
        let opened: io::Result<_> = time::timeout(TUNNEL_TIMEOUT, opening)
            .await
            .unwrap_or(Err(io::ErrorKind::TimedOut.into()));
        let (result, connection) = match opened {
            Ok(Ok((tunnels, connection))) => {
                lock(&self.peers).record_opened(&peer.instance, tunnels);
                ("opened".to_owned(), Ok(connection))
            }
            Ok(Err(reply)) => {
                if !matches!(reply, TunnelReply::Unreachable | TunnelReply::Unknown) {
                    lock(&self.peers).record_failed(&peer.instance, Instant::now());
                }
                (reply.as_str().to_owned(), Err(Some(reply)))
            }
            Err(err) => {
                lock(&self.peers).record_failed(&peer.instance, Instant::now());
                (format!("failed error={err}"), Err(None))
            }
        };
        log::info!(
            "event=tunnel_requested tunnel={}/{number} replica={} peer={} result={result}",
            self.instance,
            id.name,
            peer.instance
        );
        let label = result.split(' ').next().unwrap_or_default();
        self.metrics.count("tunnels_requested", &[("result", label)]);
        connection
    }

    /// Waits for a new list of peers if the known one is old.
    async fn refresh_peers(&self) {
        let is_old = |at: Instant| at.elapsed() >= PEERS_NEEDED_TTL;
        if lock(&self.peers).updated_at().is_none_or(is_old) {
            let listed = self.peers_listed.notified();
            self.peers_wanted.notify_one();
            let is_empty = lock(&self.peers).is_empty();
            if is_empty {
                let _ = time::timeout(PEERS_TIMEOUT, listed).await;
            }
        }
    }

    /// Waits until peers are to be listed without delay.
    pub(crate) async fn peers_wanted(&self) {
        self.peers_wanted.notified().await;
    }

    /// What to tell and ask of tunnels in the next poll.
    pub(crate) fn poll_tunnels(&self, is_stopping: bool) -> PollTunnels {
        let (is_doubtful, needs_peers) = {
            let reach = lock(&self.reach);
            (reach.is_doubtful(), reach.is_doubtful() || reach.lost().len() > 0)
        };
        let offers = !is_stopping && !is_doubtful && self.carried() < TUNNELS_MAX;
        let offer = self.listen.filter(|_| offers).map(|address| TunnelOffer {
            instance: self.instance.clone(),
            centre: self.centre.clone(),
            address,
        });
        let ttl = if needs_peers { PEERS_NEEDED_TTL } else { PEERS_TTL };
        let peers = lock(&self.peers);
        let wants_peers =
            peers.updated_at().is_none_or(|at| at.elapsed() >= ttl) || peers.is_empty();
        PollTunnels { offer, wants_peers }
    }

    /// Sets the peers that ledger instances have listed, of `gateways` gateways.
    pub(crate) fn update_peers(&self, offers: Vec<TunnelOffer>, gateways: u32) {
        self.has_others.store(gateways > 1, Ordering::Relaxed);
        lock(&self.peers).update(offers, Instant::now());
        self.peers_listed.notify_waiters();
    }

    /// Logs a change of the paths. Idle connections on paths that went silent
    /// are closed.
    fn apply(
        &self,
        fleet: &Fleet,
        replica: &Replica,
        change: Option<PathChange>,
        peer: Option<&Name>,
    ) {
        let Some(change) = change else { return };
        let name = &replica.upstream.id.name;
        let peer = peer.map_or("-", |peer| peer);
        let event = match &change {
            PathChange::Lost(failure) => {
                log::warn!(
                    "event=path_lost replica={name} evidence={} peer={peer}",
                    failure.as_str()
                );
                if *failure == ConnectFailure::Silent {
                    replica.pool.clear();
                }
                self.probes_wanted.notify_one();
                "path_lost"
            }
            PathChange::CutOff(failure) => {
                log::warn!(
                    "event=cut_off replica={name} evidence={} peer={peer} lost={} replicas={}",
                    failure.as_str(),
                    self.lost(),
                    fleet.len()
                );
                if *failure == ConnectFailure::Silent {
                    fleet.close_idle(|connection| !connection.is_tunnel());
                }
                "cut_off"
            }
            PathChange::Regained => {
                log::info!("event=path_regained replica={name}");
                replica.pool.close_idle(Connection::is_tunnel);
                "path_regained"
            }
            PathChange::Reconnected { after } => {
                log::info!("event=reconnected replica={name} ms={}", after.as_millis());
                fleet.close_idle(Connection::is_tunnel);
                "reconnected"
            }
        };
        self.metrics.count("path_changes", &[("event", event)]);
    }

    /// Probes replicas while paths are lost, until the task is dropped.
    pub(crate) async fn probe_paths(&self, fleet: &Fleet) {
        loop {
            let (is_doubtful, has_lost) = {
                let reach = lock(&self.reach);
                (reach.is_doubtful(), reach.lost().len() > 0)
            };
            if !is_doubtful && !has_lost {
                self.probes_wanted.notified().await;
            }
            let may_be_cut_off = lock(&self.reach).is_doubtful() || !has_lost;
            if may_be_cut_off && !self.is_cut_off() {
                self.survey(fleet).await;
            }
            time::sleep(PROBE_INTERVAL).await;
            lock(&self.reach).retain(|name| fleet.replica(name).is_some());
            let is_cut_off = self.is_cut_off();
            let probed = self.draw(fleet, |replica| is_cut_off || self.is_lost(replica));
            join_all(probed.iter().map(async |replica| {
                let direct = self.connect_directly(fleet, replica, PROBE_TIMEOUT).await;
                direct.into_iter().for_each(|connection| replica.pool.add_unused(connection));
            }))
            .await;
            if self.is_isolated()
                && let Some(replica) = probed.first()
            {
                let tunnel = self.open_tunnel(fleet, replica).await;
                tunnel.into_iter().for_each(|connection| replica.pool.add_unused(connection));
            }
        }
    }

    /// Connects to some replicas whose paths are not lost, to learn whether the
    /// gateway is cut off from all.
    async fn survey(&self, fleet: &Fleet) {
        let surveyed = self.draw(fleet, |replica| !self.is_lost(replica));
        join_all(surveyed.iter().map(async |replica| {
            let connected = self.connect(fleet, replica).await;
            connected.into_iter().for_each(|connection| replica.pool.add_unused(connection));
        }))
        .await;
    }

    fn draw(&self, fleet: &Fleet, filter: impl Fn(&Replica) -> bool) -> Vec<Arc<Replica>> {
        let replicas = fleet.replicas().into_iter();
        replicas.filter(|replica| filter(replica)).choose_multiple(&mut rand::rng(), PROBES)
    }

    /// Records the result of a direct connection attempt.
    pub(crate) fn record_direct(&self, fleet: &Fleet, replica: &Replica, err: Option<&io::Error>) {
        let name = &replica.upstream.id.name;
        match err.map(io::Error::kind) {
            None => {
                let change = lock(&self.reach).record_connected(name, Instant::now());
                self.apply(fleet, replica, change, None);
            }
            Some(io::ErrorKind::TimedOut) => self.record_failed(name, ConnectFailure::Silent),
            Some(_) => self.record_failed(name, ConnectFailure::Refused),
        }
    }

    fn record_failed(&self, replica: &Name, failure: ConnectFailure) {
        let mut reach = lock(&self.reach);
        reach.record_failed(replica, failure);
        if reach.is_doubtful() {
            self.probes_wanted.notify_one();
        }
    }
}
