//! Messages between daemons other than steps.

use serde::{Deserialize, Serialize};

use crate::{JournalId, Name, ProgramId, Rank, config::Versioned};

/// A probe of a peer's liveness, with news riding along.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Probe {
    /// Journal of the sender.
    pub from: JournalId,
    /// Highest configuration version that the sender has in force.
    pub config: u64,
    /// Instances that the sender can't reach.
    pub suspects: Vec<Name>,
}

/// Answer to a [`Probe`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProbeReply {
    /// Journal of the receiver.
    pub journal: JournalId,
    /// Highest configuration version that the receiver has in force.
    pub config: u64,
    /// Instances that the receiver can't reach.
    pub suspects: Vec<Name>,
}

/// Configuration documents newer than the asker's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigNews {
    /// Changed documents.
    pub documents: Vec<(Name, Versioned)>,
}

/// Asks a dispatcher for a slot on one of its replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Identifies the request until it is released.
    pub ticket: u64,
    /// Home that asks.
    pub home: JournalId,
    /// Upstream wanted.
    pub upstream: Name,
    /// Program that the call belongs to.
    pub program: ProgramId,
    /// Customer of the program.
    pub customer: Name,
    /// Rank of the program's profile.
    pub rank: Rank,
    /// Whether the program has finished a turn already.
    pub under_way: bool,
    /// Wall time by which the whole program is to finish, in ms.
    pub deadline_ms: u64,
    /// Longest wait that makes the slot worth having, in ms.
    pub patience_ms: u64,
    /// Refuse at once when the expected wait is longer, in ms.
    pub max_wait_ms: Option<u64>,
    /// Expected engine time, in ms.
    pub cost_ms: u64,
    /// Whether the call has to run with no other on the replica, because it
    /// was under way in a crash.
    #[serde(default)]
    pub alone: bool,
}

/// Answer to a [`SlotRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotReply {
    /// The slot is the asker's until released.
    Granted {
        /// Time spent in the queue, in ms.
        waited_ms: u64,
    },
    /// Waiting would take longer than asked for.
    Busy {
        /// Expected wait, in ms.
        wait_ms: u64,
    },
    /// The replica takes no new work.
    Closed,
    /// Nothing came free within the patience of the request.
    Expired,
}

/// How a call on a slot went.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotOutcome {
    /// It finished.
    Finished {
        /// Time to the first token, in ms.
        first_ms: f64,
        /// Mean time between tokens, in ms.
        token_ms: f64,
        /// Whole time on the replica, in ms.
        total_ms: f64,
    },
    /// The asker gave up, before or after it got the slot.
    Cancelled,
    /// The upstream refused or failed the call without crashing.
    Failed,
    /// The upstream went away during the call.
    Crashed,
}

/// Gives a slot back, or leaves the queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotRelease {
    /// Ticket of the request.
    pub ticket: u64,
    /// Home that asked.
    pub home: JournalId,
    /// Upstream that was asked for.
    pub upstream: Name,
    /// How it went.
    pub outcome: SlotOutcome,
}

/// Load of one replica as its dispatcher sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueView {
    /// The upstream.
    pub upstream: Name,
    /// Calls in flight.
    pub in_flight: u32,
    /// Present limit on calls in flight.
    pub limit: u32,
    /// Calls waiting, by rank.
    pub waiting: Vec<u32>,
    /// Expected wait of a call of each rank, in ms.
    pub wait_ms: Vec<u64>,
}
