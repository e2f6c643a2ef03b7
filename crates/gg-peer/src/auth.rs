//! Authentication between daemons with a shared key.

use std::{
    fmt,
    sync::Arc,
    task::{Context, Poll},
};

use futures::future::{Either, Ready, ready};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use subtle::ConstantTimeEq;
use tower::{Layer, Service};

/// The shared key of the daemons. Its `Debug` output omits the key.
#[derive(Clone)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Creates a key from its text.
    pub fn new(text: &str) -> Self {
        Secret(text.into())
    }

    /// Request headers that carry the key.
    pub(crate) fn headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        if let Ok(value) = HeaderValue::from_str(&format!("Bearer {}", self.0)) {
            headers.insert(header::AUTHORIZATION, value);
        }
        headers
    }

    fn matches(&self, headers: &HeaderMap) -> bool {
        let value = headers.get(header::AUTHORIZATION).map(HeaderValue::as_bytes);
        let presented = value.and_then(|value| value.strip_prefix(b"Bearer "));
        presented.is_some_and(|presented| presented.ct_eq(self.0.as_bytes()).into())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

/// Middleware that rejects requests without the shared key.
#[derive(Clone, Debug)]
pub(crate) struct AuthLayer(pub(crate) Secret);

impl<S> Layer<S> for AuthLayer {
    type Service = Auth<S>;

    fn layer(&self, inner: S) -> Auth<S> {
        Auth { inner, secret: self.0.clone() }
    }
}

/// Service created by [`AuthLayer`].
#[derive(Clone, Debug)]
pub(crate) struct Auth<S> {
    inner: S,
    secret: Secret,
}

impl<S, A, B> Service<Request<A>> for Auth<S>
where
    S: Service<Request<A>, Response = Response<B>>,
    B: Default,
{
    type Response = Response<B>;
    type Error = S::Error;
    type Future = Either<S::Future, Ready<Result<Response<B>, S::Error>>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: Request<A>) -> Self::Future {
        if self.secret.matches(request.headers()) {
            return Either::Left(self.inner.call(request));
        }
        let mut rejected = Response::new(B::default());
        *rejected.status_mut() = StatusCode::UNAUTHORIZED;
        Either::Right(ready(Ok(rejected)))
    }
}
