//! Settings of processes and configuration documents, both in INI format.
//!
//! Parsing does not stop at the first fault: all faults of a file are returned,
//! each with its file, section, key, value and the allowed values.

mod accounts;
mod configuration;
mod daemon;
mod fault;
mod key_value;
mod node;
mod section;

pub use accounts::{AccountSettings, RateSettings};
pub use configuration::{Draft, parse_configuration, print_document};
pub use daemon::{
    COPIES_MAX_BYTES, DaemonSettings, ListenSettings, LogSettings, SAMPLE, TimingSettings,
};
pub use fault::{Fault, Faults};
pub use key_value::KeyValue;
pub use node::{DirectorySettings, GatewaySettings, LedgerSettings, Settings};
