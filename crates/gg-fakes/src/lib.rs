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

pub use callers::{CallResult, CallerClient, ChatReply, StreamTimes, read_stream};
pub use engine::{
    CRASH_MARKER, EngineCosts, EngineStats, FakeEngine, HANG_MARKER, expected_answer,
};
pub use fleet::{
    CUSTOMERS, DaemonCommand, DaemonProcess, Fleet, FleetSettings, free_address, start_process,
};
pub use history::{Event, EventLog, Violation, check};
pub use platform::{CallCounts, FakePlatform, Faults};
pub use random::Random;
pub use report::{Row, print_rows, recompute_ratio, summarize};
pub use scenario::{Fault, RunReport, ScenarioPlan, run_scenario};
pub use service::FakeService;
pub use store::MemoryStore;
pub use trace::{Outcome, ProgramTrace, TurnTrace, read_trace, replay};
