//! Tunnels: connections to replicas through another gateway. That gateway only
//! copies bytes; every decision about a request stays with the gateway that has
//! read it.
//!
//! The gateway that opens a tunnel sends a [`TunnelRequest`], gets a
//! [`TunnelReply`], and then writes to the replica as on a connection of its own.
//! What the replica sends comes in frames, so that the end of the replica's
//! connection can be told from the loss of the tunnel.

use std::{
    future,
    io::{self, ErrorKind},
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Buf, Bytes, BytesMut};
use futures::{SinkExt, Stream, StreamExt};
use gg_http::configure_socket;
use gg_protocol::Name;
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, Join, join},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};
use tokio_util::{
    codec::{FramedRead, FramedWrite, LengthDelimitedCodec},
    io::StreamReader,
    sync::CancellationToken,
};

/// Tunnels that a gateway carries at most.
pub(crate) const TUNNELS_MAX: u32 = 256;

/// Time for a peer to open a tunnel.
pub(crate) const TUNNEL_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest request or reply, in bytes.
const MESSAGE_MAX_BYTES: usize = 1 << 10;

/// Largest piece that is copied at a time, in bytes.
const PIECE_MAX_BYTES: usize = 8 << 10;

/// Kinds of frames, as their first byte.
const DATA: u8 = 0;
/// The replica has closed its connection.
const END: u8 = 1;
/// The tunnel is to be closed once the request on it has ended.
const CLOSING: u8 = 2;

/// Asks for a tunnel to a replica. The peer knows its address; it connects to no
/// address that it isn't told by the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TunnelRequest {
    /// Gateway that opens the tunnel.
    pub(crate) origin: Name,
    /// Number of the tunnel, for the logs of both.
    pub(crate) number: u64,
    /// Name of the replica.
    pub(crate) replica: Name,
    /// Start time of its incarnation.
    pub(crate) started_ms: u64,
}

/// What came of a [`TunnelRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum TunnelReply {
    /// The replica is connected.
    Opened {
        /// Tunnels that the peer carries.
        tunnels: u32,
    },
    /// The peer reaches other replicas, but not this one.
    Unreachable,
    /// The peer doesn't reach the replica, and may be cut off itself.
    Doubtful,
    /// The peer doesn't know the replica.
    Unknown,
    /// The peer carries as many tunnels as it can.
    Busy,
    /// The peer is stopping.
    Stopping,
}

impl TunnelReply {
    /// Name in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            TunnelReply::Opened { .. } => "opened",
            TunnelReply::Unreachable => "unreachable",
            TunnelReply::Doubtful => "doubtful",
            TunnelReply::Unknown => "unknown",
            TunnelReply::Busy => "busy",
            TunnelReply::Stopping => "stopping",
        }
    }
}

/// Bytes of a tunnel, as of a connection to the replica.
pub(crate) type TunnelStream = Join<StreamReader<Downstream, Bytes>, OwnedWriteHalf>;

/// Asks the peer at `address` for a tunnel. If it opened one, returns its bytes;
/// `is_closing` is set when the tunnel should take no further request.
pub(crate) async fn open(
    address: SocketAddr,
    request: &TunnelRequest,
    is_closing: Arc<AtomicBool>,
) -> io::Result<(TunnelReply, TunnelStream)> {
    let mut socket = TcpStream::connect(address).await?;
    configure_socket(&socket)?;
    write_message(&mut socket, request).await?;
    let reply = read_message(&mut socket).await?;
    let (reader, writer) = socket.into_split();
    let frames = FramedRead::new(reader, LengthDelimitedCodec::new());
    let downstream = Downstream { frames, is_closing, has_ended: false };
    Ok((reply, join(StreamReader::new(downstream), writer)))
}

/// Writes one message.
pub(crate) async fn write_message<T: Serialize>(
    socket: &mut TcpStream,
    message: &T,
) -> io::Result<()> {
    let payload = postcard::to_allocvec(message).map_err(io::Error::other)?;
    let mut frame = (payload.len() as u16).to_be_bytes().to_vec();
    frame.extend_from_slice(&payload);
    socket.write_all(&frame).await
}

