//! Reads the bodies of requests within the memory budget.

use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{self, Instant};

use crate::{
    Blocks, HttpError, MemoryBudget, ServerLimits,
    client_socket::ConnectionState,
    memory_budget::{Reservation, Stage},
};

/// Size of the blocks of a body. A body makes progress with each block.
const BLOCK_BYTES: usize = 64 << 10;

/// The connection of a request; stored as an extension of each request of a server.
#[derive(Clone, Debug, Default)]
pub struct ClientConnection {
    pub(crate) budget: MemoryBudget,
    /// `None` for requests that came on no connection of a server.
    pub(crate) state: Option<Arc<ConnectionState>>,
}

/// Whole body of a request with the memory that it takes.
#[derive(Debug)]
pub struct HeldBody {
    /// Content of the body.
    pub content: Blocks,
    /// Memory of the content, to be dropped after it.
    pub memory: Reservation,
}

impl HeldBody {
    /// The content alone, for callers that don't limit their memory.
    pub fn into_bytes(self) -> Bytes {
        self.content.to_bytes()
    }
}

/// Reads the whole body of a request within the limits of the server.
pub async fn read_body(
    request: Request<Incoming>,
    limits: &ServerLimits,
) -> Result<HeldBody, HttpError> {
    let (head, body) = request.into_parts();
    let connection = head.extensions.get::<ClientConnection>().cloned().unwrap_or_default();
    connection.read(body, limits.body_bytes, Instant::now() + limits.body_timeout).await
}

impl ClientConnection {
    /// Reads a whole body of up to `max_bytes` bytes until `deadline`.
    pub async fn read(
        &self,
        body: Incoming,
        max_bytes: usize,
        deadline: Instant,
    ) -> Result<HeldBody, HttpError> {
        let size = body.size_hint();
        let max_bytes = max_bytes.min(self.budget.request_bytes_max());
        if size.lower() > max_bytes as u64 {
            return Err(HttpError::TooLarge);
        }
        let announced = size.exact().map_or(max_bytes, |size| size as usize);
        let memory = self.budget.reservation(Stage::Receiving);
        let buffer = Buffer { blocks: Vec::new(), bytes: 0, announced, max: max_bytes };
        let reading = async {
            tokio::select! {
                biased;
                () = memory.evicted() => Err(HttpError::NoMemory),
                content = buffer.fill(body, &memory) => content,
            }
        };
        let content = time::timeout_at(deadline, reading).await;
        let content = content.unwrap_or(Err(HttpError::Timeout))?;
        memory.enter(Stage::Working);
        if let Some(state) = &self.state {
            state.set_unread(false);
        }
        Ok(HeldBody { content, memory })
    }
}

/// Buffer of a body, in blocks. The pieces of a body are copied, as each one keeps a whole
/// read buffer alive.
struct Buffer {
    blocks: Vec<Vec<u8>>,
    bytes: usize,
    /// Size that was announced, or the largest allowed one.
    announced: usize,
    max: usize,
}

impl Buffer {
    async fn fill(mut self, mut body: Incoming, memory: &Reservation) -> Result<Blocks, HttpError> {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|err| HttpError::ConnectionLost(err.to_string()))?;
            let Ok(piece) = frame.into_data() else { continue };
            if self.bytes + piece.len() > self.max {
                return Err(HttpError::TooLarge);
            }
            self.push(&piece, memory).await?;
        }
        Ok(self.blocks.into_iter().map(Bytes::from).collect())
    }

    async fn push(&mut self, mut piece: &[u8], memory: &Reservation) -> Result<(), HttpError> {
        while !piece.is_empty() {
            let room = self.blocks.last().map_or(0, |block| block.capacity() - block.len());
            if room == 0 {
                memory.record_progress();
                let size = (self.announced - self.bytes).min(BLOCK_BYTES);
                memory.grow(size).await?;
                self.blocks.push(Vec::with_capacity(size));
                continue;
            }
            let (fitting, rest) = piece.split_at(room.min(piece.len()));
            if let Some(block) = self.blocks.last_mut() {
                block.extend_from_slice(fitting);
            }
            self.bytes += fitting.len();
            piece = rest;
        }
        Ok(())
    }
}
