//! Sealing another daemon's journal, and finding the journal that took over.

use gg_platform::{ObjectStore, PlatformError, When};
use gg_protocol::JournalId;

use crate::{
    JournalError, journal_prefix,
    keys::{object_key, parse_sequence},
    object::{Content, Object, fresh_nonce},
};

/// Maximum number of seals followed from one journal to its current owner.
const MAX_HOPS: usize = 64;

/// Seals `id` on behalf of `adopter` and returns the journal that the seal
/// names: `adopter`, or the journal of a daemon that sealed `id` earlier.
pub async fn seal<S: ObjectStore>(
    store: &S,
    id: &JournalId,
    adopter: &JournalId,
) -> Result<JournalId, JournalError> {
    loop {
        let (seq, last) = read_tail(store, id).await?;
        if let Some(Content::Seal(by)) = last {
            return Ok(by);
        }
        let object = Object { nonce: fresh_nonce(), content: Content::Seal(adopter.clone()) };
        let key = object_key(id, seq);
        match store.put(&key, object.encode()?.into(), When::Absent).await {
            Ok(_) => return Ok(adopter.clone()),
            Err(PlatformError::Conflict(_)) => {}
            Err(err) => return Err(err.into()),
        }
    }
}

/// Follows the seals from `id` to the journal that now holds its programs.
pub async fn find_owner<S: ObjectStore>(
    store: &S,
    id: &JournalId,
) -> Result<JournalId, JournalError> {
    let mut path = find_owner_path(store, id).await?;
    Ok(path.pop().unwrap_or_else(|| id.clone()))
}

/// Returns the journals that have held the programs of `id`, from `id` itself
/// to the one that holds them now.
pub async fn find_owner_path<S: ObjectStore>(
    store: &S,
    id: &JournalId,
) -> Result<Vec<JournalId>, JournalError> {
    let mut path = vec![id.clone()];
    let mut next = id.clone();
    while path.len() <= MAX_HOPS {
        match read_tail(store, &next).await?.1 {
            Some(Content::Seal(by)) => next = by,
            _ => return Ok(path),
        }
        path.push(next.clone());
    }
    Err(JournalError::Corrupt(format!("more than {MAX_HOPS} seals from {id}")))
}

/// Deletes all objects but the last, the seal, which [`find_owner`] and
/// [`find_owner_path`] still need.
pub async fn remove_records<S: ObjectStore>(store: &S, id: &JournalId) -> Result<(), JournalError> {
    let listing = store.list(&journal_prefix(id)).await?;
    let Some((_, records)) = listing.items.split_last() else { return Ok(()) };
    for item in records {
        store.delete(&item.key).await?;
    }
    Ok(())
}

/// Returns the next free sequence number, and the content of the object before it.
async fn read_tail<S: ObjectStore>(
    store: &S,
    id: &JournalId,
) -> Result<(u64, Option<Content>), JournalError> {
    let listing = store.list(&journal_prefix(id)).await?;
    let Some(item) = listing.items.last() else { return Ok((0, None)) };
    let Some(found) = store.get(&item.key).await? else {
        return Err(JournalError::Platform(
            "the journal's last object was deleted after the listing".into(),
        ));
    };
    let content = Object::decode(&found.body)?.content;
    let next = parse_sequence(&item.key).map_or(0, |seq| seq + 1);
    Ok((next, Some(content)))
}
