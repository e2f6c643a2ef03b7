//! HTTP server for callers.

use std::time::Duration;

use gg_http::ServerLimits;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::{Backend, routes::handle};

/// Settings of the HTTP interface for callers.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Limits of the listener.
    pub limits: ServerLimits,
    /// Maximum duration of a request.
    pub max_duration: Duration,
}

impl Default for CallerSettings {
    fn default() -> Self {
        CallerSettings { limits: ServerLimits::default(), max_duration: Duration::from_secs(120) }
    }
}

/// Serves callers until `stop` is cancelled, then finishes the requests in
/// flight.
pub async fn serve<B: Backend>(
    listener: TcpListener,
    settings: CallerSettings,
    stop: CancellationToken,
    backend: B,
) {
    let limits = settings.limits.clone();
    let handler = move |request| handle(backend.clone(), settings.clone(), request);
    gg_http::serve(listener, limits, stop, handler).await;
}
