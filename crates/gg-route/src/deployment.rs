//! What a deployment's adapter provides: the names on its wire, turned into
//! the product's types and back.

use std::time::Duration;

use bytes::Bytes;
use gg_platform::{Directory, Entry};
use http::HeaderMap;
use quick_error::quick_error;

use crate::{Configuration, Envelope, EnvelopeFault, ReplyMarks, Upstream, UpstreamId};

quick_error! {
    /// Why an entry of the platform can't be used.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum DecodeError {
        /// A field is missing, or of another type or value than expected.
        Malformed(text: String) {
            display("malformed entry: {text}")
        }
    }
}

/// Headers between clients, daemons and replicas.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Reads a client's request head.
    fn envelope(&self, headers: &HeaderMap) -> Result<Envelope, EnvelopeFault>;

    /// Sets the headers of a request that goes to `upstream`, which may take
    /// `left` over it. Takes out what a client must not set.
    fn prepare(&self, headers: &mut HeaderMap, upstream: &UpstreamId, left: Duration);

    /// Asks for a stream from the event after `last` on.
    fn resume(&self, headers: &mut HeaderMap, last: &str);

    /// Reads the marks of a replica's answer to `request`.
    fn marks(&self, headers: &HeaderMap, request: &str) -> ReplyMarks;
}

/// Entries of the platform's directory.
pub trait Codec: Clone + Send + Sync + 'static {
    /// Reads a configuration.
    fn configuration(&self, entry: &Entry) -> Result<Configuration, DecodeError>;

    /// Reads a replica.
    fn upstream(&self, entry: &Entry) -> Result<Upstream, DecodeError>;

    /// Status of a finished, or running, removal of an instance.
    fn removal_status(&self, finished: bool) -> Bytes;
}

/// Everything that an adapter provides.
pub trait Deployment: Dialect + Codec + Directory {}

impl<T: Dialect + Codec + Directory> Deployment for T {}
