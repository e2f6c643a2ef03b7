//! Client of the operator API.

use std::time::Duration;

use bytes::Bytes;
use gg_http::{Client, HttpError, Reply};
use gg_protocol::{Name, ProgramId, ProgramView, config::Versioned};
use http::{Method, Request, header};
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{Accepted, DaemonStatus, VersionStatus, server::FORCE_HEADER};

/// Timeout of a whole request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

quick_error! {
    /// Errors of an operator request.
    #[derive(Debug)]
    pub enum OperatorError {
        /// The HTTP request to the daemon failed.
        Http(err: HttpError) {
            from()
            display("{err}")
        }
        /// The daemon responded with an error status.
        Refused(status: u16, message: String, help: String, body: Value) {
            display("{message}")
        }
    }
}

/// Client of the operator API of one daemon.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    address: String,
    key: String,
    client: Client,
}

impl OperatorClient {
    /// Creates a client for the operator API at `address`, authorized by `key`.
    pub fn new(address: &str, key: &str) -> Self {
        OperatorClient { address: address.into(), key: key.into(), client: Client::default() }
    }

    /// Reads the state of the daemon.
    pub async fn status(&self) -> Result<DaemonStatus, OperatorError> {
        self.json(Method::GET, "/status", "", false).await
    }

    /// Reads all configuration documents in force.
    pub async fn documents(&self) -> Result<Vec<(Name, Versioned)>, OperatorError> {
        self.json(Method::GET, "/config", "", false).await
    }

    /// Reads the versions of all documents in force.
    pub async fn versions(&self) -> Result<Vec<VersionStatus>, OperatorError> {
        self.json(Method::GET, "/versions", "", false).await
    }

    /// Applies the documents in `text`. With `forced`, the daemon does not check
    /// the versions that the documents are based on.
    pub async fn apply(&self, text: &str, forced: bool) -> Result<Vec<Accepted>, OperatorError> {
        self.json(Method::POST, "/config", text, forced).await
    }

    /// Removes a document.
    pub async fn remove(&self, key: &str) -> Result<Vec<Accepted>, OperatorError> {
        self.json(Method::DELETE, &format!("/config/{key}"), "", false).await
    }

    /// Reads the state of a program.
    pub async fn program(&self, program: &ProgramId) -> Result<ProgramView, OperatorError> {
        self.json(Method::GET, &format!("/programs/{program}"), "", false).await
    }

    /// Ends a program.
    pub async fn end(&self, program: &ProgramId) -> Result<(), OperatorError> {
        self.json(Method::DELETE, &format!("/programs/{program}"), "", false).await
    }

    /// Starts a planned stop of the daemon.
    pub async fn drain(&self) -> Result<Value, OperatorError> {
        self.json(Method::POST, "/drain", "", false).await
    }

    async fn json<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &str,
        forced: bool,
    ) -> Result<T, OperatorError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key));
        if forced {
            request = request.header(FORCE_HEADER, "yes");
        }
        let request = request.body(Bytes::from(body.to_owned())).map_err(HttpError::from)?;
        let reply = self.client.call(request, REQUEST_TIMEOUT).await?;
        if !reply.status.is_success() {
            return Err(error_from_reply(&reply));
        }
        Ok(reply.json()?)
    }
}

fn error_from_reply(reply: &Reply) -> OperatorError {
    let body: Value = reply.json().unwrap_or_default();
    let text = |field: &str| body["error"][field].as_str().unwrap_or_default().to_owned();
    OperatorError::Refused(reply.status.as_u16(), text("message"), text("help"), body.clone())
}
