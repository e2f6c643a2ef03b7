//! The daemon: entry, home and dispatcher in one process, wired to the
//! packages of its peers.

mod adopt;
mod api;
mod config;
mod copies;
mod crash;
mod entry;
mod forecast;
mod home;
mod lock;
mod metrics;
mod node;
mod operators;
mod order;
mod outage;
mod question;
mod running;
mod shared;
mod slot;
mod step;
mod tasks;
mod upkeep;

pub use node::{DaemonError, run, run_until_signal, stop_on_signal};
