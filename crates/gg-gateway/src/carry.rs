//! Carries connections of other gateways to replicas. It opens them itself and
//! never through a third gateway, so that two gateways that are cut off can't
//! send a request to and fro.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use gg_http::connect_socket;
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    connect::Connector,
    fleet::Fleet,
    state::lock,
    tunnel::{self, TUNNEL_TIMEOUT, TUNNELS_MAX, TunnelReply, TunnelRequest},
};

/// Timeout of the connection to a replica. It is shorter than the time that the
/// origin waits, so that the origin learns the result.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Delay after a failed accept, usually caused by too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

impl Connector {
    /// Accepts tunnels of other gateways until it is dropped. Tunnels run as
    /// `tasks`; their origins are told when `stopping` is cancelled.
    pub(crate) async fn serve_tunnels(
        self: Arc<Self>,
        fleet: Arc<Fleet>,
        listener: TcpListener,
        stopping: CancellationToken,
        tasks: TaskTracker,
    ) {
        loop {
            // Peers that are stopping still reply, so that origins ask others.
            match listener.accept().await {
                Ok((socket, _)) => {
                    let (connector, fleet) = (self.clone(), fleet.clone());
                    let stopping = stopping.clone();
                    tasks.spawn(async move {
                        if let Err(err) = connector.serve_tunnel(&fleet, socket, stopping).await {
                            log::debug!("event=tunnel_failed error={err}");
                        }
                    });
                }
                Err(err) => {
                    log::warn!("event=accept_failed error={err}");
                    time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve_tunnel(
        &self,
        fleet: &Fleet,
        mut socket: TcpStream,
        stopping: CancellationToken,
    ) -> io::Result<()> {
        gg_http::configure_socket(&socket)?;
        let reading = tunnel::read_message(&mut socket);
        let request: TunnelRequest = time::timeout(TUNNEL_TIMEOUT, reading).await??;
        let (reply, replica) = self.accept_tunnel(fleet, &request, &stopping).await;
        log::info!(
            "event=tunnel_accepted tunnel={}/{} replica={} result={}",
            request.origin,
            request.number,
            request.replica,
            reply.as_str()
        );
        self.metrics.count("tunnels_accepted", &[("result", reply.as_str())]);
        tunnel::write_message(&mut socket, &reply).await?;
        let Some((_carried, replica)) = replica else { return Ok(()) };
        tunnel::carry(socket, replica, stopping).await;
        Ok(())
    }

    /// Decides on a request for a tunnel, and connects to its replica.
    async fn accept_tunnel<'a>(
        &'a self,
        fleet: &Fleet,
        request: &TunnelRequest,
        stopping: &CancellationToken,
    ) -> (TunnelReply, Option<(CarriedTunnel<'a>, TcpStream)>) {
        if stopping.is_cancelled() {
            return (TunnelReply::Stopping, None);
        }
        let replica = fleet.replica(&request.replica);
        let replica = replica.filter(|known| known.upstream.id.started_ms == request.started_ms);
        let Some(replica) = replica else { return (TunnelReply::Unknown, None) };
        if self.is_lost(&replica) {
            return (TunnelReply::Doubtful, None);
        }
        let carried = CarriedTunnel::new(&self.tunnels_carried);
        if self.carried() > TUNNELS_MAX {
            return (TunnelReply::Busy, None);
        }
        let connected = connect_socket(replica.upstream.address, CONNECT_TIMEOUT).await;
        self.record_direct(fleet, &replica, connected.as_ref().err());
        match connected {
            Ok(socket) => {
                (TunnelReply::Opened { tunnels: self.carried() }, Some((carried, socket)))
            }
            Err(_) if lock(&self.reach).is_doubtful() => (TunnelReply::Doubtful, None),
            Err(_) => (TunnelReply::Unreachable, None),
        }
    }
}

/// Counts a tunnel that this gateway carries.
#[derive(Debug)]
struct CarriedTunnel<'a>(&'a AtomicU32);

impl<'a> CarriedTunnel<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        CarriedTunnel(count)
    }
}

impl Drop for CarriedTunnel<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
