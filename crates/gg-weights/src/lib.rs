//! Permits that limit concurrent loads from the rate-limited weight store.

mod permits;

pub use permits::{PermitError, PermitSettings, Permits};
