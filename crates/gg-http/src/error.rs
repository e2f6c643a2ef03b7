//! Errors of the HTTP layer.

use quick_error::quick_error;

quick_error! {
    /// Why an HTTP exchange failed.
    #[derive(Debug)]
    pub enum HttpError {
        /// The request could not be built.
        Request(err: http::Error) {
            from()
            display("request can't be built: {err}")
        }
        /// No connection; the request was not sent.
        Connect(text: String) {
            display("can't connect: {text}")
        }
        /// The connection broke after the request may have been sent.
        Broken(text: String) {
            display("connection broke: {text}")
        }
        /// No answer in time.
        Timeout {
            display("no answer in time")
        }
        /// The body is larger than the limit.
        TooLarge {
            display("body is larger than the limit")
        }
        /// The body is not the expected JSON.
        Decode(err: serde_json::Error) {
            from()
            display("body can't be decoded: {err}")
        }
    }
}

impl HttpError {
    /// Whether the request surely never reached the other side.
    pub fn is_unsent(&self) -> bool {
        matches!(self, HttpError::Request(_) | HttpError::Connect(_))
    }
}
