//! A streamed completion.

use std::time::Duration;

use eventsource_stream::{EventStream, Eventsource};
use futures::StreamExt;
use gg_protocol::Usage;
use http_body_util::{BodyDataStream, BodyExt};
use hyper::body::Incoming;
use tokio::time;

use crate::{EngineError, wire::ChatChunk};

/// What an engine sends during a completion.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// More text.
    Text(String),
    /// The end.
    Done {
        /// Why generation ended.
        finish: String,
        /// Tokens used.
        usage: Usage,
    },
}

/// Data line that ends a stream.
const END_MARK: &str = "[DONE]";

/// A completion under way. Dropping it closes the connection, which makes
/// the engine stop generating.
pub struct ChatStream {
    events: EventStream<BodyDataStream<Incoming>>,
    idle: Duration,
    finish: Option<String>,
    usage: Option<Usage>,
}

impl ChatStream {
    /// Reads events from a response's body; `idle` is the longest silence.
    pub(crate) fn new(body: Incoming, idle: Duration) -> Self {
        let events = body.into_data_stream().eventsource();
        ChatStream { events, idle, finish: None, usage: None }
    }

    /// The next event; nothing follows [`EngineEvent::Done`].
    pub async fn next(&mut self) -> Result<EngineEvent, EngineError> {
        loop {
            let event = time::timeout(self.idle, self.events.next()).await;
            let event = match event {
                Err(_) => return Err(EngineError::Timeout),
                Ok(None) => return Err(EngineError::Lost("stream ended early".into())),
                Ok(Some(Err(err))) => return Err(EngineError::Lost(err.to_string())),
                Ok(Some(Ok(event))) => event,
            };
            if event.data == END_MARK {
                return self.done();
            }
            if let Some(text) = self.take(&event.data)? {
                return Ok(EngineEvent::Text(text));
            }
        }
    }

    fn take(&mut self, data: &str) -> Result<Option<String>, EngineError> {
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

    fn done(&mut self) -> Result<EngineEvent, EngineError> {
        match (self.finish.take(), self.usage.take()) {
            (Some(finish), Some(usage)) => Ok(EngineEvent::Done { finish, usage }),
            _ => Err(EngineError::Decode("stream ended without reason or usage".into())),
        }
    }
}
