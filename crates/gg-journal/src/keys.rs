//! Keys of a journal's objects: `journal/INSTANCE/INCARNATION/SEQUENCE`, with
//! zero-padded numbers so that the keys sort in numerical order.

use gg_platform::{Listing, ObjectStore, PlatformError};
use gg_protocol::JournalId;

/// Key prefix of all objects of one journal.
pub fn journal_prefix(id: &JournalId) -> String {
    format!("journal/{}/{:08}/", id.instance, id.incarnation)
}

pub(crate) fn object_key(id: &JournalId, seq: u64) -> String {
    format!("{}{seq:010}", journal_prefix(id))
}

pub(crate) fn parse_sequence(key: &str) -> Option<u64> {
    key.rsplit_once('/')?.1.parse().ok()
}

/// Lists the incarnations that have objects, oldest first within an instance,
/// for `instance` or for all instances.
pub async fn incarnations<S: ObjectStore>(
    store: &S,
    instance: Option<&str>,
) -> Result<Vec<JournalId>, PlatformError> {
    let prefix = match instance {
        Some(instance) => format!("journal/{instance}/"),
        None => "journal/".into(),
    };
    let listing = store.list(&prefix).await?;
    Ok(journal_ids(&listing))
}

fn journal_ids(listing: &Listing) -> Vec<JournalId> {
    let mut found: Vec<JournalId> = Vec::new();
    for item in &listing.items {
        let mut parts = item.key.split('/').skip(1);
        let (Some(instance), Some(number)) = (parts.next(), parts.next()) else { continue };
        let Ok(incarnation) = number.parse() else { continue };
        let id = JournalId { instance: instance.into(), incarnation };
        if found.last() != Some(&id) {
            found.push(id);
        }
    }
    found
}
