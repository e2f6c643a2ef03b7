//! Records that the ledger stores.

use bytes::Bytes;
use gg_protocol::Name;
use serde::{Deserialize, Serialize};

use crate::CrashFact;

/// A completed turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRecord {
    /// Request that ran as this turn.
    pub turn: Name,
    /// Turn that it continues; none at the start of a chain.
    pub previous: Option<Name>,
    /// Text that the turn adds to the prompt of its successors: its input and
    /// its output.
    pub text: Bytes,
    /// Replica that ran the turn and holds its prompt in the prefix cache.
    pub upstream: Name,
    /// Milliseconds for which the turn is retained after its last use.
    pub keep_ms: u32,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogEntry {
    /// Reserves up to `tokens` of the program's budget for a turn.
    Reserve {
        /// Program that pays for the turn.
        program: Name,
        /// Turn that reserves the tokens.
        turn: Name,
        /// Maximum number of tokens.
        tokens: u32,
    },
    /// Records that a turn ended and spent `tokens`.
    Settle {
        /// Program that pays for the turn.
        program: Name,
        /// Turn that ended.
        turn: Name,
        /// Tokens delivered to the client.
        tokens: u32,
    },
    /// A completed turn.
    Turn(TurnRecord),
    /// The instance no longer holds the partition; turns and accounts in its
    /// earlier entries are void.
    DropPartition,
    /// No request of an older epoch is acknowledged after this entry.
    Epoch(u64),
    /// A crash as recorded by earlier versions. It is ignored, because its
    /// digests can't be compared with current ones.
    Crash {
        /// Digest of the request.
        content: u64,
        /// Incarnation of the replica.
        upstream: Name,
    },
    /// A fact about requests that crash replicas. Belongs to no partition.
    Fact(CrashFact),
    /// Minimum time in milliseconds for which accounts are retained after their
    /// last use.
    Retention(u32),
}

/// A log entry and the partition that it belongs to.
pub type PartitionEntry = (u16, LogEntry);
