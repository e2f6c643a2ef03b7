//! JSON-RPC between daemons: the interface, its server and a connection pool.

mod api;
mod auth;
mod pool;
mod server;

pub use api::{PeerApiClient, PeerApiServer};
pub use auth::Secret;
pub use jsonrpsee::{
    PendingSubscriptionSink, SubscriptionMessage,
    core::{RpcResult, SubscriptionResult, async_trait, client::Subscription},
    ws_client::WsClient,
};
pub use pool::{PeerError, PeerPool};
pub use server::serve;
