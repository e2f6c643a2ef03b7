//! Wire protocol between ledger instances and their clients: length-prefixed
//! frames, each holding one message in the postcard encoding.
//!
//! The encoding is positional, so the messages themselves never change. Fields
//! that were added later follow the message: versions that don't know them
//! ignore what follows, and their own messages end without it.

use std::{io, time::Duration};

use bytes::{Bytes, BytesMut};
use futures::SinkExt;
use gg_platform::{AnswerReport, Kind, MirrorUpdate};
use gg_protocol::Name;
use quick_error::quick_error;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{
    io::AsyncWriteExt,
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    sync::mpsc,
};
use tokio_util::codec::{Decoder, FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::{
    AgedFact, CreditReply, CreditRequest, Layout, LimitReport, LogEntry, OverloadReport,
    PermitReply, PermitRequest, SettledTurns, TunnelOffer, TurnRecord,
    account::{LastRun, TurnSpend},
    index::Chain,
};

/// Largest frame, in bytes. A chain of 280,000 tokens fits.
pub(crate) const FRAME_MAX_BYTES: usize = 16 << 20;

/// Usual size of the fields of a message or entry without its text, in bytes.
pub(crate) const FIELDS_BYTES: usize = 256;

/// Frames above this size count in the memory budget of an instance, and are written
/// without being copied.
pub(crate) const LARGE_FRAME_BYTES: usize = 64 << 10;

/// Largest text of a turn or of a chain, in bytes. A frame has room for it and
/// for the names and fields that go with it.
pub const TEXT_MAX_BYTES: usize = FRAME_MAX_BYTES - (256 << 10);

/// Crash facts that one process sends to another one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct CrashUpdates {
    /// Incarnation of the instance that `last` refers to. In a request, the
    /// last incarnation that the client received updates from.
    pub(crate) incarnation: u64,
    /// In a request, the serial of the last fact received from the instance; in
    /// a reply, the serial of the last fact sent.
    pub(crate) last: u64,
    /// Facts that the receiver may not know yet.
    pub(crate) facts: Vec<AgedFact>,
}

/// A request to a ledger instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Request {
    /// Request number, repeated in the reply.
    pub(crate) id: u64,
    /// Partition that the request addresses.
    pub(crate) partition: u16,
    /// Epoch of the partition's set, as known to the caller.
    pub(crate) epoch: u64,
    /// Disk that the caller expects to reach.
    pub(crate) disk: u64,
    /// Operation to execute.
    pub(crate) op: Op,
}

/// Operation of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Op {
    /// Reserves tokens for a turn and reads the chain that it continues.
    Open {
        /// Turn to open.
        turn: Name,
        /// Program and the maximum number of tokens to reserve, on routes with
        /// a budget.
        reserve: Option<(Name, u32)>,
        /// Set for a turn whose text is not stored when it ends. The reservation
        /// is then synced to disk before the reply, because nothing of the turn
        /// is acknowledged later, and the account is retained for this many
        /// milliseconds after its last use.
        keep_ms: Option<u32>,
        /// Conversation branch whose last replica is requested.
        branch: Option<Name>,
        /// Last turn of the chain to read from this instance.
        chain: Option<Name>,
        /// Turn that is continued, wherever the chain is read. A trailing field.
        #[serde(skip)]
        continues: Option<Name>,
    },
    /// Ends a turn.
    Close {
        /// Turn to end.
        turn: Name,
        /// Program and tokens spent.
        settle: Option<(Name, u32)>,
        /// The turn, if it completed.
        record: Option<TurnRecord>,
        /// Replica that ran the turn, if no turn record carries it.
        run: Option<LastRun>,
        /// Further settled turns of the program with their tokens, which the
        /// instance lacks. A trailing field.
        #[serde(skip)]
        missed: Vec<(Name, u32)>,
    },
    /// Returns what each turn of a program spent or reserved.
    Account(Name),
    /// Returns whether a program has an account.
    HasAccount(Name),
    /// Reads a chain.
    Fetch(Name),
    /// Reads a chain from any partition that holds it.
    Find {
        /// Last turn of the chain.
        turn: Name,
        /// Epochs of all partitions, as known to the caller.
        epochs: Vec<u64>,
    },
    /// Checks that the instance responds, and may ask it for credit. Versions
    /// that issue none reply without any.
    Ping {
        /// Request for credit. A trailing field.
        #[serde(skip)]
        credit: Option<CreditRequest>,
    },
    /// Returns directory updates and exchanges overload statistics and crash
    /// facts.
    Poll {
        /// Name of the polling client.
        from: Name,
        /// Directory revisions that the client knows, by kind.
        known: Vec<(Kind, u64)>,
        /// Overload statistics of the client's services.
        overload: OverloadReport,
        /// Crash facts that the instance may not know.
        crashes: CrashUpdates,
        /// The client's offer of tunnels, if it makes one.
        offer: Option<TunnelOffer>,
        /// Whether the client asks for the offers of others.
        wants_peers: bool,
    },
    /// Returns the directory updates since these revisions to another instance.
    Mirror(Vec<(Kind, u64)>),
    /// Reports a crash fact that a client has just observed; sent to all
    /// instances.
    ReportCrash(AgedFact),
    /// Requests a permit to send one request to a replica.
    Permit(PermitRequest),
    /// Reports the limit that a replica's incarnation announces.
    ReportLimit(Name, LimitReport),
    /// Returns the epoch for which the partition was copied.
    Status,
    /// Streams all entries of the partition as [`ReplyBody::PullChunk`]s.
    Pull,
}

