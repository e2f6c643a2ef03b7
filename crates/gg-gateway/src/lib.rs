//! The gateway: accepts client requests, finds their route, places them on a
//! replica and relays the responses. Turns of programs are recorded in the
//! ledger.
//!
//! `proxy.rs` handles a request from start to end; each step has a module of
//! its own.

mod access;
mod account_credit;
mod admit;
mod buffer_budget;
mod call;
mod carry;
mod choice;
mod connect;
mod copy_guard;
mod crash;
mod credit;
mod departures;
mod discovery;
mod events;
mod fleet;
mod identity;
mod ingress;
mod instance;
mod pacing;
mod permit;
mod pieces;
mod place;
mod pool;
mod prefix_cache;
mod programs;
mod proxy;
mod rate_limit;
mod reach;
mod relay;
mod replica;
mod response;
mod resume;
mod retry;
mod revocation;
mod send;
mod state;
mod stream;
mod tunnel;
mod tunnel_peers;

pub use account_credit::{AccountCredit, Denial};
pub use admit::STREAM_LATE_SHARE;
pub use buffer_budget::{BufferBudget, Reservation};
pub use choice::{Candidate, Choice, ChoiceSettings, choose};
pub use copy_guard::{ANSWER_TIME, CopyUse, copy_use, is_doubtful};
pub use departures::Departures;
pub use events::{EventCount, EventSplitter, Repeated};
pub use fleet::{Fleet, FleetSettings, UpdateSource};
pub use identity::{IdentityError, identify, identify_again, owned_name};
pub use instance::{GatewayError, run_gateway, run_ledger};
pub use prefix_cache::PrefixCache;
pub use programs::Programs;
pub use rate_limit::{LimitChange, RateLimit};
pub use reach::{ConnectFailure, Path, PathChange, Reachability};
pub use retry::{Attempts, Outcome, RetryDecision};
pub use revocation::Revocation;
pub use tunnel_peers::{TunnelPeer, TunnelPeers};
