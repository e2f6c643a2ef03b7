//! Permits to draw on the rate-limited weight store.

mod permits;

pub use permits::{PermitError, PermitSettings, Permits};
