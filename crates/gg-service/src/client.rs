//! HTTP client of tools and plain services.

use std::time::Duration;

use bytes::Bytes;
use gg_http::{Client, ClientSettings, HttpError};
use gg_protocol::{ProgramId, ServiceCall};
use http::{Method, Request, header};
use quick_error::quick_error;

/// Header that identifies the call, so that a service can recognise a
/// duplicate.
const CALL_HEADER: &str = "idempotency-key";

quick_error! {
    /// Error of a call to a service.
    #[derive(Debug)]
    pub enum ServiceError {
        /// The call was not sent, so the service did not execute it.
        Unsent(text: String) {
            display("call was not sent: {text}")
        }
        /// The call was sent and may have been executed.
        NoResponse(text: String) {
            display("call was sent but got no response: {text}")
        }
    }
}

impl From<HttpError> for ServiceError {
    fn from(err: HttpError) -> Self {
        match err.is_unsent() {
            true => ServiceError::Unsent(err.to_string()),
            false => ServiceError::NoResponse(err.to_string()),
        }
    }
}

/// Response of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceReply {
    /// HTTP status.
    pub status: u16,
    /// Body as text.
    pub body: String,
}

/// Limits for the replies of services, which become parts of prompts.
const REPLIES: ClientSettings = ClientSettings { reply_bytes: 8 << 20, total_bytes: 32 << 20 };

/// Client of services; clones share its connections.
#[derive(Clone, Debug)]
pub struct Service {
    client: Client,
}

impl Default for Service {
    fn default() -> Self {
        Service { client: Client::new(REPLIES) }
    }
}

impl Service {
    /// Sends a call once, without retries.
    pub async fn call(
        &self,
        address: &str,
        call: &ServiceCall,
        program: &ProgramId,
        turn: u32,
        timeout: Duration,
    ) -> Result<ServiceReply, ServiceError> {
        let path = call.path.trim_start_matches('/');
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}/{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .header(CALL_HEADER, format!("{program}/{turn}"))
            .body(Bytes::from(call.body.clone()))
            .map_err(HttpError::from)?;
        let reply = self.client.call(request, timeout).await?;
        let body = String::from_utf8_lossy(&reply.body).into_owned();
        Ok(ServiceReply { status: reply.status.as_u16(), body })
    }
}
