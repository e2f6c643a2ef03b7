//! Copies everything that another instance keeps.

use std::{io, time::Duration};

use futures::{SinkExt, StreamExt};
use quick_error::quick_error;
use tokio::time;
use tokio_util::codec::Framed;

use crate::{
    Member, Node,
    protocol::{Answer, Ask, FrameError, Reply, Request, codec, decode, encode},
    socket,
};

/// Lines sent in one message; keeps messages well below a megabyte.
pub(crate) const PART_LINES: usize = 64;

/// Longest pause between two messages of a copy.
const PART_TIMEOUT: Duration = Duration::from_secs(2);

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
        /// The other instance refused, or ended the connection.
        Refused {
            display("refused")
        }
        /// No message in time.
        Timeout(err: time::error::Elapsed) {
            from()
            display("timeout")
        }
        /// Too few members could be copied from.
        TooFew {
            display("too few members to copy from")
        }
    }
}

/// Copies everything of `member` into `node`. The member acknowledges nothing
/// of an epoch older than `epoch` from then on.
pub(crate) async fn pull(node: &Node, member: &Member, epoch: u64) -> Result<(), PullError> {
    let mut framed = Framed::new(socket::connect(member.address).await?, codec());
    let request = Request { id: 0, epoch, disk: member.disk, ask: Ask::Pull };
    framed.send(encode(&request)).await?;
    loop {
        let frame =
            time::timeout(PART_TIMEOUT, framed.next()).await?.ok_or(PullError::Refused)??;
        match decode::<Reply>(&frame)?.answer {
            Answer::Part(lines) => node.take_lines(lines).await,
            Answer::PulledAll => return Ok(()),
            _ => return Err(PullError::Refused),
        }
    }
}

/// Asks `member` something on a connection of its own.
pub(crate) async fn ask(member: &Member, epoch: u64, ask: Ask) -> Result<Answer, PullError> {
    let mut framed = Framed::new(socket::connect(member.address).await?, codec());
    framed.send(encode(&Request { id: 0, epoch, disk: member.disk, ask })).await?;
    let frame = framed.next().await.ok_or(PullError::Refused)??;
    Ok(decode::<Reply>(&frame)?.answer)
}
