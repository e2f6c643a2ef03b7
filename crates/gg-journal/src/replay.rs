//! Replay of a journal.

use gg_platform::ObjectStore;
use gg_protocol::JournalId;
use serde::de::DeserializeOwned;

use crate::{
    JournalError, journal_prefix,
    keys::parse_sequence,
    object::{Content, Object, RecordAssembler},
};

/// Result of replaying a journal.
#[derive(Clone, Debug)]
pub struct Replay<R> {
    /// Records in commit order.
    pub records: Vec<R>,
    /// Sequence number of the last object read.
    pub last: Option<u64>,
    /// Journal named by the seal, if the journal is sealed.
    pub sealed_by: Option<JournalId>,
}

/// Reads the records of a journal, up to its seal if it has one.
pub async fn replay<R: DeserializeOwned, S: ObjectStore>(
    store: &S,
    id: &JournalId,
) -> Result<Replay<R>, JournalError> {
    let listing = store.list(&journal_prefix(id)).await?;
    let mut replay = Replay { records: Vec::new(), last: None, sealed_by: None };
    let mut assembler = RecordAssembler::default();
    for item in listing.items {
        // Compaction by a live owner may delete an object after the listing.
        let Some(found) = store.get(&item.key).await? else { continue };
        replay.last = parse_sequence(&item.key);
        match Object::decode(&found.body)?.content {
            Content::Seal(by) => {
                replay.sealed_by = Some(by);
                break;
            }
            Content::Records(records) => {
                for fragment in records {
                    replay.records.extend(assembler.push(fragment)?);
                }
            }
        }
    }
    Ok(replay)
}
