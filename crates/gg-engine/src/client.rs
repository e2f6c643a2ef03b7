//! HTTP client of model engines.

use std::time::Duration;

use bytes::Bytes;
use gg_http::{Client, ClientSettings, Reply};
use gg_protocol::{ChatCall, Message, ProgramId};
use http::{Method, Request, header};
use serde::Serialize;
use serde_json::json;

use crate::{CacheEvent, ChatStream, EngineError, EngineState, Order, wire::ChatBody};

/// Timeout of all requests but completions.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Limits for the replies of engines, which are short but for lists of cache events.
const REPLIES: ClientSettings = ClientSettings { reply_bytes: 4 << 20, total_bytes: 16 << 20 };

/// Client of model engines; clones share its connections.
#[derive(Clone, Debug)]
pub struct Engine {
    client: Client,
}

impl Default for Engine {
    fn default() -> Self {
        Engine { client: Client::new(REPLIES) }
    }
}

impl Engine {
    /// Starts a streamed completion of `messages`. `timeout` bounds the wait
    /// for the response head, and after that each interval between events.
    pub async fn chat(
        &self,
        address: &str,
        call: &ChatCall,
        messages: &[Message],
        program: &ProgramId,
        timeout: Duration,
    ) -> Result<ChatStream, EngineError> {
        let program = program.to_string();
        let body = ChatBody::new(call, messages, &program);
        let request = post(address, "/v1/chat/completions", &body)?;
        let response = self.client.open(request, timeout).await?;
        let status = response.status();
        if !status.is_success() {
            return Err(EngineError::Refused(status.as_u16(), status.to_string()));
        }
        Ok(ChatStream::new(response.into_body(), call.max_tokens, timeout))
    }

    /// Releases the engine's cache of an ended program. Returns once the engine
    /// confirms the release.
    pub async fn release(&self, address: &str, program: &ProgramId) -> Result<(), EngineError> {
        let body = json!({"program": program});
        let request = post(address, "/v1/cache/release", &body)?;
        let reply = self.client.call(request, CONTROL_TIMEOUT).await?;
        expect_success(&reply)
    }

    /// Sends an order to the engine.
    pub async fn order(&self, address: &str, order: &Order) -> Result<(), EngineError> {
        let request = post(address, "/v1/orders", order)?;
        let reply = self.client.call(request, CONTROL_TIMEOUT).await?;
        expect_success(&reply)
    }

    /// Reads the engine's state.
    pub async fn state(&self, address: &str) -> Result<EngineState, EngineError> {
        let reply = self.get(address, "/v1/state").await?;
        Ok(reply.json()?)
    }

    /// Reads the cache events with numbers above `after`.
    pub async fn cache_events(
        &self,
        address: &str,
        after: u64,
    ) -> Result<Vec<CacheEvent>, EngineError> {
        let reply = self.get(address, &format!("/v1/cache/events?after={after}")).await?;
        Ok(reply.json()?)
    }

    async fn get(&self, address: &str, path: &str) -> Result<Reply, EngineError> {
        let uri = format!("http://{address}{path}");
        let request = Request::builder().uri(uri).body(Bytes::new())?;
        let reply = self.client.call(request, CONTROL_TIMEOUT).await?;
        expect_success(&reply)?;
        Ok(reply)
    }
}

fn post<T: Serialize>(address: &str, path: &str, body: &T) -> Result<Request<Bytes>, EngineError> {
    let body = serde_json::to_vec(body)?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Bytes::from(body))?;
    Ok(request)
}

fn expect_success(reply: &Reply) -> Result<(), EngineError> {
    if reply.status.is_success() {
        return Ok(());
    }
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    Err(EngineError::Refused(reply.status.as_u16(), text))
}
