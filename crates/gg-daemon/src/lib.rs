//! The daemon: the entry, home and dispatcher roles in one process, and the
//! connections between them and to other daemons.

mod adopt;
mod api;
mod config;
mod copies;
mod crash;
mod ended_histories;
mod entry;
mod forecast;
mod history_memory;
mod home;
mod home_request;
mod lock;
mod metrics;
mod node;
mod operators;
mod order;
mod outage;
mod running;
mod shared;
mod slot;
mod step;
mod tasks;
mod upkeep;

pub use node::{DaemonError, run, run_until_signal, stop_on_signal};
