//! Interface of a deployment's adapter, which converts between the names on
//! the deployment's wire and the types of this crate.

use std::time::Duration;

use bytes::Bytes;
use gg_platform::{Directory, Entry};
use gg_protocol::Name;
use http::HeaderMap;
use quick_error::quick_error;

use crate::{Configuration, Envelope, EnvelopeError, ResponseMarks, Upstream, UpstreamId};

quick_error! {
    /// Error while decoding an entry of the platform's directory.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum DecodeError {
        /// A field is missing, or has an unexpected type or value.
        Malformed(text: String) {
            display("malformed entry: {text}")
        }
    }
}

/// Conversion of the headers exchanged between clients, daemons and replicas.
pub trait HeaderCodec: Clone + Send + Sync + 'static {
    /// Parses the head of a client's request.
    fn envelope(&self, headers: &HeaderMap) -> Result<Envelope, EnvelopeError>;

    /// Removes the client's key, and what the client says about its account.
    fn remove_credential(&self, headers: &mut HeaderMap);

    /// Sets the headers of a request to `upstream`, which has the time
    /// `remaining` to respond, and names the account that it runs for. Removes
    /// headers that clients must not set.
    fn prepare(
        &self,
        headers: &mut HeaderMap,
        upstream: &UpstreamId,
        account: Option<&Name>,
        remaining: Duration,
    );

    /// Sets the headers to resume a stream after the event `last`.
    fn resume(&self, headers: &mut HeaderMap, last: &str);

    /// Parses the origin marks in a replica's response to `request`.
    fn marks(&self, headers: &HeaderMap, request: &str) -> ResponseMarks;
}

/// Decoding and encoding of entries of the platform's directory.
pub trait Codec: Clone + Send + Sync + 'static {
    /// Decodes a configuration.
    fn configuration(&self, entry: &Entry) -> Result<Configuration, DecodeError>;

    /// Decodes a replica.
    fn upstream(&self, entry: &Entry) -> Result<Upstream, DecodeError>;

    /// Encodes the status of an instance removal, either finished or still in
    /// progress.
    fn removal_status(&self, finished: bool) -> Bytes;
}

/// All interfaces that an adapter provides.
pub trait Deployment: HeaderCodec + Codec + Directory {}

impl<T: HeaderCodec + Codec + Directory> Deployment for T {}