/// Reply to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Reply {
    /// Number of the request.
    pub(crate) id: u64,
    /// Result of the request.
    pub(crate) body: ReplyBody,
}

/// Result of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum ReplyBody {
    /// Reply to [`Op::Open`].
    Opened {
        /// Tokens that other turns of the program spent or reserved.
        others: u64,
        /// The chain, if it was requested from this instance.
        chain: Option<Chain>,
        /// Replica that ran the branch's last turn, if it was requested.
        upstream: Option<Name>,
        /// Whether the instance lacks a part of the chain that is continued. A
        /// trailing field.
        #[serde(skip)]
        has_gap: bool,
        /// Settled turns among the others. A trailing field.
        #[serde(skip)]
        settled: Option<SettledTurns>,
    },
    /// Reply to [`Op::Account`].
    Account(Vec<TurnSpend>),
    /// Reply to [`Op::HasAccount`].
    HasAccount(bool),
    /// The end of the turn is synced to disk.
    Closed,
    /// Reply to [`Op::Fetch`] and [`Op::Find`].
    Fetched(Chain),
    /// Reply to [`Op::Ping`].
    Pong {
        /// Reply to its request for credit. A trailing field.
        #[serde(skip)]
        credit: Option<CreditReply>,
    },
    /// Reply to [`Op::Poll`].
    Poll {
        /// Directory updates. Their ages are a trailing field.
        updates: Vec<MirrorUpdate>,
        /// Clients that polled this instance recently.
        polling_clients: u32,
        /// Overload statistics summed over these clients.
        overload: OverloadReport,
        /// Crash facts that the client may not know.
        crashes: CrashUpdates,
        /// Rate limits of some replicas' incarnations.
        limits: Vec<(Name, LimitReport)>,
        /// Some offers of tunnels, if the client asked for them.
        peers: Vec<TunnelOffer>,
        /// When the directory has answered. A trailing field behind the ages.
        #[serde(skip)]
        answers: Option<AnswerReport>,
    },
    /// Reply to [`Op::Mirror`]: the updates, and when the directory has answered. The
    /// ages of the updates and the latter are trailing fields.
    Mirror(Vec<MirrorUpdate>, #[serde(skip)] Option<AnswerReport>),
    /// Reply to [`Op::Permit`].
    Permit(PermitReply),
    /// Reply to [`Op::Status`].
    Status {
        /// Epoch for which the instance has copied the whole partition, if any.
        copied: Option<u64>,
    },
    /// Some entries of a pulled partition.
    PullChunk {
        /// The entries.
        entries: Vec<LogEntry>,
        /// Time since the last use of each, in ms. A trailing field.
        #[serde(skip)]
        ages_ms: Vec<u64>,
    },
    /// All entries of the pulled partition were sent.
    PullDone,
    /// The request has an outdated epoch and was not executed.
    Stale(Layout),
    /// The request was addressed to another disk.
    WrongDisk,
    /// Reply to [`Op::Open`]: memory is exhausted, and nothing was reserved.
    /// Reply to [`Op::Fetch`] and [`Op::Find`]: the chain is too long to be sent.
    Full,
}

