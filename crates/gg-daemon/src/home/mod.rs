//! The home role: owns programs, orders their steps and makes every change
//! durable before it is reported.

mod cell;
mod durable;
mod end;
mod read;
mod registry;
mod start;

pub(crate) use cell::HomeCell;
pub(crate) use durable::MOVE_RETRY_MS;
pub(crate) use end::program_ended;
pub(crate) use registry::{Home, HostedProgram};
pub(crate) use start::idempotency_object;
