//! HTTP client and server shared by the packages of the workspace: a client with
//! timeouts and connection reuse, and a server with limits and graceful shutdown.

mod blocks;
mod body;
mod client;
mod client_socket;
mod error;
mod memory_budget;
mod reply_budget;
mod request_body;
mod server;
mod socket;

pub use blocks::Blocks;
pub use body::Body;
pub use client::{Client, ClientSettings, Reply};
pub use error::HttpError;
pub use memory_budget::{MemoryBudget, MemoryError, Reservation};
pub use request_body::{ClientConnection, HeldBody, read_body};
pub use server::{PeerAddress, ServerLimits, json_response, serve, serve_with};
pub use socket::{configure_socket, connect_socket, listen_socket};
