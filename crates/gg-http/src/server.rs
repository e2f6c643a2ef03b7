//! HTTP server with limits and graceful shutdown.

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

/// IP address of the client; stored as an extension of each request.
#[derive(Clone, Copy, Debug)]
pub struct PeerAddress(pub IpAddr);

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum number of open connections; further ones wait in the kernel's accept
    /// queue.
    pub connections: usize,
    /// Timeout for receiving the head of a request.
    pub head_timeout: Duration,
    /// Timeout for receiving the body of a request.
    pub body_timeout: Duration,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum size of a request head, if lower than the default limit of hyper.
    pub head_bytes: Option<usize>,
    /// Maximum time that a graceful shutdown waits for requests in flight.
    pub stop_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        ServerLimits {
            connections: 4096,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            body_bytes: 8 << 20,
            head_bytes: None,
            stop_timeout: Duration::from_secs(60),
        }
    }
}

/// Delay after a failed accept, usually caused by too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// While less than this share of the connections is free, each connection is
/// closed after its response, so that idle connections don't block new clients.
const KEEP_ALIVE_FREE_SHARE: f64 = 0.5;

/// Minimum size of the read buffer that hyper accepts.
const READ_BUFFER_MIN_BYTES: usize = 8 << 10;

/// Serves requests until `stop` is cancelled, then finishes the requests in
/// flight.
pub async fn serve<H, F, B>(
    listener: TcpListener,
    limits: ServerLimits,
    stop: CancellationToken,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: HttpBody<Data = Bytes, Error: Into<BoxError>> + Send + 'static,
{
    serve_with(listener, limits.connections, move || limits, stop, handler).await;
}

/// Like [`serve`], but calls `limits` anew for each connection and for the shutdown.
/// At most `connections` connections are open at a time.
pub async fn serve_with<H, F, B>(
    listener: TcpListener,
    connections: usize,
    limits: impl Fn() -> ServerLimits,
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
            time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let free_slots = FreeSlots {
            slots: slots.clone(),
            min_free: (connections as f64 * KEEP_ALIVE_FREE_SHARE) as usize,
        };
        let connection = connection(socket, limits(), stop.clone(), free_slots, handler.clone());
        tasks.spawn(async move {
            connection.await;
            drop(slot);
        });
    }
    drop(listener);
    tasks.close();
    let _ = time::timeout(limits().stop_timeout, tasks.wait()).await;
}

/// Availability of connection slots.
struct FreeSlots {
    slots: Arc<Semaphore>,
    min_free: usize,
}

impl FreeSlots {
    fn is_low(&self) -> bool {
        self.slots.available_permits() < self.min_free
    }
}

async fn connection<H, F, B>(
    socket: TcpStream,
    limits: ServerLimits,
    stop: CancellationToken,
    free_slots: FreeSlots,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<B>>,
    B: HttpBody<Data = Bytes, Error: Into<BoxError>> + 'static,
{
    let _ = socket.set_nodelay(true);
    let peer = socket.peer_addr().ok().map(|address| PeerAddress(address.ip()));
    let service = service_fn(|mut request: Request<Incoming>| {
        if let Some(peer) = peer {
            request.extensions_mut().insert(peer);
        }
        // Boxed, as hyper reserves memory for the future on idle connections too.
        let response = Box::pin(handler(request));
        let is_low = free_slots.is_low();
        async move {
            let mut response = response.await;
            if is_low {
                let close = header::HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(limits.head_timeout);
    if let Some(bytes) = limits.head_bytes {
        builder.max_buf_size(bytes.max(READ_BUFFER_MIN_BYTES));
    }
    let connection = builder.serve_connection(TokioIo::new(socket), service);
    let mut connection = pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stop.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

/// Reads the whole body of a request within the limits of the server.
pub async fn read_body(body: Incoming, limits: &ServerLimits) -> Result<Bytes, HttpError> {
    let whole = client::collect(body, limits.body_bytes);
    time::timeout(limits.body_timeout, whole).await.unwrap_or(Err(HttpError::Timeout))
}

/// Creates a JSON response.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}
