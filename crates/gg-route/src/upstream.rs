//! Replicas listed by the platform.

use std::net::SocketAddr;

use gg_protocol::Name;

/// Identity of one incarnation of a replica. A replica that restarts has a new
/// identity, even under the same name and address.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct UpstreamId {
    /// Name of the replica.
    pub name: Name,
    /// Start time in Unix milliseconds; 0 if the replica does not report it.
    pub started_ms: u64,
}

/// Whether a replica accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// Accepts new work.
    Ready,
    /// Finishes its requests in progress and accepts no new work.
    Draining,
}

/// A replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Identity of the replica's incarnation.
    pub id: UpstreamId,
    /// Service that the replica belongs to.
    pub service: Name,
    /// Address that the replica listens on.
    pub address: SocketAddr,
    /// Data centre of the replica.
    pub centre: Name,
    /// Number of requests that the replica processes concurrently.
    pub slots: u32,
    /// State reported by the replica.
    pub state: UpstreamState,
}
