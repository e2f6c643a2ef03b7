//! The ledger stores the turns of programs and what they spent on the disks of
//! several instances.
//!
//! Entries are immutable, so instances need no leader. An entry is acknowledged
//! once a write quorum has synced it, and a reader asks a read quorum, which
//! sees every acknowledged entry. The member sets are stored in the platform's
//! directory and change in two steps ([`LedgerSet`]).

mod client;
mod crashes;
mod entry;
mod error;
mod index;
mod layout_controller;
mod link;
mod links;
mod log_file;
mod node;
mod partition_store;
mod permit_issuer;
mod permits;
mod plan;
mod poll;
mod polling_clients;
mod protocol;
mod pull;
mod serve;
mod set;
mod sources;
mod view;

pub use client::{Ledger, OpenRequest, OpenedTurn, TurnKey};
pub use crashes::{AgedFact, CrashFact, CrashFacts, RequestFingerprint};
pub use entry::{LogEntry, PartitionEntry, TurnRecord};
pub use error::LedgerError;
pub use index::{Chain, Index, LastRun};
pub use layout_controller::{LayoutController, LayoutControllerSettings};
pub use log_file::{LogFile, LogSettings, RecoveryStats, encode_entry};
pub use node::{Node, NodeError, NodeSettings};
pub use permit_issuer::{LimitReport, PermitIssuer, PermitReply, PermitRequest};
pub use permits::permit_issuers;
pub use plan::{LayoutPlan, ReplacementTimeouts};
pub use poll::{PollReply, PollTunnels};
pub use polling_clients::{OverloadReport, PollingClients, TunnelOffer};
pub use set::{LAYOUT_NAME, Layout, LedgerSet, Member, Registration};
pub use sources::watchers;
