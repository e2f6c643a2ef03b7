//! Copies a whole partition from another instance.

use std::{io, time::Duration};

use futures::{SinkExt, StreamExt};
use gg_http::connect_socket;
use quick_error::quick_error;
use tokio::time;
use tokio_util::codec::Framed;

use crate::{
    LogEntry, Member, Node,
    link::CONNECT_TIMEOUT,
    protocol::{FrameError, Op, Reply, ReplyBody, Request, codec, decode, encode},
};

/// Approximate size of a message, of which text is the largest part. The
/// receiver syncs each message once; smaller ones need less memory.
const CHUNK_BYTES: usize = 256 << 10;

/// Number of bytes that an entry counts as besides its text.
const ENTRY_BYTES: usize = 64;

/// Timeout between two messages of a copy.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(2);

quick_error! {
    /// Why a copy failed.
    #[derive(Debug)]
    pub enum PullError {
        /// The connection failed.
        Io(err: io::Error) {
            from()
            display("{err}")
        }
        /// A message can't be read.
        Frame(err: FrameError) {
            from()
            display("{err}")
        }
        /// The source refused the request or closed the connection, or the
        /// copied entries could not be written to the log.
        Refused {
            display("the source refused the request or closed the connection, or the log failed")
        }
        /// No message arrived in time.
        Timeout(err: time::error::Elapsed) {
            from()
            display("no message arrived in time")
        }
        /// Too few members were available to copy from.
        TooFew {
            display("too few members to copy from")
        }
    }
}

/// Copies a whole partition from `member` into `node`. From then on the member
/// acknowledges no request with an epoch older than `epoch`.
pub(crate) async fn pull(
    node: &Node,
    member: &Member,
    partition: u16,
    epoch: u64,
) -> Result<(), PullError> {
    let mut framed = Framed::new(connect_socket(member.address, CONNECT_TIMEOUT).await?, codec());
    let request = Request { id: 1, partition, epoch, disk: member.disk, op: Op::Pull };
    framed.send(encode(&request)).await?;
    loop {
        let frame =
            time::timeout(CHUNK_TIMEOUT, framed.next()).await?.ok_or(PullError::Refused)??;
        match decode::<Reply>(&frame)?.body {
            ReplyBody::PullChunk(entries) => {
                if !node.store_copied(partition, entries).await {
                    return Err(PullError::Refused);
                }
            }
            ReplyBody::PullDone => return Ok(()),
            _ => return Err(PullError::Refused),
        }
    }
}

/// Splits entries into chunks of about [`CHUNK_BYTES`].
pub(crate) fn chunks(entries: Vec<LogEntry>) -> Vec<Vec<LogEntry>> {
    let mut chunks = Vec::new();
    let mut chunk = Vec::new();
    let mut bytes = 0;
    for entry in entries {
        bytes +=
            ENTRY_BYTES + if let LogEntry::Turn(record) = &entry { record.text.len() } else { 0 };
        chunk.push(entry);
        if bytes >= CHUNK_BYTES {
            chunks.push(std::mem::take(&mut chunk));
            bytes = 0;
        }
    }
    chunks.push(chunk);
    chunks
}
