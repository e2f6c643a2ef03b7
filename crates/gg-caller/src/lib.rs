//! HTTP interface for callers: chat completions with program headers, programs
//! as resources, and calls to services.

mod backend;
mod chat;
mod errors;
mod json_memory;
mod request;
mod routes;
mod server;

pub use backend::Backend;
pub use server::{CallerSettings, serve};
