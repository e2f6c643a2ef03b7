//! HTTP client with timeouts and connection reuse.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client as Pool, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::de::DeserializeOwned;
use tokio::time;

use crate::{
    HttpError,
    reply_budget::ReplyBudget,
    socket::{KEEPALIVE_INTERVAL, KEEPALIVE_PROBES, TCP_USER_TIMEOUT},
};

/// Maximum size of a response head, in bytes.
const HEAD_MAX_BYTES: usize = 64 << 10;

/// Timeout for opening a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Limits for the responses that a client reads whole.
#[derive(Clone, Copy, Debug)]
pub struct ClientSettings {
    /// Maximum size of the body of one response, in bytes.
    pub reply_bytes: usize,
    /// Maximum size of the bodies that are being read at a time, in bytes.
    pub total_bytes: usize,
}

impl Default for ClientSettings {
    fn default() -> Self {
        ClientSettings { reply_bytes: 64 << 20, total_bytes: 128 << 20 }
    }
}

/// HTTP client with a connection pool. Clones share the pool.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    settings: ClientSettings,
    budget: Arc<ReplyBudget>,
}

/// Response with its whole body.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Body of the response.
    pub body: Bytes,
}

impl Reply {
    /// Decodes the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, HttpError> {
        Ok(serde_json::from_slice(&self.body)?)
    }

    /// Returns the value of a header, if it is present and visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

impl Default for Client {
    fn default() -> Self {
        Client::new(ClientSettings::default())
    }
}

impl Client {
    /// A client without connections.
    pub fn new(settings: ClientSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
        connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .http1_max_buf_size(HEAD_MAX_BYTES)
            .build(connector);
        let budget = Arc::new(ReplyBudget::new(settings.total_bytes));
        Client { pool, settings, budget }
    }

    /// Sends a request and returns the response once its head has arrived.
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
            Ok(Err(err)) if err.is_connect() => Err(HttpError::Connect(error_chain(&err))),
            Ok(Err(err)) => Err(HttpError::ConnectionLost(error_chain(&err))),
        }
    }

    /// Sends a request and reads the whole response.
    pub async fn call(
        &self,
        request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Reply, HttpError> {
        let whole = async {
            let response = self.open(request, timeout).await?;
            let (head, body) = response.into_parts();
            let body = self.read_body(body).await?;
            Ok(Reply { status: head.status, headers: head.headers, body })
        };
        time::timeout(timeout, whole).await.unwrap_or(Err(HttpError::Timeout))
    }

    async fn read_body(&self, mut body: Incoming) -> Result<Bytes, HttpError> {
        let mut share = self.budget.share();
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|err| HttpError::ConnectionLost(error_chain(&err)))?;
            let Ok(data) = frame.into_data() else { continue };
            if whole.len() + data.len() > self.settings.reply_bytes || !share.grow(data.len()) {
                return Err(HttpError::TooLarge);
            }
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    }
}

/// Formats an error followed by all its causes.
fn error_chain(err: &dyn std::error::Error) -> String {
    let mut text = err.to_string();
    let mut next = err.source();
    while let Some(cause) = next {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        next = cause.source();
    }
    text
}
