//! Errors of the platform client.

use gg_http::HttpError;
use quick_error::quick_error;

quick_error! {
    /// Failure of a call to the platform.
    #[derive(Debug)]
    pub enum PlatformError {
        /// The condition of a write does not hold. Contains the current version
        /// of the object, if it exists and is known.
        Conflict(version: Option<u64>) {
            display("the object has changed (current version: {version:?})")
        }
        /// No valid response was received. The call may have been executed.
        Unavailable(text: String) {
            display("platform unavailable: {text}")
        }
        /// The platform refused the call with this HTTP status.
        Refused(status: u16) {
            display("platform refused the call with status {status}")
        }
    }
}

impl From<HttpError> for PlatformError {
    fn from(err: HttpError) -> Self {
        PlatformError::Unavailable(err.to_string())
    }
}

impl From<http::Error> for PlatformError {
    fn from(err: http::Error) -> Self {
        PlatformError::Unavailable(err.to_string())
    }
}
