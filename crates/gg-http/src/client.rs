//! HTTP client with deadlines and connection reuse.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client as Pool, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::de::DeserializeOwned;
use tokio::time;

use crate::{
    HttpError,
    socket::{PROBE_INTERVAL, PROBES, UNACKNOWLEDGED_MAX},
};

/// Largest answer read whole, in bytes.
const REPLY_MAX_BYTES: usize = 64 << 20;

/// Longest wait for a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Idle connections are closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// A client that keeps its connections for reuse; clones share them.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
}

/// An answer read whole.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status of the answer.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl Reply {
    /// Decodes the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, HttpError> {
        Ok(serde_json::from_slice(&self.body)?)
    }

    /// A header's value as text, if it is there and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_keepalive(Some(PROBE_INTERVAL));
        connector.set_keepalive_interval(Some(PROBE_INTERVAL));
        connector.set_keepalive_retries(Some(PROBES));
        connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX));
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        Client { pool }
    }
}

impl Client {
    /// Sends a request and returns as soon as the answer's head is there.
    pub async fn open(
        &self,
        request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, HttpError> {
        let request = request.map(Full::new);
        let sent = time::timeout(timeout, self.pool.request(request)).await;
        match sent {
            Err(_) => Err(HttpError::Timeout),
            Ok(Ok(response)) => Ok(response),
            Ok(Err(err)) if err.is_connect() => Err(HttpError::Connect(chain(&err))),
            Ok(Err(err)) => Err(HttpError::Broken(chain(&err))),
        }
    }

    /// Sends a request and reads the whole answer.
    pub async fn call(
        &self,
        request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Reply, HttpError> {
        let whole = async {
            let response = self.open(request, timeout).await?;
            let (head, body) = response.into_parts();
            let body = collect(body, REPLY_MAX_BYTES).await?;
            Ok(Reply { status: head.status, headers: head.headers, body })
        };
        time::timeout(timeout, whole).await.unwrap_or(Err(HttpError::Timeout))
    }
}

/// Reads a body up to `max` bytes.
pub(crate) async fn collect(body: Incoming, max: usize) -> Result<Bytes, HttpError> {
    match Limited::new(body, max).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(err) if err.is::<http_body_util::LengthLimitError>() => Err(HttpError::TooLarge),
        Err(err) => Err(HttpError::Broken(err.to_string())),
    }
}

fn chain(err: &dyn std::error::Error) -> String {
    let mut text = err.to_string();
    let mut next = err.source();
    while let Some(cause) = next {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        next = cause.source();
    }
    text
}
