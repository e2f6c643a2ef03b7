//! Fakes of the system's dependencies for tests, examples and benchmarks: a
//! platform, model engines, services, callers, and a fleet of daemons.

mod callers;
mod engine;
mod fleet;
mod history;
mod platform;
mod random;
mod report;
mod scenario;
mod service;
mod store;
mod trace;

pub use callers::{CallerClient, ChatReply, StreamTimes, Told, read_stream};
pub use engine::{CRASH_MARK, EngineCosts, EngineStats, FakeEngine, HANG_MARK, expected_answer};
pub use fleet::{
    CUSTOMERS, DaemonProcess, Fleet, FleetSettings, Starter, free_address, start_process,
};
pub use history::{Event, EventLog, Violation, check};
pub use platform::{CallCounts, FakePlatform, Faults};
pub use random::Random;
pub use report::{Row, print_rows, recomputed, summarize};
pub use scenario::{Fault, Plan, RunReport, run_scenario};
pub use service::FakeService;
pub use store::MemoryStore;
pub use trace::{Outcome, ProgramShape, TurnShape, play, shapes};
