//! The ledger stores the turns of programs and what they spent on the disks of
//! several instances.
//!
//! Entries are immutable, so instances need no leader. An entry is acknowledged
//! once a write quorum has synced it, and a reader asks a read quorum, which
//! sees every acknowledged entry. The member sets are stored in the platform's
//! directory and change in two steps ([`LedgerSet`]).

mod abandonment;
mod account;
mod budget;
mod budget_check;
mod capacity;
mod chains;
mod change_progress;
mod client;
mod commits;
mod crashes;
mod credit_issuer;
mod credits;
mod directory_state;
mod encoding;
mod entry;
mod entry_filter;
mod error;
mod hash;
mod history;
mod index;
mod issuers;
mod layout_controller;
mod link;
mod links;
mod log_file;
mod log_time;
mod node;
mod partition_store;
mod permit_issuer;
mod permits;
mod plan;
mod poll;
mod polling_clients;
mod program_admission;
mod protocol;
mod pull;
mod quota;
mod recovery;
mod removal;
mod removal_reports;
mod segment;
mod serve;
mod set;
mod sources;
mod view;

pub use abandonment::Abandonment;
pub use account::{LastRun, SettledTurns, TurnSpend};
pub use budget_check::{AccountReport, BudgetCheck, MergedAccount};
pub use capacity::{Capacity, Opener, Usage};
pub use client::{Ledger, OpenRequest, OpenedTurn, TurnKey};
pub use crashes::{AgedFact, CrashFact, CrashFacts, RequestFingerprint};
pub use credit_issuer::{AccountUse, CreditIssuer, CreditReply, CreditRequest, CreditUse};
pub use credits::digest;
pub use encoding::encode_entry;
pub use entry::{LogEntry, PartitionEntry, TurnRecord};
pub use entry_filter::EntryFilter;
pub use error::LedgerError;
pub use index::{Chain, Index, IndexBytes, StoredChain, StoredText};
pub use layout_controller::{LayoutController, LayoutControllerSettings};
pub use log_file::{LogFile, LogReader, RecoveryStats};
pub use log_time::{LogClock, LogTime};
pub use node::{Node, NodeError, NodeSettings};
pub use permit_issuer::{LimitReport, PermitIssuer, PermitReply, PermitRequest};
pub use permits::permit_issuers;
pub use plan::{LayoutPlan, ReplacementTimeouts};
pub use poll::{PollReply, PollTunnels};
pub use polling_clients::{OverloadReport, PollingClients, TunnelOffer};
pub use program_admission::{CreditState, ProgramAdmission, ProgramMeans};
pub use protocol::TEXT_MAX_BYTES;
pub use quota::{CREDIT_ISSUERS, CreditLimit, QuotaBounds};
pub use removal::RemovalBlock;
pub use segment::{Location, StoredContent, StoredEntry};
pub use set::{LAYOUT_NAME, Layout, LedgerSet, Member, Registration};
pub use sources::watchers;
