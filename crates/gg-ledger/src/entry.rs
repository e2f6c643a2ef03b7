//! What the ledger keeps.

use bytes::Bytes;
use gg_protocol::Name;
use serde::{Deserialize, Serialize};

use crate::CrashFact;

/// A finished turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRecord {
    /// Request that the turn was.
    pub turn: Name,
    /// Turn that it continued; none at the start of a chain.
    pub previous: Option<Name>,
    /// What the turn adds to the prompt of those that continue it: its input
    /// and its output.
    pub text: Bytes,
    /// Replica that ran it and has its prompt in memory.
    pub upstream: Name,
    /// Milliseconds for which the turn is kept after its last use.
    pub keep_ms: u32,
}

/// One line of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Line {
    /// A turn may spend up to `tokens` of its program's budget.
    Reserve {
        /// Program.
        program: Name,
        /// Turn.
        turn: Name,
        /// Most tokens.
        tokens: u32,
    },
    /// A turn has ended and spent `tokens`.
    Settle {
        /// Program.
        program: Name,
        /// Turn.
        turn: Name,
        /// Tokens handed to the client.
        tokens: u32,
    },
    /// A finished turn.
    Turn(TurnRecord),
    /// The partition was given up; earlier lines of it don't count.
    Forget,
    /// Nothing of an older epoch is acknowledged after this line.
    Epoch(u64),
    /// A crash as earlier versions kept it. Their digests can't be compared
    /// with today's, so it is passed over.
    Crash {
        /// Digest of the request.
        content: u64,
        /// Start of the replica.
        upstream: Name,
    },
    /// A fact about requests that crash replicas; belongs to no partition.
    Fact(CrashFact),
    /// Accounts are kept for at least so many milliseconds after their last
    /// use.
    Keep(u32),
}

/// A line and the partition that it belongs to.
pub type Placed = (u16, Line);
