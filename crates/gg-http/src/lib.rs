//! HTTP client and server shared by the packages of the workspace: a client with
//! timeouts and connection reuse, and a server with limits and graceful shutdown.

mod body;
mod client;
mod error;
mod reply_budget;
mod server;
mod socket;

pub use body::Body;
pub use client::{Client, ClientSettings, Reply};
pub use error::HttpError;
pub use server::{PeerAddress, ServerLimits, json_response, read_body, serve, serve_with};
pub use socket::{configure_socket, connect_socket, listen_socket};