quick_error! {
    /// A frame that can't be decoded.
    #[derive(Debug)]
    pub enum FrameError {
        /// The frame doesn't hold a valid message.
        Codec(err: postcard::Error) {
            from()
            display("invalid frame: {err}")
        }
    }
}

/// Writes frames to a connection.
pub(crate) type FrameWriter = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// Reads frames from a connection.
pub(crate) type FrameReader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Splits a byte stream into frames.
pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_MAX_BYTES).new_codec()
}

/// Encodes a request with its trailing field into a frame's payload.
pub(crate) fn encode_request(request: &Request) -> Bytes {
    match &request.op {
        Op::Open { continues: Some(turn), .. } => encode(request, Some(turn)),
        Op::Ping { credit: Some(credit) } => encode(request, Some(credit)),
        Op::Close { record, missed, .. } => {
            let text_bytes = record.as_ref().map_or(0, |record| record.text.len());
            encode_sized(request, Some(missed).filter(|missed| !missed.is_empty()), text_bytes)
        }
        _ => encode(request, None::<&Name>),
    }
}

/// Encodes a reply with its trailing fields into a frame's payload.
pub(crate) fn encode_reply(reply: &Reply) -> Bytes {
    match &reply.body {
        ReplyBody::Opened { has_gap, settled: Some(settled), .. } => {
            encode(reply, Some(&(has_gap, settled)))
        }
        ReplyBody::Opened { has_gap: true, .. } => encode(reply, Some(&true)),
        ReplyBody::PullChunk { ages_ms, .. } => encode(reply, Some(ages_ms)),
        ReplyBody::Poll { updates, answers, .. } | ReplyBody::Mirror(updates, answers) => {
            match (copy_ages(updates), answers) {
                (ages, Some(answers)) => encode(reply, Some(&(ages.unwrap_or_default(), answers))),
                (ages, None) => encode(reply, ages.as_ref()),
            }
        }
        ReplyBody::Pong { credit: Some(credit) } => encode(reply, Some(credit)),
        _ => encode(reply, None::<&()>),
    }
}

fn encode<M: Serialize, T: Serialize>(message: &M, trailing: Option<&T>) -> Bytes {
    encode_sized(message, trailing, 0)
}

/// Encodes a message that holds a text of `text_bytes` bytes, so that the buffer doesn't
/// double in size behind the text.
fn encode_sized<M: Serialize, T: Serialize>(
    message: &M,
    trailing: Option<&T>,
    text_bytes: usize,
) -> Bytes {
    let buffer = Vec::with_capacity(text_bytes + FIELDS_BYTES);
    // Serialization into memory can't fail for these message types.
    let mut encoded = postcard::to_extend(message, buffer).unwrap_or_default();
    if let Some(trailing) = trailing {
        encoded = postcard::to_extend(trailing, encoded).unwrap_or_default();
    }
    encoded.into()
}

/// Decodes a request from a frame's payload.
pub(crate) fn decode_request(frame: &BytesMut) -> Result<Request, FrameError> {
    let (mut request, rest): (Request, _) = postcard::take_from_bytes(frame)?;
    match &mut request.op {
        Op::Open { continues, .. } => *continues = trailing(rest)?.0,
        Op::Close { missed, .. } => *missed = trailing(rest)?.0.unwrap_or_default(),
        Op::Ping { credit } => *credit = trailing(rest)?.0,
        _ => {}
    }
    Ok(request)
}

