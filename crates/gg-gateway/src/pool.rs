//! Connection pool for one replica.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use gg_http::{Blocks, connect_socket};
use gg_protocol::Name;
use http::{HeaderMap, Request, Response, header};
use hyper::{
    body::Incoming,
    client::conn::{
        TrySendError,
        http1::{self, SendRequest},
    },
};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};

use crate::state::lock;

/// Idle time after which a connection is not reused, if the replica does not
/// announce a keep-alive timeout.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(2);

/// An idle connection is dropped this long before the replica would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(800);

/// Largest read buffer of a connection, in bytes. hyper grows the buffer only
/// up to this; responses are small.
const READ_BUFFER_MAX_BYTES: usize = 16 << 10;

/// A connection that can send a request.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Blocks>,
    /// When the connection was opened.
    pub(crate) opened: Instant,
    /// Set for a connection through another gateway.
    pub(crate) tunnel: Option<Tunnel>,
    /// Whether it has carried a request before.
    pub(crate) was_used: bool,
}

/// A tunnel through another gateway.
#[derive(Debug)]
pub(crate) struct Tunnel {
    pub(crate) peer: Name,
    pub(crate) number: u64,
    /// Set when the peer stops: the tunnel should take no further request.
    pub(crate) is_closing: Arc<AtomicBool>,
}

impl Connection {
    /// Whether the connection goes through another gateway.
    pub(crate) fn is_tunnel(&self) -> bool {
        self.tunnel.is_some()
    }

    /// Whether the connection takes no further request.
    fn is_closing(&self) -> bool {
        let is_closing = |tunnel: &Tunnel| tunnel.is_closing.load(Ordering::Relaxed);
        self.sender.is_closed() || self.tunnel.as_ref().is_some_and(is_closing)
    }

    /// Sends a request. The error returns a request that was not sent.
    pub(crate) async fn send(
        &mut self,
        request: Request<Blocks>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Blocks>>> {
        self.sender.try_send_request(request).await
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires: Instant,
}

/// Connections to one replica.
#[derive(Debug)]
pub(crate) struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<Idle>>,
    open: Arc<AtomicU32>,
}

impl Pool {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Pool { address, idle: Mutex::default(), open: Arc::default() }
    }

    /// Takes the most recently used idle connection.
    pub(crate) fn take_idle(&self) -> Option<Connection> {
        self.close_expired();
        let mut idle = lock(&self.idle);
        let index = idle.iter().rposition(|idle| idle.connection.sender.is_ready())?;
        Some(idle.remove(index).connection)
    }

    /// Closes idle connections that are too old to be reused.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        lock(&self.idle).retain(|idle| idle.expires > now && !idle.connection.is_closing());
    }

    /// Whether there is an idle connection.
    pub(crate) fn has_idle(&self) -> bool {
        lock(&self.idle).iter().any(|idle| !idle.connection.is_closing())
    }

    /// Opens a new direct connection.
    pub(crate) async fn connect(&self, timeout: Duration) -> io::Result<Connection> {
        let socket = connect_socket(self.address, timeout).await?;
        self.handshake(socket, None).await
    }

    /// Makes a connection of an open socket or tunnel.
    pub(crate) async fn handshake<T>(
        &self,
        socket: T,
        tunnel: Option<Tunnel>,
    ) -> io::Result<Connection>
    where
        T: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        let opened = Instant::now();
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_MAX_BYTES)
            .handshake(TokioIo::new(socket))
            .await
            .map_err(io::Error::other)?;
        let open = self.open.clone();
        open.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            if let Err(err) = driver.await {
                log::debug!("event=replica_connection_ended error={err}");
            }
            open.fetch_sub(1, Ordering::Relaxed);
        });
        Ok(Connection { sender, opened, tunnel, was_used: false })
    }

    /// Returns a connection to the pool after its response was read completely.
    pub(crate) fn release(&self, mut connection: Connection, headers: &HeaderMap) {
        let Some(idle) = idle_timeout(headers) else { return };
        connection.was_used = true;
        lock(&self.idle).push(Idle { connection, expires: Instant::now() + idle });
    }

    /// Adds a connection that was not used yet.
    pub(crate) fn add_unused(&self, connection: Connection) {
        lock(&self.idle).push(Idle { connection, expires: Instant::now() + IDLE_TIMEOUT_DEFAULT });
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        lock(&self.idle).clear();
    }

    /// Closes idle connections for which `is_unwanted` returns true.
    pub(crate) fn close_idle(&self, is_unwanted: impl Fn(&Connection) -> bool) {
        lock(&self.idle).retain(|idle| !is_unwanted(&idle.connection));
    }
}

/// Time for which an idle connection may be reused: the replica's keep-alive
/// timeout less a margin. `None` if the replica closes the connection.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = |name| headers.get(name).and_then(|value: &http::HeaderValue| value.to_str().ok());
    if text(header::CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        return None;
    }
    let timeout = text(header::HeaderName::from_static("keep-alive"))
        .and_then(|value| value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")))
        .and_then(|seconds| seconds.trim().parse::<f64>().ok())
        .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    Some(timeout.map_or(IDLE_TIMEOUT_DEFAULT, |timeout| timeout.saturating_sub(IDLE_MARGIN)))
}
