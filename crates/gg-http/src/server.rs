//! HTTP server with limits and graceful shutdown.

use std::{convert::Infallible, net::IpAddr, pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::{
    body::{Body as HttpBody, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    time,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    Body, ClientConnection, MemoryBudget,
    client_socket::{ClientSocket, ConnectionState},
    memory_budget::Stage,
};

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// IP address of the client; stored as an extension of each request.
#[derive(Clone, Copy, Debug)]
pub struct PeerAddress(pub IpAddr);

/// Limits of a server.
#[derive(Clone, Debug)]
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
    /// Maximum size of a request head.
    pub head_bytes: usize,
    /// Maximum time that a graceful shutdown waits for requests in flight.
    pub stop_timeout: Duration,
    /// Budget for the memory that clients make the process hold.
    pub memory: MemoryBudget,
}

impl Default for ServerLimits {
    fn default() -> Self {
        ServerLimits {
            connections: 4096,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            body_bytes: 8 << 20,
            head_bytes: 64 << 10,
            stop_timeout: Duration::from_secs(60),
            memory: MemoryBudget::default(),
        }
    }
}

/// Delay after a failed accept, usually caused by too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// While no more than this share of the connections is free, each connection is
/// closed after its response, so that idle connections don't block new clients.
const KEEP_ALIVE_FREE_SHARE: f64 = 0.5;

/// Minimum size of the read buffer that hyper accepts.
const READ_BUFFER_MIN_BYTES: usize = 8 << 10;

/// Memory that is counted for an open connection: its task, its read buffer and what is
/// buffered to be written.
const CONNECTION_BYTES: usize = 16 << 10;

/// Size of the kernel's receive buffer of a connection, which fills up while nothing is
/// read.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;

/// Interval between attempts to free a slot for a new connection.
const SLOT_RETRY_DELAY: Duration = Duration::from_millis(50);

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
    let connections = limits.connections;
    serve_with(listener, connections, move || limits.clone(), stop, handler).await;
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
    // Accepted sockets inherit it.
    let _ = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let Ok((socket, _)) = accepted else {
            time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let limits = limits();
        let memory = limits.memory.reservation(Stage::Idle);
        let slot = tokio::select! {
            slot = free_slot(&slots, &limits.memory) => slot,
            () = stop.cancelled() => break,
        };
        tokio::select! {
            () = memory.grow_patiently(CONNECTION_BYTES) => {}
            () = stop.cancelled() => break,
        }
        let free_slots = FreeSlots {
            slots: slots.clone(),
            min_free: (connections as f64 * KEEP_ALIVE_FREE_SHARE) as usize,
        };
        let state = ConnectionState::new(memory);
        let connection =
            connection(socket, state, limits, stop.clone(), free_slots, handler.clone());
        tasks.spawn(async move {
            connection.await;
            drop(slot);
        });
    }
    drop(listener);
    tasks.close();
    let _ = time::timeout(limits().stop_timeout, tasks.wait()).await;
}

/// Takes a connection slot. While none is free, connections whose clients keep them
/// without making progress are given up.
async fn free_slot(slots: &Arc<Semaphore>, memory: &MemoryBudget) -> OwnedSemaphorePermit {
    loop {
        if let Ok(slot) = slots.clone().try_acquire_owned() {
            return slot;
        }
        memory.evict_worst();
        if let Ok(Ok(slot)) = time::timeout(SLOT_RETRY_DELAY, slots.clone().acquire_owned()).await {
            return slot;
        }
    }
}

/// Availability of connection slots.
struct FreeSlots {
    slots: Arc<Semaphore>,
    min_free: usize,
}

impl FreeSlots {
    fn is_low(&self) -> bool {
        self.slots.available_permits() <= self.min_free
    }
}

async fn connection<H, F, B>(
    socket: TcpStream,
    state: Arc<ConnectionState>,
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
    let client = ClientConnection { budget: limits.memory.clone(), state: Some(state.clone()) };
    let service = service_fn(|mut request: Request<Incoming>| {
        state.memory.enter(Stage::Working);
        state.set_unread(!request.body().is_end_stream());
        request.extensions_mut().insert(client.clone());
        if let Some(peer) = peer {
            request.extensions_mut().insert(peer);
        }
        // Boxed, as hyper reserves memory for the future on idle connections too.
        let response = Box::pin(handler(request));
        let is_low = free_slots.is_low();
        let in_progress = InProgress(state.clone());
        async move {
            let mut response = response.await;
            if is_low {
                let close = header::HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            // The request is in progress until its response was written.
            Ok::<_, Infallible>(response.map(|body| {
                body.map_err(move |err| {
                    let _in_progress = &in_progress;
                    err
                })
            }))
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(limits.head_timeout);
    let buffer_max = limits.head_bytes.max(READ_BUFFER_MIN_BYTES);
    builder.max_buf_size(buffer_max);
    let socket = ClientSocket::new(socket, state.clone(), buffer_max);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(socket), service));
    tokio::select! {
        _ = connection.as_mut() => return,
        () = state.memory.evicted() => return,
        () = stop.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        _ = connection => {}
        () = state.memory.evicted() => {}
    }
}

/// A request whose response was not yet written to its end.
struct InProgress(Arc<ConnectionState>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.memory.enter_from(Stage::Working, Stage::Idle);
    }
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
