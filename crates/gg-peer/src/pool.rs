//! Pool of connections to other daemons: one per address, opened on first use.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use indexmap::IndexMap;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use quick_error::quick_error;
use tokio::{sync::OnceCell, time};

use crate::Secret;

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a request. It also bounds requests that wait for a slot.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(600);

/// Maximum size of a message.
const MESSAGE_MAX_BYTES: u32 = 64 << 20;

/// Maximum number of calls in flight on one connection.
const IN_FLIGHT_CALLS_MAX: usize = 65_536;

/// Events buffered per subscription before a slow reader's subscription is
/// closed.
const BUFFERED_EVENTS_MAX: usize = 4096;

quick_error! {
    /// Error of a call to a peer.
    #[derive(Debug)]
    pub enum PeerError {
        /// The connection could not be opened.
        Connect(text: String) {
            display("can't connect to peer: {text}")
        }
        /// The connection was lost or the peer returned an error.
        Call(text: String) {
            display("peer call failed: {text}")
        }
        /// The peer did not respond in time.
        Timeout {
            display("peer did not respond in time")
        }
    }
}

impl From<jsonrpsee::core::client::Error> for PeerError {
    fn from(err: jsonrpsee::core::client::Error) -> Self {
        PeerError::Call(err.to_string())
    }
}

type ConnectionCell = Arc<OnceCell<Arc<WsClient>>>;

/// Pool of connections by address; clones share the pool.
#[derive(Clone, Debug)]
pub struct PeerPool {
    secret: Secret,
    connections: Arc<Mutex<IndexMap<String, ConnectionCell>>>,
}

impl PeerPool {
    /// Creates an empty pool.
    pub fn new(secret: Secret) -> Self {
        PeerPool { secret, connections: Arc::default() }
    }

    /// Returns the connection to the daemon at `address`, and opens it if
    /// necessary.
    pub async fn get(&self, address: &str) -> Result<Arc<WsClient>, PeerError> {
        let cell = self.cell(address);
        let client = cell.get_or_try_init(|| self.connect(address)).await?;
        Ok(client.clone())
    }

    /// Returns the cell of the connection to `address`. A lost connection is
    /// replaced by an empty cell.
    fn cell(&self, address: &str) -> ConnectionCell {
        let mut connections =
            self.connections.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let cell = connections.entry(address.to_owned()).or_default();
        if cell.get().is_some_and(|client| !client.is_connected()) {
            *cell = ConnectionCell::default();
        }
        cell.clone()
    }

    async fn connect(&self, address: &str) -> Result<Arc<WsClient>, PeerError> {
        let builder = WsClientBuilder::default()
            .connection_timeout(CONNECT_TIMEOUT)
            .request_timeout(REQUEST_TIMEOUT)
            .max_request_size(MESSAGE_MAX_BYTES)
            .max_response_size(MESSAGE_MAX_BYTES)
            .max_concurrent_requests(IN_FLIGHT_CALLS_MAX)
            .max_buffer_capacity_per_subscription(BUFFERED_EVENTS_MAX)
            .set_tcp_no_delay(true)
            // Probes already detect dead peers, and the cost of pings on
            // every connection would grow with the number of daemons.
            .disable_ws_ping()
            .set_headers(self.secret.headers());
        let connecting = builder.build(format!("ws://{address}"));
        match time::timeout(CONNECT_TIMEOUT, connecting).await {
            Err(_) => Err(PeerError::Timeout),
            Ok(Err(err)) => Err(PeerError::Connect(err.to_string())),
            Ok(Ok(client)) => Ok(Arc::new(client)),
        }
    }
}
