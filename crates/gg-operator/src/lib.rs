//! The operators' interface: HTTP on the daemon's side, and the commands of
//! the command line.

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
