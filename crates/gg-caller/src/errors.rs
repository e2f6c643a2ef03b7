//! Error responses; all have the same format.

use gg_http::{Body, HttpError, MemoryError, json_response};
use gg_protocol::{Code, Failure};
use http::{HeaderValue, Response, StatusCode, header};

/// Header that repeats the error's `ran` field: whether the request was
/// executed.
pub(crate) const RAN_HEADER: &str = "x-gg-ran";

/// Delay, in ms, after which a caller may retry that found no memory left. Most requests
/// take less time.
const MEMORY_RETRY_MS: u64 = 1_000;

/// Builds the response for a failure.
pub(crate) fn failure_response(failure: &Failure) -> Response<Body> {
    let status = StatusCode::from_u16(failure.code.status());
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json_response(status, &failure.to_json());
    let headers = response.headers_mut();
    headers.insert(RAN_HEADER, HeaderValue::from_static(failure.ran.as_str()));
    if let Some(retry_ms) = failure.retry_ms {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(retry_ms.div_ceil(1000)));
    }
    response
}

/// Failure for a request body that could not be read.
pub(crate) fn body_failure(err: &HttpError) -> Failure {
    match err {
        HttpError::TooLarge => Failure::unexecuted(Code::TooLarge, err.to_string())
            .help("send a smaller body, or only the new messages with x-gg-append: yes"),
        HttpError::NoMemory => memory_failure(MemoryError::Full),
        HttpError::Timeout => {
            Failure::unexecuted(Code::BodyTimeout, "the body did not arrive in time")
        }
        _ => Failure::unexecuted(Code::BadRequest, err.to_string()),
    }
}

/// Failure for a request that the daemon has no memory for.
pub(crate) fn memory_failure(err: MemoryError) -> Failure {
    match err {
        MemoryError::Full => {
            Failure::unexecuted(Code::Overloaded, "no memory is left for the request")
                .help("retry after retry_after seconds")
                .retry_in(MEMORY_RETRY_MS)
        }
        MemoryError::TooLarge => {
            Failure::unexecuted(Code::TooLarge, "the body takes more memory than a request may")
                .help("send a smaller body with fewer JSON values, or only the new messages")
        }
    }
}

/// Failure for an invalid request.
pub(crate) fn bad_request(message: impl Into<String>, help: &str) -> Failure {
    Failure::unexecuted(Code::BadRequest, message).help(help)
}
