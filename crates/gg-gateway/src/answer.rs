//! Answers of the gateway's own, and what of a replica's head goes on.

use bytes::Bytes;
use gg_protocol::{Code, Failure};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use http_body_util::Full;

/// Headers that concern only one connection.
const HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Status of a request that is not sent on since others like it crashed
/// replicas. One that says that the request is wrong would end a program for
/// good, also if it only ran beside the one that crashes.
const QUARANTINED: StatusCode = StatusCode::SERVICE_UNAVAILABLE;

/// The answer that carries a failure.
pub(crate) fn failure(failure: &Failure) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(failure.to_json().to_string().into()));
    let status = StatusCode::from_u16(failure.code.status());
    *response.status_mut() = match failure.code {
        Code::Quarantined => QUARANTINED,
        _ => status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
    };
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let retry = failure.retry_ms.map(|ms| format!("{:.3}", ms as f64 / 1000.0));
    if let Some(Ok(retry)) = retry.map(HeaderValue::try_from) {
        headers.insert(header::RETRY_AFTER, retry);
    }
    response
}

/// Takes out the headers that concern only the connection they came on.
pub(crate) fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
}
