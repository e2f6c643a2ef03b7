//! Operator API of the daemon: the HTTP server, its client, and the commands of
//! the command line tool.

mod backend;
mod client;
mod commands;
mod server;

pub use backend::{
    Accepted, ChangeError, DaemonStatus, OperatorBackend, PeerStatus, VersionStatus,
};
pub use client::{OperatorClient, OperatorError};
pub use commands::{CommandLine, run};
pub use server::serve;
