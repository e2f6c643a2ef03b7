//! Client of the platform: versioned objects with conditional updates and
//! watches, and the list of instances.

mod client;
mod error;
mod store;
mod types;

pub use client::{Platform, PlatformSettings};
pub use error::PlatformError;
pub use store::ObjectStore;
pub use types::{Changes, InstanceInfo, InstanceKind, InstanceState, Item, Listing, Object, When};
