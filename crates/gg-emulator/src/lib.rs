//! Simulates gateways, replicas and client programs in virtual time, so that a
//! test covers seconds of traffic in milliseconds. The decisions are made by the
//! code that gateways run ([`gg_dispatch::Admission`], [`gg_gateway::choose`]).
//!
//! ```
//! use gg_emulator::{Experiment, Load, Policy, run};
//!
//! let load = Load { seconds: 5.0, ..Load::default() };
//! let outcome = run(&Experiment { load, policy: Policy::default(), ..Experiment::default() }, 1);
//! assert!(outcome.kinds.iter().all(|kind| kind.in_target == kind.offered));
//! ```

mod clock;
mod engine;
mod gateway;
mod load;
mod report;
mod run;

pub use engine::EngineSettings;
pub use gateway::{Placement, Policy};
pub use load::{Flood, Kind, Load};
pub use report::{KindOutcome, Outcome, plot, table};
pub use run::{Experiment, Slowdown, run};
