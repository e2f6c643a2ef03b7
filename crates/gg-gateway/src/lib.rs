//! The gateway: takes clients' requests, finds their route, places them on a
//! replica and passes the answers back, with the turns of programs kept in
//! the ledger.
//!
//! A request's walk stands in `walk.rs`; each step has a module of its own.

mod admit;
mod answer;
mod call;
mod choice;
mod crash;
mod discovery;
mod events;
mod fleet;
mod held;
mod ingress;
mod instance;
mod kept;
mod place;
mod pool;
mod programs;
mod relay;
mod replica;
mod resume;
mod retry;
mod send;
mod state;
mod stream;
mod walk;

pub use admit::STREAM_LATE_SHARE;
pub use choice::{Candidate, ChoiceSettings, choose};
pub use events::{EventCount, Repeated, WholeEvents};
pub use fleet::Fleet;
pub use held::{Held, Room};
pub use instance::{GatewayError, run_gateway, run_ledger};
pub use kept::KeptParts;
pub use programs::Programs;
pub use retry::{Next, Outcome, Tries};
