//! Server for the calls of other daemons.

use std::{io, net::TcpListener};

use jsonrpsee::server::{BatchRequestConfig, Server, ServerConfig, ServerHandle};
use tower::ServiceBuilder;

use crate::{PeerApiServer, Secret, auth::AuthLayer};

/// Maximum number of connections from other daemons.
const CONNECTIONS_MAX: u32 = 2048;

/// Maximum number of step subscriptions on one connection.
const SUBSCRIPTIONS_MAX: u32 = 65_536;

/// Maximum size of a message.
const MESSAGE_MAX_BYTES: u32 = 64 << 20;

/// Messages buffered for a slow peer before senders have to wait.
const BUFFERED_MESSAGES_MAX: u32 = 4096;

/// Serves `api` until the handle is stopped.
pub fn serve<A: PeerApiServer>(
    listener: TcpListener,
    secret: Secret,
    api: A,
) -> io::Result<ServerHandle> {
    let config = ServerConfig::builder()
        .max_connections(CONNECTIONS_MAX)
        .max_subscriptions_per_connection(SUBSCRIPTIONS_MAX)
        .max_request_body_size(MESSAGE_MAX_BYTES)
        .max_response_body_size(MESSAGE_MAX_BYTES)
        .set_message_buffer_capacity(BUFFERED_MESSAGES_MAX)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .ws_only()
        .set_tcp_no_delay(true)
        .build();
    let middleware = ServiceBuilder::new().layer(AuthLayer(secret));
    listener.set_nonblocking(true)?;
    let server = Server::builder()
        .set_config(config)
        .set_http_middleware(middleware)
        .build_from_tcp(listener)?;
    Ok(server.start(api.into_rpc()))
}
