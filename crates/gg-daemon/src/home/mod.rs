//! The home role: owns programs, keeps their order and makes every change
//! durable before it is told.

mod cell;
mod durable;
mod end;
mod read;
mod registry;
mod start;

pub(crate) use cell::HomeCell;
pub(crate) use durable::MOVE_RETRY_MS;
pub(crate) use end::ended;
pub(crate) use registry::{Home, Resident};
pub(crate) use start::anchor_key;
