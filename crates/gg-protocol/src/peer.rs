//! Messages between daemons, except for steps.

use serde::{Deserialize, Serialize};

use crate::{JournalId, Name, ProgramId, Rank, config::Versioned};

/// Liveness probe of a peer. It also carries the sender's configuration
/// version and suspicions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Probe {
    /// Journal of the sender.
    pub from: JournalId,
    /// Highest configuration version in force at the sender.
    pub config: u64,
    /// Instances that the sender can't reach.
    pub suspects: Vec<Name>,
}

/// Response to a [`Probe`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProbeReply {
    /// Journal of the receiver.
    pub journal: JournalId,
    /// Highest configuration version in force at the receiver.
    pub config: u64,
    /// Instances that the receiver can't reach.
    pub suspects: Vec<Name>,
}

/// Configuration updates: documents newer than those of the polling client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigUpdates {
    /// Changed documents.
    pub documents: Vec<(Name, Versioned)>,
}

/// Requests a slot on a replica from its dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Identifies the request until its slot is released.
    pub ticket: u64,
    /// Home that sends the request.
    pub home: JournalId,
    /// Requested upstream.
    pub upstream: Name,
    /// Program that the call belongs to.
    pub program: ProgramId,
    /// Customer of the program.
    pub customer: Name,
    /// Rank of the program's profile.
    pub rank: Rank,
    /// Whether the program has already finished a turn.
    pub under_way: bool,
    /// Deadline of the whole program, as wall time in ms.
    pub deadline_ms: u64,
    /// Maximum time to wait for the slot, in ms.
    pub patience_ms: u64,
    /// If the expected wait is longer than this, in ms, the request is
    /// rejected immediately.
    pub max_wait_ms: Option<u64>,
    /// Expected engine time, in ms.
    pub cost_ms: u64,
    /// Whether the call must run with no other call on the replica, because it
    /// was in flight during a crash.
    #[serde(default)]
    pub alone: bool,
}

/// Response to a [`SlotRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotReply {
    /// The slot is assigned to the requester until it is released.
    Granted {
        /// Time spent in the queue, in ms.
        waited_ms: u64,
    },
    /// The queue is full, or the expected wait exceeds `max_wait_ms`.
    Busy {
        /// Expected wait, in ms.
        wait_ms: u64,
    },
    /// The replica accepts no new work.
    Closed,
    /// No slot became free within the request's wait timeout.
    Expired,
}

/// Outcome of a call that held a slot.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotOutcome {
    /// The call finished.
    Finished {
        /// Time to the first token, in ms.
        first_ms: f64,
        /// Mean time between tokens, in ms.
        token_ms: f64,
        /// Total time on the replica, in ms.
        total_ms: f64,
    },
    /// The requester cancelled the call, before or after the slot was granted.
    Cancelled,
    /// The upstream rejected or failed the call without crashing.
    Failed,
    /// The upstream crashed or became unreachable during the call.
    Crashed,
}

/// Releases a slot, or removes the request from the queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotRelease {
    /// Ticket of the request.
    pub ticket: u64,
    /// Home that requested the slot.
    pub home: JournalId,
    /// Upstream of the slot.
    pub upstream: Name,
    /// Outcome of the call.
    pub outcome: SlotOutcome,
}

/// Load of one replica, as known to its dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueView {
    /// The upstream.
    pub upstream: Name,
    /// Calls in flight.
    pub in_flight: u32,
    /// Current limit on calls in flight.
    pub limit: u32,
    /// Number of waiting calls, by rank.
    pub waiting: Vec<u32>,
    /// Expected wait of a new call, by rank, in ms.
    pub wait_ms: Vec<u64>,
}
