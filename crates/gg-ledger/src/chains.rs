//! Reads chains whose texts may be in the log only.

use std::io;

use bytes::{Bytes, BytesMut};
use gg_protocol::Name;
use tokio::task;

use crate::{Chain, LogEntry, LogReader, Node, StoredChain, StoredText, TurnRecord};

/// Number of times that a chain is looked up. Its texts may be moved within the
/// log while they are read.
const LOOKUPS_MAX: usize = 3;

/// Where to look for a chain.
#[derive(Clone, Debug)]
pub(crate) enum Lookup {
    /// In one partition.
    Partition(u16, Name),
    /// In any partition that holds its last turn.
    Any(Name),
}

impl Node {
    /// Looks up a chain, and marks its turns as used.
    pub(crate) fn look_up(&self, lookup: &Lookup) -> StoredChain {
        let now = self.now();
        match lookup {
            Lookup::Partition(partition, turn) => self.store().index(*partition).chain(turn, now),
            Lookup::Any(turn) => self.store().find(turn, now),
        }
    }

    /// Reads a chain of which some texts are in the log only.
    pub(crate) async fn read_chain(&self, lookup: &Lookup) -> io::Result<Chain> {
        let mut failed = io::Error::other("not looked up");
        for _ in 0..LOOKUPS_MAX {
            let StoredChain { texts, missing, upstream } = self.look_up(lookup);
            match self.read_texts(texts).await {
                Ok(texts) => return Ok(Chain { text: join(&texts), missing, upstream }),
                Err(err) => failed = err,
            }
        }
        Err(failed)
    }

    /// Reads texts, those that are in the log on a blocking thread.
    pub(crate) async fn read_texts(&self, texts: Vec<StoredText>) -> io::Result<Vec<Bytes>> {
        let _permit = self.reads().acquire().await.map_err(io::Error::other)?;
        let log = self.log().clone();
        let reading =
            task::spawn_blocking(move || texts.into_iter().map(|text| read(&log, text)).collect());
        reading.await.map_err(io::Error::other)?
    }
}

/// The chain, if all of its texts are in memory.
pub(crate) fn loaded(stored: &StoredChain) -> Option<Chain> {
    let loaded = |text: &StoredText| match text {
        StoredText::Loaded(text) => Some(text.clone()),
        StoredText::Logged(_) => None,
    };
    let texts: Vec<Bytes> = stored.texts.iter().map(loaded).collect::<Option<_>>()?;
    let (missing, upstream) = (stored.missing.clone(), stored.upstream.clone());
    Some(Chain { text: join(&texts), missing, upstream })
}

fn read(log: &LogReader, text: StoredText) -> io::Result<Bytes> {
    match text {
        StoredText::Loaded(text) => Ok(text),
        StoredText::Logged(location) => match log.read(location)? {
            (_, LogEntry::Turn(TurnRecord { text, .. })) => Ok(text),
            _ => Err(io::Error::new(io::ErrorKind::InvalidData, "the entry is no turn")),
        },
    }
}

fn join(texts: &[Bytes]) -> Bytes {
    match texts {
        [text] => text.clone(),
        _ => {
            let mut joined = BytesMut::with_capacity(texts.iter().map(Bytes::len).sum());
            texts.iter().for_each(|text| joined.extend_from_slice(text));
            joined.freeze()
        }
    }
}
