//! Client of model engines: streamed completions, cache release, orders,
//! engine state and cache events.

mod client;
mod error;
mod limited;
mod stream;
mod wire;

pub use client::Engine;
pub use error::EngineError;
pub use stream::{ChatStream, EngineEvent};
pub use wire::{CacheEvent, EngineState, Order, OrderKind};
