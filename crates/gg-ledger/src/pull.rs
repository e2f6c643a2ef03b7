//! Copies a whole partition from another instance.

use std::{io, iter::repeat, time::Duration, vec};

use futures::{SinkExt, StreamExt};
use gg_http::connect_socket;
use gg_protocol::Name;
use quick_error::quick_error;
use tokio::time;
use tokio_util::codec::Framed;

use crate::{
    LogEntry, LogTime, Member, Node, StoredText, TurnRecord,
    link::CONNECT_TIMEOUT,
    protocol::{FrameError, Op, ReplyBody, Request, codec, decode_reply, encode_request},
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
    framed.send(encode_request(&request)).await?;
    loop {
        let frame =
            time::timeout(CHUNK_TIMEOUT, framed.next()).await?.ok_or(PullError::Refused)??;
        match decode_reply(&frame)?.body {
            ReplyBody::PullChunk { entries, ages_ms } => {
                // Earlier versions send no ages. Their entries count as used now.
                let ages =
                    ages_ms.into_iter().map(Duration::from_millis).chain(repeat(Duration::ZERO));
                if !node.store_copied(partition, entries.into_iter().zip(ages).collect()).await {
                    return Err(PullError::Refused);
                }
            }
            ReplyBody::PullDone => return Ok(()),
            _ => return Err(PullError::Refused),
        }
    }
}

/// The entries of a partition that another instance copies.
pub(crate) struct PullSource {
    partition: u16,
    turns: vec::IntoIter<Name>,
    others: vec::IntoIter<(LogEntry, LogTime)>,
}

impl PullSource {
    /// Starts a copy of what the partition holds now.
    pub(crate) fn new(node: &Node, partition: u16) -> Self {
        let mut store = node.store();
        let index = store.index(partition);
        // Accounts are read after their retention.
        let retention = index.retention_entry().map(|entry| (entry, node.now()));
        let others: Vec<_> = retention.into_iter().chain(index.account_entries()).collect();
        PullSource { partition, turns: index.turn_names().into_iter(), others: others.into_iter() }
    }

    /// The next part of the copy; `None` at its end.
    pub(crate) async fn next_chunk(&mut self, node: &Node) -> io::Result<Option<ReplyBody>> {
        let turns = self.next_turns(node);
        // Turns fill a chunk; the last one has room for other entries, unless it is
        // a long one.
        let bytes: usize = turns.iter().map(|(_, text, _)| text.bytes()).sum();
        let has_room = self.turns.len() == 0 && bytes <= CHUNK_BYTES;
        let room = if has_room { CHUNK_BYTES / ENTRY_BYTES } else { 0 };
        let others: Vec<_> = self.others.by_ref().take(room).collect();
        if turns.is_empty() && others.is_empty() {
            return Ok(None);
        }
        let (turns, texts): (Vec<_>, Vec<_>) =
            turns.into_iter().map(|(record, text, used)| ((record, used), text)).unzip();
        let texts = node.read_texts(texts).await?;
        let turns = turns
            .into_iter()
            .zip(texts)
            .map(|((record, used), text)| (LogEntry::Turn(TurnRecord { text, ..record }), used));
        Ok(Some(chunk(node, turns.chain(others).collect())))
    }

    /// Turns of at most [`CHUNK_BYTES`], or one that is larger. Those that have
    /// expired meanwhile are left out.
    fn next_turns(&mut self, node: &Node) -> Vec<(TurnRecord, StoredText, LogTime)> {
        let mut store = node.store();
        let index = store.index(self.partition);
        let mut bytes = 0;
        let mut turns = Vec::new();
        while let Some(name) = self.turns.as_slice().first() {
            if let Some(turn) = index.turn(name) {
                bytes += ENTRY_BYTES + turn.1.bytes();
                if bytes > CHUNK_BYTES && !turns.is_empty() {
                    break;
                }
                turns.push(turn);
            }
            self.turns.next();
        }
        turns
    }
}

fn chunk(node: &Node, entries: Vec<(LogEntry, LogTime)>) -> ReplyBody {
    let now = node.now();
    let age_ms = |used: LogTime| now.since(used).as_millis() as u64;
    let (entries, ages_ms) = entries.into_iter().map(|(entry, used)| (entry, age_ms(used))).unzip();
    ReplyBody::PullChunk { entries, ages_ms }
}
