//! Client of tools and plain services.

mod client;

pub use client::{Service, ServiceError, ServiceReply};
