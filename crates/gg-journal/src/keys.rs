//! Keys of a journal's objects: `journal/INSTANCE/INCARNATION/SEQUENCE`,
//! padded so that they sort by number.

use gg_platform::{Listing, ObjectStore, PlatformError};
use gg_protocol::JournalId;

/// Prefix of all objects of one journal.
pub fn journal_prefix(id: &JournalId) -> String {
    format!("journal/{}/{:08}/", id.instance, id.incarnation)
}

pub(crate) fn object_key(id: &JournalId, seq: u64) -> String {
    format!("{}{seq:010}", journal_prefix(id))
}

pub(crate) fn sequence(key: &str) -> Option<u64> {
    key.rsplit_once('/')?.1.parse().ok()
}

/// Every incarnation that has objects, oldest first; all instances if none
/// is named.
pub async fn incarnations<S: ObjectStore>(
    store: &S,
    instance: Option<&str>,
) -> Result<Vec<JournalId>, PlatformError> {
    let prefix = match instance {
        Some(instance) => format!("journal/{instance}/"),
        None => "journal/".into(),
    };
    let listing = store.list(&prefix).await?;
    Ok(ids(&listing))
}

fn ids(listing: &Listing) -> Vec<JournalId> {
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
