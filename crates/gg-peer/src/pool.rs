//! Connections to other daemons, one for each, made on first use.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use indexmap::IndexMap;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use quick_error::quick_error;
use tokio::{sync::OnceCell, time};

use crate::Secret;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for an answer; waits for slots are bounded by it as well.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(600);

/// Largest message, in bytes.
const MESSAGE_MAX_BYTES: u32 = 64 << 20;

/// Calls under way at a time on one connection.
const CALLS_MAX: usize = 65_536;

/// Events kept for a slow reader before the stream is closed.
const EVENTS_MAX: usize = 4096;

quick_error! {
    /// Why a peer could not be asked.
    #[derive(Debug)]
    pub enum PeerError {
        /// No connection.
        Connect(text: String) {
            display("can't connect to peer: {text}")
        }
        /// The connection broke or the peer failed.
        Call(text: String) {
            display("peer call failed: {text}")
        }
        /// No answer in time.
        Timeout {
            display("peer did not answer in time")
        }
    }
}

impl From<jsonrpsee::core::client::Error> for PeerError {
    fn from(err: jsonrpsee::core::client::Error) -> Self {
        PeerError::Call(err.to_string())
    }
}

type Cell = Arc<OnceCell<Arc<WsClient>>>;

/// Connections by address; clones share them.
#[derive(Clone, Debug)]
pub struct Peers {
    secret: Secret,
    cells: Arc<Mutex<IndexMap<String, Cell>>>,
}

impl Peers {
    /// A pool without connections.
    pub fn new(secret: Secret) -> Self {
        Peers { secret, cells: Arc::default() }
    }

    /// The connection to the daemon at `address`.
    pub async fn get(&self, address: &str) -> Result<Arc<WsClient>, PeerError> {
        let cell = self.cell(address);
        let client = cell.get_or_try_init(|| self.connect(address)).await?;
        Ok(client.clone())
    }

    /// A connection that has broken is not handed out again.
    fn cell(&self, address: &str) -> Cell {
        let mut cells = self.cells.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let cell = cells.entry(address.to_owned()).or_default();
        if cell.get().is_some_and(|client| !client.is_connected()) {
            *cell = Cell::default();
        }
        cell.clone()
    }

    async fn connect(&self, address: &str) -> Result<Arc<WsClient>, PeerError> {
        let builder = WsClientBuilder::default()
            .connection_timeout(CONNECT_TIMEOUT)
            .request_timeout(REQUEST_TIMEOUT)
            .max_request_size(MESSAGE_MAX_BYTES)
            .max_response_size(MESSAGE_MAX_BYTES)
            .max_concurrent_requests(CALLS_MAX)
            .max_buffer_capacity_per_subscription(EVENTS_MAX)
            .set_tcp_no_delay(true)
            // Probes tell whether a peer lives; pings on every connection
            // would grow with the fleet.
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
