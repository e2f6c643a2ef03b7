//! Reading a journal back.

use gg_platform::ObjectStore;
use gg_protocol::JournalId;
use serde::de::DeserializeOwned;

use crate::{
    JournalError, journal_prefix,
    keys::sequence,
    object::{Content, Joiner, Object},
};

/// What a journal holds.
#[derive(Clone, Debug)]
pub struct Replay<R> {
    /// Records in the order of their commits.
    pub records: Vec<R>,
    /// Number of the last object.
    pub last: Option<u64>,
    /// Who has sealed it.
    pub sealed_by: Option<JournalId>,
}

/// Reads the records of a journal up to its seal.
pub async fn replay<R: DeserializeOwned, S: ObjectStore>(
    store: &S,
    id: &JournalId,
) -> Result<Replay<R>, JournalError> {
    let listing = store.list(&journal_prefix(id)).await?;
    let mut replay = Replay { records: Vec::new(), last: None, sealed_by: None };
    let mut joiner = Joiner::default();
    for item in listing.items {
        // Compaction by a live owner may remove an object after the listing.
        let Some(found) = store.get(&item.key).await? else { continue };
        replay.last = sequence(&item.key);
        match Object::decode(&found.body)?.content {
            Content::Seal(by) => {
                replay.sealed_by = Some(by);
                break;
            }
            Content::Records(records) => {
                for piece in records {
                    replay.records.extend(joiner.push(piece)?);
                }
            }
        }
    }
    Ok(replay)
}
