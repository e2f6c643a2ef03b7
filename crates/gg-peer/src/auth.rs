//! The key that daemons show each other.

use std::{
    fmt,
    sync::Arc,
    task::{Context, Poll},
};

use futures::future::{Either, Ready, ready};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use subtle::ConstantTimeEq;
use tower::{Layer, Service};

/// A shared key; never printed.
#[derive(Clone)]
pub struct Secret(Arc<str>);

impl Secret {
    /// A key with the given text.
    pub fn new(text: &str) -> Self {
        Secret(text.into())
    }

    /// Headers that show the key.
    pub(crate) fn headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        if let Ok(value) = HeaderValue::from_str(&format!("Bearer {}", self.0)) {
            headers.insert(header::AUTHORIZATION, value);
        }
        headers
    }

    fn matches(&self, headers: &HeaderMap) -> bool {
        let value = headers.get(header::AUTHORIZATION).map(HeaderValue::as_bytes);
        let shown = value.and_then(|value| value.strip_prefix(b"Bearer "));
        shown.is_some_and(|shown| shown.ct_eq(self.0.as_bytes()).into())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

/// Lets only requests pass that show the key.
#[derive(Clone, Debug)]
pub(crate) struct AuthLayer(pub(crate) Secret);

impl<S> Layer<S> for AuthLayer {
    type Service = Auth<S>;

    fn layer(&self, inner: S) -> Auth<S> {
        Auth { inner, secret: self.0.clone() }
    }
}

/// See [`AuthLayer`].
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
        let mut refused = Response::new(B::default());
        *refused.status_mut() = StatusCode::UNAUTHORIZED;
        Either::Right(ready(Ok(refused)))
    }
}
