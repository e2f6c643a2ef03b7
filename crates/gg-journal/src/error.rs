//! Errors of the journal.

use gg_platform::PlatformError;
use gg_protocol::JournalId;
use quick_error::quick_error;

quick_error! {
    /// Why a journal call did not succeed.
    #[derive(Clone, Debug)]
    pub enum JournalError {
        /// Another daemon has sealed the journal; its owner owns nothing.
        Sealed(by: JournalId) {
            display("the journal was sealed by {by}")
        }
        /// The backlog waiting for the platform is at its bound.
        Full {
            display("the backlog of the journal is full")
        }
        /// The journal's writer has stopped.
        Closed {
            display("the journal is closed")
        }
        /// The platform did not answer.
        Platform(text: String) {
            display("{text}")
        }
        /// An object or record can't be decoded.
        Corrupt(text: String) {
            display("journal object can't be decoded: {text}")
        }
    }
}

impl From<PlatformError> for JournalError {
    fn from(err: PlatformError) -> Self {
        JournalError::Platform(err.to_string())
    }
}

impl From<serde_json::Error> for JournalError {
    fn from(err: serde_json::Error) -> Self {
        JournalError::Corrupt(err.to_string())
    }
}
