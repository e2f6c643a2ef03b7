//! Errors of the platform client.

use gg_http::HttpError;
use quick_error::quick_error;

quick_error! {
    /// Why a call to the platform did not succeed.
    #[derive(Debug)]
    pub enum PlatformError {
        /// The condition does not hold; the version there now, if any.
        Conflict(version: Option<u64>) {
            display("the object has changed (version now {version:?})")
        }
        /// No answer that can be trusted: the call may have taken effect.
        Unavailable(text: String) {
            display("platform unavailable: {text}")
        }
        /// The platform refused the call.
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
