//! HTTP endpoint for metrics.

use bytes::Bytes;
use gg_http::{Body, ServerLimits};
use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::Registry;

/// Responds to each request with all metrics until `stop` is cancelled. Calls
/// `refresh` before each response to update the gauges.
pub async fn serve_metrics(
    listener: TcpListener,
    registry: Registry,
    refresh: impl Fn() + Clone + Send + Sync + 'static,
    stop: CancellationToken,
) {
    let handler = move |_request: Request<Incoming>| {
        refresh();
        let mut response = Response::new(Body::from(Bytes::from(registry.render())));
        let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
        async move { response }
    };
    gg_http::serve(listener, ServerLimits::default(), stop, handler).await;
}
