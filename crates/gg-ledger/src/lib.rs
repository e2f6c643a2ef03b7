//! The ledger: turns of programs and what they spent, kept on the disks of
//! several instances.
//!
//! Entries are never changed once they are written, so instances need no
//! leader: whoever writes one waits until enough disks have synced it, and
//! whoever reads asks enough instances to see everything that was
//! acknowledged. The set of instances that count is agreed in the platform's
//! directory and changes in two steps ([`LedgerSet`]).

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
mod plan;
mod poll;
mod polling_clients;
mod protocol;
mod pull;
mod serve;
mod set;
mod sources;
mod view;

pub use client::{Ledger, OpenRequest, Opened, TurnKey};
pub use crashes::{AgedFact, Content, CrashFact, Crashes};
pub use entry::{Line, Placed, TurnRecord};
pub use error::LedgerError;
pub use index::{Chain, Index, LastRun};
pub use layout_controller::{Keeper, KeeperSettings};
pub use log_file::{LogFile, LogSettings, Recovered, encode_line};
pub use node::{Node, NodeError, NodeSettings};
pub use plan::{Patience, Plan};
pub use poll::Heard;
pub use polling_clients::{Askers, Strains};
pub use set::{LAYOUT_NAME, Layout, LedgerSet, Member, Registration};
pub use sources::watchers;
