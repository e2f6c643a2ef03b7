//! Error type of the journal.

use gg_platform::PlatformError;
use gg_protocol::JournalId;
use quick_error::quick_error;

quick_error! {
    /// Error of a journal operation.
    #[derive(Clone, Debug)]
    pub enum JournalError {
        /// Another daemon has sealed the journal, so this process no longer
        /// owns it or its programs.
        Sealed(by: JournalId) {
            display("the journal was sealed by {by}")
        }
        /// The records that wait to be written to the platform reached
        /// [`JournalSettings::backlog_bytes`](crate::JournalSettings::backlog_bytes).
        Full {
            display("the journal's backlog of unwritten records is full")
        }
        /// The journal's writer task has stopped.
        Closed {
            display("the journal is closed")
        }
        /// A platform call failed or returned an unexpected state.
        Platform(text: String) {
            display("{text}")
        }
        /// A journal object or record can't be decoded, or contradicts the
        /// journal's format.
        Corrupt(text: String) {
            display("journal is corrupt: {text}")
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
