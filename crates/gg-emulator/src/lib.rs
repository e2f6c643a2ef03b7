//! Replays loads of programs against the gateway's decisions in virtual time:
//! seconds of a day in milliseconds of a test, with the same decision types
//! ([`gg_dispatch::Admission`], [`gg_gateway::choose`]) that gateways run.
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
pub use gateway::{Placing, Policy};
pub use load::{Flood, Kind, Load};
pub use report::{KindOutcome, Outcome, plot, table};
pub use run::{Experiment, Slowdown, run};