/// Reads one message.
pub(crate) async fn read_message<T: for<'a> Deserialize<'a>>(
    socket: &mut TcpStream,
) -> io::Result<T> {
    let length = usize::from(socket.read_u16().await?);
    if length > MESSAGE_MAX_BYTES {
        return Err(ErrorKind::InvalidData.into());
    }
    let mut payload = vec![0; length];
    socket.read_exact(&mut payload).await?;
    postcard::from_bytes(&payload).map_err(io::Error::other)
}

/// What the replica sends, read from the tunnel's frames.
#[derive(Debug)]
pub(crate) struct Downstream {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    is_closing: Arc<AtomicBool>,
    has_ended: bool,
}

impl Stream for Downstream {
    type Item = io::Result<Bytes>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Bytes>>> {
        while !self.has_ended {
            let Some(frame) = ready!(self.frames.poll_next_unpin(cx)) else {
                return Poll::Ready(Some(Err(ErrorKind::UnexpectedEof.into())));
            };
            let mut frame = frame?;
            if frame.is_empty() {
                return Poll::Ready(Some(Err(ErrorKind::InvalidData.into())));
            }
            match frame.get_u8() {
                DATA => return Poll::Ready(Some(Ok(frame.freeze()))),
                CLOSING => self.is_closing.store(true, Ordering::Relaxed),
                END => self.has_ended = true,
                _ => return Poll::Ready(Some(Err(ErrorKind::InvalidData.into()))),
            }
        }
        Poll::Ready(None)
    }
}

/// Copies between an origin and a replica until one of them closes its
/// connection. Tells the origin when `stopping` is cancelled.
pub(crate) async fn carry(origin: TcpStream, replica: TcpStream, stopping: CancellationToken) {
    let (origin_read, origin_write) = origin.into_split();
    let (replica_read, replica_write) = replica.into_split();
    // The replica's connection is closed as soon as the origin has closed its
    // own, so that the replica stops its work.
    tokio::select! {
        () = copy_up(origin_read, replica_write) => {}
        _ = copy_down(replica_read, origin_write, stopping) => {}
    }
}

/// Copies to the replica until the origin closes its connection.
async fn copy_up(mut origin: OwnedReadHalf, mut replica: OwnedWriteHalf) {
    while let Ok(Some(piece)) = read_piece(&mut origin).await {
        if replica.write_all(&piece[1..]).await.is_err() {
            // What the replica sent before is still copied down.
            future::pending().await
        }
    }
}

/// Copies from the replica until it closes its connection. The end is marked
/// only if it was no reset.
async fn copy_down(
    mut replica: OwnedReadHalf,
    origin: OwnedWriteHalf,
    stopping: CancellationToken,
) -> io::Result<()> {
    let mut origin = FramedWrite::new(origin, LengthDelimitedCodec::new());
    let mut has_told = false;
    loop {
        let piece = tokio::select! {
            piece = read_piece(&mut replica) => piece?,
            () = stopping.cancelled(), if !has_told => {
                has_told = true;
                origin.send(Bytes::from_static(&[CLOSING])).await?;
                continue;
            }
        };
        match piece {
            Some(piece) => origin.send(piece).await?,
            None => return origin.send(Bytes::from_static(&[END])).await,
        }
    }
}

/// Reads what is available, after the byte of a data frame; `None` at the end.
/// Memory is allocated only once there is something to read.
async fn read_piece(reader: &mut OwnedReadHalf) -> io::Result<Option<Bytes>> {
    loop {
        reader.readable().await?;
        let mut piece = BytesMut::with_capacity(PIECE_MAX_BYTES);
        piece.extend_from_slice(&[DATA]);
        match reader.try_read_buf(&mut piece) {
            Ok(0) => return Ok(None),
            Ok(_) => return Ok(Some(piece.freeze())),
            Err(err) if err.kind() == ErrorKind::WouldBlock => {}
            Err(err) => return Err(err),
        }
    }
}
