//! Settings of a daemon and configuration documents, both written in INI.
//!
//! A file is checked whole: every fault is listed with its file, section,
//! key, value and what is allowed.

mod configuration;
mod daemon;
mod fault;
mod node;
mod section;

pub use configuration::{Draft, parse_configuration, print_document};
pub use daemon::{DaemonSettings, ListenSettings, LogSettings, SAMPLE, TimingSettings};
pub use fault::{Fault, Faults};
pub use node::{DirectorySettings, GatewaySettings, LedgerSettings, Settings};
