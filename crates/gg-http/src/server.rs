//! HTTP listener with limits and graceful stop.

use std::{convert::Infallible, net::IpAddr, pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use hyper::{
    body::{Body as HttpBody, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{Body, HttpError, client};

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Where a request's connection comes from; an extension of each request.
#[derive(Clone, Copy, Debug)]
pub struct Peer(pub IpAddr);

/// Limits of one listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most connections at a time; more wait in the kernel's queue.
    pub connections: usize,
    /// Longest time for a request's head to arrive.
    pub head_timeout: Duration,
    /// Longest time for a request's body to arrive.
    pub body_timeout: Duration,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Largest request head, in bytes, if it is limited further than by the
    /// library.
    pub head_bytes: Option<usize>,
    /// Longest time that a stop waits for requests under way.
    pub stop_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            connections: 4096,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            body_bytes: 8 << 20,
            head_bytes: None,
            stop_timeout: Duration::from_secs(60),
        }
    }
}

/// Pause after a failed accept, which mostly means too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// While fewer than this share of the connections are free, each ends with
/// its answer, so that idle ones don't keep new clients waiting.
const FREE_SHARE: f64 = 0.5;

/// Smallest read buffer that the library takes, in bytes.
const HEAD_BYTES_MIN: usize = 8 << 10;

/// Serves `listener` until `stop` is cancelled, then finishes what is under
/// way.
pub async fn serve<H, F, B>(
    listener: TcpListener,
    limits: Limits,
    stop: CancellationToken,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: HttpBody<Data = Bytes, Error: Into<BoxError>> + Send + 'static,
{
    serve_with(listener, limits.connections, move || limits, stop, handler).await;
}

/// As [`serve`], with limits that are asked for at each new connection; at
/// most `connections` at a time.
pub async fn serve_with<H, F, B>(
    listener: TcpListener,
    connections: usize,
    limits: impl Fn() -> Limits,
    stop: CancellationToken,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: HttpBody<Data = Bytes, Error: Into<BoxError>> + Send + 'static,
{
    let tasks = TaskTracker::new();
    let slots = Arc::new(Semaphore::new(connections));
    loop {
        let slot = slots.clone().acquire_owned().await;
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let Ok((socket, _)) = accepted else {
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let room =
            Room { slots: slots.clone(), free_min: (connections as f64 * FREE_SHARE) as usize };
        let connection = connection(socket, limits(), stop.clone(), room, handler.clone());
        tasks.spawn(async move {
            connection.await;
            drop(slot);
        });
    }
    drop(listener);
    tasks.close();
    let _ = time::timeout(limits().stop_timeout, tasks.wait()).await;
}

/// Connections that are still free.
struct Room {
    slots: Arc<Semaphore>,
    free_min: usize,
}

impl Room {
    fn is_scarce(&self) -> bool {
        self.slots.available_permits() < self.free_min
    }
}

async fn connection<H, F, B>(
    socket: TcpStream,
    limits: Limits,
    stop: CancellationToken,
    room: Room,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<B>>,
    B: HttpBody<Data = Bytes, Error: Into<BoxError>> + 'static,
{
    let _ = socket.set_nodelay(true);
    let peer = socket.peer_addr().ok().map(|address| Peer(address.ip()));
    let service = service_fn(|mut request: Request<Incoming>| {
        if let Some(peer) = peer {
            request.extensions_mut().insert(peer);
        }
        // On the heap, as the library keeps room for it on idle connections too.
        let answered = Box::pin(handler(request));
        let is_scarce = room.is_scarce();
        async move {
            let mut response = answered.await;
            if is_scarce {
                let close = header::HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(limits.head_timeout);
    if let Some(bytes) = limits.head_bytes {
        builder.max_buf_size(bytes.max(HEAD_BYTES_MIN));
    }
    let connection = builder.serve_connection(TokioIo::new(socket), service);
    let mut connection = pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stop.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

/// Reads a request's body within the listener's limits.
pub async fn read_body(body: Incoming, limits: &Limits) -> Result<Bytes, HttpError> {
    let whole = client::collect(body, limits.body_bytes);
    time::timeout(limits.body_timeout, whole).await.unwrap_or(Err(HttpError::Timeout))
}

/// A JSON answer.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let kind = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
