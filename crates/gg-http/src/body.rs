//! Response body, either complete or streamed from a channel.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use tokio::sync::mpsc;

/// A response body without dynamic dispatch.
#[derive(Debug)]
pub enum Body {
    /// Complete body; `None` if empty or already sent.
    Full(Option<Bytes>),
    /// Chunks from a channel; the body ends when the sender is dropped.
    Stream(mpsc::Receiver<Bytes>),
}

impl Body {
    /// Creates an empty body.
    pub fn empty() -> Self {
        Body::Full(None)
    }
}

impl<T: Into<Bytes>> From<T> for Body {
    fn from(data: T) -> Self {
        Body::Full(Some(data.into()))
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            Body::Full(data) => Poll::Ready(data.take().map(|data| Ok(Frame::data(data)))),
            Body::Stream(chunks) => {
                chunks.poll_recv(cx).map(|chunk| chunk.map(|chunk| Ok(Frame::data(chunk))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Full(Some(data)) => SizeHint::with_exact(data.len() as u64),
            Body::Full(None) => SizeHint::with_exact(0),
            Body::Stream(_) => SizeHint::default(),
        }
    }
}
