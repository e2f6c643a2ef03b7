//! Error responses; all have the same format.

use gg_http::{Body, HttpError, json_response};
use gg_protocol::{Code, Failure};
use http::{HeaderValue, Response, StatusCode, header};

/// Header that repeats the error's `ran` field: whether the request was
/// executed.
pub(crate) const RAN_HEADER: &str = "x-gg-ran";

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
        _ => Failure::unexecuted(Code::BadRequest, err.to_string()),
    }
}

/// Failure for an invalid request.
pub(crate) fn bad_request(message: impl Into<String>, help: &str) -> Failure {
    Failure::unexecuted(Code::BadRequest, message).help(help)
}
