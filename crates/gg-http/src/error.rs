//! Errors of HTTP requests.

use quick_error::quick_error;

quick_error! {
    /// Errors of an HTTP request.
    #[derive(Debug)]
    pub enum HttpError {
        /// The request is invalid and was not sent.
        Request(err: http::Error) {
            from()
            display("invalid request: {err}")
        }
        /// Connecting failed; the request was not sent.
        Connect(text: String) {
            display("can't connect: {text}")
        }
        /// The connection was lost; the request may have been sent.
        ConnectionLost(text: String) {
            display("connection lost: {text}")
        }
        /// The request timed out; it may have been sent.
        Timeout {
            display("request timed out")
        }
        /// The body is larger than the limit.
        TooLarge {
            display("body is larger than the limit")
        }
        /// The memory budget for clients is used up; the body was not read.
        NoMemory {
            display("no memory is left for the body")
        }
        /// The body is not the expected JSON value.
        Decode(err: serde_json::Error) {
            from()
            display("can't decode body: {err}")
        }
    }
}

impl HttpError {
    /// Returns whether the request was certainly not sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, HttpError::Request(_) | HttpError::Connect(_))
    }
}
