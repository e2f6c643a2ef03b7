//! Limits for the bytes of a streamed completion.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use futures::Stream;
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use quick_error::quick_error;

/// Largest event, in bytes. The parser scans an event again with each piece of it.
const EVENT_MAX_BYTES: usize = 256 << 10;

/// Bytes of a stream that don't depend on its number of tokens.
const STREAM_BASE_BYTES: usize = 1 << 20;

/// Most bytes for each token: an event with its framing.
const TOKEN_MAX_BYTES: usize = 1 << 10;

quick_error! {
    /// Why the bytes of a stream end.
    #[derive(Debug)]
    pub enum StreamError {
        /// The connection failed.
        Failed(err: hyper::Error) {
            from()
            display("{err}")
        }
        /// An event doesn't end.
        LongEvent {
            display("an event is longer than {} bytes", EVENT_MAX_BYTES)
        }
        /// The stream doesn't end.
        LongStream {
            display("the stream is longer than its tokens allow")
        }
    }
}

/// Bytes since the end of the last event, shared with the reader of the events.
#[derive(Clone, Debug, Default)]
pub(crate) struct EventBytes(Arc<AtomicUsize>);

impl EventBytes {
    /// Records that an event has ended.
    pub(crate) fn end_event(&self) {
        self.0.store(0, Ordering::Relaxed);
    }
}

/// A response body that fails once it or an event exceeds its limit.
pub(crate) struct LimitedBody {
    body: BodyDataStream<Incoming>,
    event: EventBytes,
    left: usize,
}

impl LimitedBody {
    /// The body of a completion of at most `tokens` tokens.
    pub(crate) fn new(body: Incoming, tokens: u64, event: EventBytes) -> Self {
        let tokens = usize::try_from(tokens).unwrap_or(usize::MAX);
        let left = STREAM_BASE_BYTES.saturating_add(tokens.saturating_mul(TOKEN_MAX_BYTES));
        LimitedBody { body: BodyDataStream::new(body), event, left }
    }

    fn check(&mut self, data: &Bytes) -> Result<(), StreamError> {
        let event = self.event.0.fetch_add(data.len(), Ordering::Relaxed) + data.len();
        if event > EVENT_MAX_BYTES {
            return Err(StreamError::LongEvent);
        }
        self.left = self.left.checked_sub(data.len()).ok_or(StreamError::LongStream)?;
        Ok(())
    }
}

impl Stream for LimitedBody {
    type Item = Result<Bytes, StreamError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let data = match std::task::ready!(Pin::new(&mut self.body).poll_next(context)) {
            None => return Poll::Ready(None),
            Some(Err(err)) => return Poll::Ready(Some(Err(err.into()))),
            Some(Ok(data)) => data,
        };
        Poll::Ready(Some(self.check(&data).map(|()| data)))
    }
}
