//! Messages between ledger instances and their clients: length-prefixed
//! frames, each a message in the postcard codec.

use std::io;

use bytes::{Bytes, BytesMut};
use futures::SinkExt;
use gg_platform::{Kind, MirrorNews};
use gg_protocol::Name;
use quick_error::quick_error;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    sync::mpsc,
};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::{
    AgedFact, Layout, Line, Strains, TurnRecord,
    index::{Chain, LastRun, Spent},
};

/// Largest frame, in bytes; a chain of 280,000 tokens fits.
const FRAME_MAX_BYTES: usize = 16 << 20;

/// What one process tells another one of crashes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct CrashNews {
    /// Start of the instance's process that numbers are counted in: in a call
    /// the one that the client has heard last.
    pub(crate) run: u64,
    /// In a call, the number of the last fact heard from the instance; in an
    /// answer, that of the last one told.
    pub(crate) last: u64,
    /// Facts.
    pub(crate) facts: Vec<AgedFact>,
}

/// A call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Request {
    /// Number that the reply repeats.
    pub(crate) id: u64,
    /// Partition that is meant.
    pub(crate) partition: u16,
    /// Epoch of that partition's set, as the caller knows it.
    pub(crate) epoch: u64,
    /// Disk that the caller means to reach.
    pub(crate) disk: u64,
    /// What is asked.
    pub(crate) ask: Ask,
}

/// What is asked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Ask {
    /// Set tokens aside for a turn; read the chain that it continues.
    Open {
        /// Turn that begins.
        turn: Name,
        /// Program and most tokens to set aside, on routes with a budget.
        reserve: Option<(Name, u32)>,
        /// Set if nothing else of the turn is written later: the tokens are
        /// then set aside on disk before the answer, and the account is kept
        /// for so many milliseconds after its last use.
        keep_ms: Option<u32>,
        /// Line of turns whose last replica is asked for.
        line: Option<Name>,
        /// Turn whose chain is wanted from this instance.
        chain: Option<Name>,
    },
    /// A turn has ended.
    Close {
        /// Turn that ended.
        turn: Name,
        /// Program and tokens spent.
        settle: Option<(Name, u32)>,
        /// The turn, if it finished whole.
        record: Option<TurnRecord>,
        /// Replica that ran it, if nothing else tells.
        run: Option<LastRun>,
    },
    /// Tell what each turn of a program spent or set aside.
    Account(Name),
    /// Tell whether a program has an account.
    HasAccount(Name),
    /// Read a chain.
    Fetch(Name),
    /// Read a chain from whichever partition has it.
    Find {
        /// Last turn of the chain.
        turn: Name,
        /// Epochs of all partitions, as the caller knows them.
        epochs: Vec<u64>,
    },
    /// Show that the instance is there.
    Ping,
    /// Tell what is new in the directory.
    News {
        /// Client that asks.
        from: Name,
        /// Revisions that it knows.
        known: Vec<(Kind, u64)>,
        /// How the answers that it passes on fare.
        strains: Strains,
        /// What it knows of crashes that the instance may not know.
        crashes: CrashNews,
    },
    /// Tell another instance what is new in the directory since these
    /// revisions.
    Mirror(Vec<(Kind, u64)>),
    /// Take in what a client has just seen of crashes; told to all instances.
    Crash(AgedFact),
    /// Tell how far the partition is copied.
    Status,
    /// Send everything of the partition, as [`Answer::Part`]s.
    Pull,
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Reply {
    /// Number of the call.
    pub(crate) id: u64,
    /// The answer.
    pub(crate) answer: Answer,
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Answer {
    /// Reply to [`Ask::Open`].
    Opened {
        /// Tokens that other turns of the program spent or set aside.
        others: u64,
        /// The chain, if it was asked for here.
        chain: Option<Chain>,
        /// Replica that ran the line's last turn, if it was asked for.
        upstream: Option<Name>,
    },
    /// Reply to [`Ask::Account`].
    Account(Vec<Spent>),
    /// Reply to [`Ask::HasAccount`].
    HasAccount(bool),
    /// The end is on disk.
    Closed,
    /// Reply to [`Ask::Fetch`] and [`Ask::Find`].
    Fetched(Chain),
    /// Reply to [`Ask::Ping`].
    Here,
    /// Reply to [`Ask::News`].
    News {
        /// What is new.
        news: Vec<MirrorNews>,
        /// Clients that asked lately.
        askers: u32,
        /// How the answers that these pass on fare.
        strains: Strains,
        /// What it knows of crashes that the client may not know.
        crashes: CrashNews,
    },
    /// Reply to [`Ask::Mirror`].
    Mirror(Vec<MirrorNews>),
    /// Reply to [`Ask::Status`].
    Status {
        /// Epoch for which the instance has copied everything, if it did.
        copied: Option<u64>,
    },
    /// Some of what was pulled.
    Part(Vec<Line>),
    /// All was sent.
    PulledAll,
    /// The call was of an older epoch and not carried out.
    Stale(Layout),
    /// The call was meant for another disk.
    OtherDisk,
    /// Reply to [`Ask::Open`]: there is no memory for another turn, and
    /// nothing was set aside.
    Full,
}

quick_error! {
    /// A frame that can't be read.
    #[derive(Debug)]
    pub enum FrameError {
        /// Not a message.
        Codec(err: postcard::Error) {
            from()
            display("frame can't be read: {err}")
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

/// Encodes a message into a frame's content.
pub(crate) fn encode<T: Serialize>(message: &T) -> Bytes {
    // Writing into memory fails for no message of these types.
    postcard::to_allocvec(message).map(Bytes::from).unwrap_or_default()
}

/// Decodes a frame's content.
pub(crate) fn decode<T: DeserializeOwned>(frame: &BytesMut) -> Result<T, FrameError> {
    Ok(postcard::from_bytes(frame)?)
}

/// Writes `first` and all that waits behind it with as few system calls as
/// possible.
pub(crate) async fn write_frames(
    writer: &mut FrameWriter,
    first: Bytes,
    queued: &mut mpsc::Receiver<Bytes>,
) -> io::Result<()> {
    writer.feed(first).await?;
    while let Ok(more) = queued.try_recv() {
        writer.feed(more).await?;
    }
    SinkExt::<Bytes>::flush(writer).await
}
