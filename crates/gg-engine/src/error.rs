//! Errors of the engine client.

use gg_http::HttpError;
use quick_error::quick_error;

quick_error! {
    /// Why a call to an engine failed.
    #[derive(Debug)]
    pub enum EngineError {
        /// The engine was not reached.
        Unreachable(text: String) {
            display("engine not reached: {text}")
        }
        /// The engine refused the call.
        Refused(status: u16, text: String) {
            display("engine refused with status {status}: {text}")
        }
        /// The engine went away during the call.
        Lost(text: String) {
            display("engine lost: {text}")
        }
        /// The engine did not answer in time.
        Timeout {
            display("engine did not answer in time")
        }
        /// The answer can't be decoded.
        Decode(text: String) {
            display("engine's answer can't be decoded: {text}")
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
