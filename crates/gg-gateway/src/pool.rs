//! Kept connections to one replica.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use gg_http::connect_socket;
use http::{HeaderMap, Request, Response, header};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::{
        TrySendError,
        http1::{self, SendRequest},
    },
};
use hyper_util::rt::TokioIo;

use crate::state::lock;

/// Longest wait for a connection; replicas are a few ms away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Idle time after which a connection is not used again, if the replica
/// doesn't say how long it keeps one.
const IDLE_DEFAULT: Duration = Duration::from_secs(2);

/// A connection is given up this long before the replica would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(800);

/// Read buffer of a connection, in bytes. Answers are small; hyper grows it
/// to at most this.
const BUFFER_BYTES: usize = 16 << 10;

/// A connection that can take a request.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// When the replica took it.
    pub(crate) opened: Instant,
}

impl Connection {
    /// Sends a request; one that has not left comes back with the error.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.sender.try_send_request(request).await
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
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

    /// A kept connection, most recently used first.
    pub(crate) fn kept(&self) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let now = Instant::now();
        idle.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
        let index = idle.iter().rposition(|idle| idle.connection.sender.is_ready())?;
        Some(idle.remove(index).connection)
    }

    /// A new connection.
    pub(crate) async fn connect(&self) -> io::Result<Connection> {
        let socket = connect_socket(self.address, CONNECT_TIMEOUT).await?;
        let opened = Instant::now();
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
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
        Ok(Connection { sender, opened })
    }

    /// Keeps a connection whose answer was read whole.
    pub(crate) fn keep(&self, connection: Connection, headers: &HeaderMap) {
        let Some(idle) = idle_time(headers) else { return };
        lock(&self.idle).push(Idle { connection, until: Instant::now() + idle });
    }

    /// Keeps a connection that has not been used yet.
    pub(crate) fn keep_new(&self, connection: Connection) {
        lock(&self.idle).push(Idle { connection, until: Instant::now() + IDLE_DEFAULT });
    }

    /// Closes what is idle.
    pub(crate) fn clear(&self) {
        lock(&self.idle).clear();
    }
}

/// Time for which the replica keeps the connection, a margin taken off;
/// `None` if it is about to close it.
fn idle_time(headers: &HeaderMap) -> Option<Duration> {
    let text = |name| headers.get(name).and_then(|value: &http::HeaderValue| value.to_str().ok());
    if text(header::CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        return None;
    }
    let timeout = text(header::HeaderName::from_static("keep-alive"))
        .and_then(|value| value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")))
        .and_then(|seconds| seconds.trim().parse::<f64>().ok())
        .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    Some(timeout.map_or(IDLE_DEFAULT, |timeout| timeout.saturating_sub(IDLE_MARGIN)))
}
