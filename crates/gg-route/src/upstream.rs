//! Replicas as the platform lists them.

use std::net::SocketAddr;

use gg_protocol::Name;

/// One start of one replica. A replica that starts again is another one,
/// also under the same name and address.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct UpstreamId {
    /// Name that the replica answers to.
    pub name: Name,
    /// Unix milliseconds of its start; 0 if it doesn't say.
    pub born_ms: u64,
}

/// Whether a replica takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// Takes work.
    Ready,
    /// Is about to leave; finishes what it has.
    Draining,
}

/// A replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Identity.
    pub id: UpstreamId,
    /// Service that it runs.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: Name,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// State as reported.
    pub state: UpstreamState,
}
