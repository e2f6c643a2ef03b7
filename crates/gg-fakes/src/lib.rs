//! Stand-ins for what the system talks to, for tests, examples and benches:
//! a platform, model engines, services, callers, and a fleet of daemons.

mod callers;
mod engine;
mod fleet;
mod history;
mod platform;
mod random;
mod service;
mod trace;

pub use callers::{CallerClient, ChatReply, Told};
pub use engine::{EngineCosts, EngineStats, FakeEngine};
pub use fleet::{CUSTOMERS, DaemonProcess, Fleet, FleetSettings, Starter};
pub use history::{Event, EventLog, Violation, check};
pub use platform::{CallCounts, FakePlatform, Faults};
pub use random::Random;
pub use service::FakeService;
pub use trace::{Outcome, ProgramShape, TurnShape, play, shapes};
