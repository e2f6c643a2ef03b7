//! Request routing: routes, services and replicas, and the traits that a
//! deployment's adapter implements to convert its own names to these types.

mod account;
mod account_index;
mod configuration;
mod deployment;
mod envelope;
mod table;
mod upstream;

pub use account::{Account, AccountRate, Credential, KeyDigest};
pub use configuration::{ClientLimits, Configuration, Retention, Route, RouteKind, Service};
pub use deployment::{Codec, DecodeError, Deployment, HeaderCodec};
pub use envelope::{Envelope, EnvelopeError, PromptPart, ResponseMarks, Turn};
pub use table::RouteTable;
pub use upstream::{Upstream, UpstreamId, UpstreamState};
