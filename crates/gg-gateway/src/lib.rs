//! The gateway: takes clients' requests, finds their route, places them on a
//! replica and passes the answers back, with the turns of programs kept in
//! the ledger.
//!
//! A request's walk stands in `proxy.rs`; each step has a module of its own.

mod admit;
mod answer;
mod buffer_budget;
mod call;
mod choice;
mod crash;
mod discovery;
mod events;
mod fleet;
mod ingress;
mod instance;
mod place;
mod pool;
mod prefix_cache;
mod programs;
mod proxy;
mod relay;
mod replica;
mod resume;
mod retry;
mod send;
mod state;
mod stream;

pub use admit::STREAM_LATE_SHARE;
pub use buffer_budget::{Held, Room};
pub use choice::{Candidate, ChoiceSettings, choose};
pub use events::{EventCount, Repeated, WholeEvents};
pub use fleet::Fleet;
pub use instance::{GatewayError, run_gateway, run_ledger};
pub use prefix_cache::KeptParts;
pub use programs::Programs;
pub use retry::{Next, Outcome, Tries};
