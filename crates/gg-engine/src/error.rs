//! Error type of the engine client.

use gg_http::HttpError;
use quick_error::quick_error;

quick_error! {
    /// Error of a call to an engine.
    #[derive(Debug)]
    pub enum EngineError {
        /// The request was not sent: the engine is unreachable, or the request
        /// could not be built.
        Unreachable(text: String) {
            display("can't reach the engine: {text}")
        }
        /// The engine responded with an error status.
        Refused(status: u16, text: String) {
            display("engine responded with status {status}: {text}")
        }
        /// The connection was lost, or the stream ended early, after the
        /// request was sent.
        Lost(text: String) {
            display("connection to the engine was lost: {text}")
        }
        /// The engine did not respond, or sent no event, within the timeout.
        Timeout {
            display("engine did not respond in time")
        }
        /// The response can't be decoded.
        Decode(text: String) {
            display("can't decode the engine's response: {text}")
        }
    }
}

impl From<HttpError> for EngineError {
    fn from(err: HttpError) -> Self {
        match err {
            HttpError::Timeout => EngineError::Timeout,
            HttpError::Decode(err) => EngineError::Decode(err.to_string()),
            err if err.is_unsent() => EngineError::Unreachable(err.to_string()),
            err => EngineError::Lost(err.to_string()),
        }
    }
}

impl From<http::Error> for EngineError {
    fn from(err: http::Error) -> Self {
        EngineError::Unreachable(err.to_string())
    }
}

impl From<serde_json::Error> for EngineError {
    fn from(err: serde_json::Error) -> Self {
        EngineError::Decode(err.to_string())
    }
}
