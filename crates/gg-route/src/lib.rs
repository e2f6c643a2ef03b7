//! Routed requests: which service a request belongs to, what may be done
//! with it, and how a deployment's own words are turned into these types.

mod configuration;
mod deployment;
mod envelope;
mod table;
mod upstream;

pub use configuration::{ClientLimits, Configuration, Retention, Route, RouteKind, Service};
pub use deployment::{Codec, DecodeError, Deployment, Dialect};
pub use envelope::{Envelope, EnvelopeFault, Part, ReplyMarks, Turn};
pub use table::RouteTable;
pub use upstream::{Upstream, UpstreamId, UpstreamState};
