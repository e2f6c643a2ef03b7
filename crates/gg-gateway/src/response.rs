//! Responses that the gateway creates itself, and the headers of replica
//! responses that are not forwarded.

use bytes::Bytes;
use gg_protocol::{Code, Failure};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use http_body_util::Full;

/// Hop-by-hop headers: they apply to a single connection.
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

/// Status for a request that is quarantined because similar requests crashed
/// replicas. A status that blames the request would end a program for good,
/// even if this request was only in flight beside the one that causes the
/// crashes.
const QUARANTINED_STATUS: StatusCode = StatusCode::SERVICE_UNAVAILABLE;

/// Builds the response for a failure.
pub(crate) fn failure(failure: &Failure) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(failure.to_json().to_string().into()));
    let status = StatusCode::from_u16(failure.code.status());
    *response.status_mut() = match failure.code {
        Code::Quarantined => QUARANTINED_STATUS,
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

/// Removes hop-by-hop headers, including those that `Connection` lists.
pub(crate) fn strip_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_HEADERS.iter().chain(&listed) {
        headers.remove(name);
    }
}
