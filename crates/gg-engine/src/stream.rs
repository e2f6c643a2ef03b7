//! Decoding of a streamed completion.

use std::time::Duration;

use eventsource_stream::{EventStream, Eventsource};
use futures::StreamExt;
use gg_protocol::Usage;
use hyper::body::Incoming;
use tokio::time;

use crate::{
    EngineError,
    limited::{EventBytes, LimitedBody},
    wire::ChatChunk,
};

/// Event of a streamed completion.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// Text that continues the completion.
    Text(String),
    /// The end of the completion.
    Done {
        /// The engine's finish reason.
        finish: String,
        /// Tokens used.
        usage: Usage,
    },
}

/// Event data that marks the end of the stream.
const DONE_MARKER: &str = "[DONE]";

/// A completion in progress. Dropping it closes the connection, which makes
/// the engine stop generating.
pub struct ChatStream {
    events: EventStream<LimitedBody>,
    event_bytes: EventBytes,
    idle: Duration,
    finish: Option<String>,
    usage: Option<Usage>,
}

impl ChatStream {
    /// Reads events of at most `tokens` tokens from a response body; `idle` is the
    /// timeout between two events.
    pub(crate) fn new(body: Incoming, tokens: u64, idle: Duration) -> Self {
        let event_bytes = EventBytes::default();
        let events = LimitedBody::new(body, tokens, event_bytes.clone()).eventsource();
        ChatStream { events, event_bytes, idle, finish: None, usage: None }
    }

    /// Returns the next event. [`EngineEvent::Done`] is the last one.
    pub async fn next(&mut self) -> Result<EngineEvent, EngineError> {
        loop {
            let event = time::timeout(self.idle, self.events.next()).await;
            let event = match event {
                Err(_) => return Err(EngineError::Timeout),
                Ok(None) => return Err(EngineError::Lost("stream ended early".into())),
                Ok(Some(Err(err))) => return Err(EngineError::Lost(err.to_string())),
                Ok(Some(Ok(event))) => event,
            };
            self.event_bytes.end_event();
            if event.data == DONE_MARKER {
                return self.finish_event();
            }
            if let Some(text) = self.apply_chunk(&event.data)? {
                return Ok(EngineEvent::Text(text));
            }
        }
    }

    fn apply_chunk(&mut self, data: &str) -> Result<Option<String>, EngineError> {
        let chunk: ChatChunk = serde_json::from_str(data)?;
        if let Some(usage) = chunk.usage {
            self.usage = Some(usage.into());
        }
        let Some(choice) = chunk.choices.into_iter().next() else { return Ok(None) };
        if choice.finish_reason.is_some() {
            self.finish = choice.finish_reason;
        }
        Ok(choice.delta.content.filter(|text| !text.is_empty()))
    }

    fn finish_event(&mut self) -> Result<EngineEvent, EngineError> {
        match (self.finish.take(), self.usage.take()) {
            (Some(finish), Some(usage)) => Ok(EngineEvent::Done { finish, usage }),
            _ => Err(EngineError::Decode("stream ended without finish reason or usage".into())),
        }
    }
}
