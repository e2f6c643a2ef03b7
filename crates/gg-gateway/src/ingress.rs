//! Listeners of a gateway: for clients, and for the platform's readiness check.

use std::sync::Arc;

use bytes::Bytes;
use gg_http::ServerLimits;
use gg_route::{ClientLimits, Deployment};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::{proxy, state::State};

/// Connections are kept open this many times longer than clients may leave them
/// idle, so that a change of that timeout does not close connections still in
/// use.
const IDLE_FACTOR: u32 = 2;

/// Serves clients until `stop` is cancelled; then closes idle connections and
/// finishes the requests in flight.
pub(crate) async fn serve_clients<D: Deployment>(
    listener: TcpListener,
    state: Arc<State<D>>,
    base: ServerLimits,
    stop: CancellationToken,
) {
    let connections = base.connections;
    let limits = {
        let state = state.clone();
        move || {
            let limits = state.table().map_or_else(ClientLimits::default, |table| table.limits);
            ServerLimits {
                head_timeout: limits.idle_timeout * IDLE_FACTOR,
                head_bytes: limits.head_bytes,
                ..base.clone()
            }
        }
    };
    let handler = move |request: Request<Incoming>| proxy::handle(state.clone(), request);
    gg_http::serve_with(listener, connections, limits, stop, handler).await;
}

/// Responds to the platform's readiness check.
pub(crate) async fn serve_readiness<D: Deployment>(
    listener: TcpListener,
    state: Arc<State<D>>,
    stop: CancellationToken,
) {
    let limits = ServerLimits { memory: state.memory.clone(), ..ServerLimits::default() };
    let handler = move |_request: Request<Incoming>| {
        let mut response = Response::new(Full::new(Bytes::new()));
        if !state.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        async move { response }
    };
    gg_http::serve(listener, limits, stop, handler).await;
}