/// Decodes a reply from a frame's payload.
pub(crate) fn decode_reply(frame: &BytesMut) -> Result<Reply, FrameError> {
    let (mut reply, rest): (Reply, _) = postcard::take_from_bytes(frame)?;
    match &mut reply.body {
        ReplyBody::Opened { has_gap, settled, .. } => {
            let (gap, rest) = trailing(rest)?;
            *has_gap = gap.unwrap_or_default();
            *settled = trailing(rest)?.0;
        }
        ReplyBody::PullChunk { ages_ms, .. } => *ages_ms = trailing(rest)?.0.unwrap_or_default(),
        ReplyBody::Poll { updates, answers, .. } | ReplyBody::Mirror(updates, answers) => {
            let (ages, rest) = trailing::<Vec<Option<u32>>>(rest)?;
            *answers = trailing(rest)?.0;
            let ages = ages.unwrap_or_default();
            for (update, age_ms) in updates.iter_mut().zip(ages) {
                update.age = age_ms.map(|ms| Duration::from_millis(ms.into()));
            }
        }
        ReplyBody::Pong { credit } => *credit = trailing(rest)?.0,
        _ => {}
    }
    Ok(reply)
}

/// Ages of the copies behind directory updates in ms, rounded up; `None` if none is
/// known.
fn copy_ages(updates: &[MirrorUpdate]) -> Option<Vec<Option<u32>>> {
    let age_ms = |age: Duration| u32::try_from(age.as_micros().div_ceil(1_000)).ok();
    let ages: Vec<_> = updates.iter().map(|update| update.age.and_then(age_ms)).collect();
    ages.iter().any(Option::is_some).then_some(ages)
}

/// Decodes a trailing field, `None` if the message has none, and returns what
/// follows it.
fn trailing<T: DeserializeOwned>(rest: &[u8]) -> Result<(Option<T>, &[u8]), FrameError> {
    match rest {
        [] => Ok((None, rest)),
        _ => {
            let (field, rest) = postcard::take_from_bytes(rest)?;
            Ok((Some(field), rest))
        }
    }
}

/// Writes `first` and all frames queued behind it with as few system calls as
/// possible. Large frames are not copied.
pub(crate) async fn write_frames(
    writer: &mut FrameWriter,
    first: Bytes,
    queued: &mut mpsc::Receiver<Bytes>,
) -> io::Result<()> {
    write_frame(writer, first).await?;
    while let Ok(more) = queued.try_recv() {
        write_frame(writer, more).await?;
    }
    SinkExt::<Bytes>::flush(writer).await
}

async fn write_frame(writer: &mut FrameWriter, frame: Bytes) -> io::Result<()> {
    if frame.len() <= LARGE_FRAME_BYTES {
        return writer.feed(frame).await;
    }
    SinkExt::<Bytes>::flush(writer).await?;
    writer.get_mut().write_u32(frame.len() as u32).await?;
    writer.get_mut().write_all(&frame).await
}

/// What a [`RequestDecoder`] reads.
#[derive(Debug)]
pub(crate) enum RequestFrame {
    /// A frame of this length follows, for which memory has to be found first.
    Announced(usize),
    /// A whole frame.
    Whole(BytesMut),
}

/// Reads the frames of requests, and announces large ones before their content is read.
#[derive(Debug)]
pub(crate) struct RequestDecoder {
    codec: LengthDelimitedCodec,
    is_announced: bool,
}

impl RequestDecoder {
    pub(crate) fn new() -> Self {
        RequestDecoder { codec: codec(), is_announced: false }
    }
}

impl Decoder for RequestDecoder {
    type Item = RequestFrame;
    type Error = io::Error;

    fn decode(&mut self, source: &mut BytesMut) -> io::Result<Option<RequestFrame>> {
        if let (false, Some(head)) = (self.is_announced, source.first_chunk()) {
            let length = u32::from_be_bytes(*head) as usize;
            if (LARGE_FRAME_BYTES + 1..=FRAME_MAX_BYTES).contains(&length) {
                self.is_announced = true;
                return Ok(Some(RequestFrame::Announced(length)));
            }
        }
        let frame = self.codec.decode(source)?;
        if frame.is_some() {
            self.is_announced = false;
        }
        Ok(frame.map(RequestFrame::Whole))
    }
}
