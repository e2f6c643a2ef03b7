//! Content in blocks, which is sent without being joined.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Frame, SizeHint};

/// Content in blocks; clones share them. As a body, it sends what was not sent yet.
#[derive(Clone, Debug, Default)]
pub struct Blocks {
    blocks: Arc<[Bytes]>,
    /// Number of blocks that were sent.
    sent: usize,
    /// Bytes that were not sent.
    len: usize,
}

impl Blocks {
    /// Number of bytes that were not sent.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing is left to be sent.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The blocks that were not sent.
    pub fn iter(&self) -> impl Iterator<Item = &Bytes> + Clone {
        self.blocks[self.sent..].iter()
    }

    /// The content in one piece, which is a copy if there are several blocks.
    pub fn to_bytes(&self) -> Bytes {
        match &self.blocks[self.sent..] {
            [only] => only.clone(),
            blocks => blocks.concat().into(),
        }
    }
}

impl FromIterator<Bytes> for Blocks {
    fn from_iter<I: IntoIterator<Item = Bytes>>(blocks: I) -> Self {
        let blocks: Arc<[Bytes]> = blocks.into_iter().filter(|block| !block.is_empty()).collect();
        let len = blocks.iter().map(Bytes::len).sum();
        Blocks { blocks, sent: 0, len }
    }
}

impl From<Bytes> for Blocks {
    fn from(block: Bytes) -> Self {
        Blocks::from_iter([block])
    }
}

impl http_body::Body for Blocks {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let this = self.get_mut();
        let Some(block) = this.blocks.get(this.sent).cloned() else { return Poll::Ready(None) };
        this.sent += 1;
        this.len -= block.len();
        Poll::Ready(Some(Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len as u64)
    }
}
