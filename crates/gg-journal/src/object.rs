//! Stored format of a journal object.

use gg_protocol::JournalId;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::value::RawValue;

use crate::JournalError;

/// One object of a journal.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Object {
    /// Identifies the write, so that the writer recognises its own object if
    /// the platform's response was lost.
    pub(crate) nonce: String,
    /// Records or seal.
    pub(crate) content: Content,
}

/// Content of an object.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Content {
    /// One group commit.
    Records(Vec<Fragment>),
    /// The end of the journal, with the journal that takes over its programs.
    Seal(JournalId),
}

/// A record, or a part of a record that is too large for one object.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Fragment {
    /// A whole record.
    Whole(Box<RawValue>),
    /// Part of a record's JSON text; more parts follow.
    Part(String),
    /// The last part of a record's JSON text.
    Last(String),
}

/// Records whose JSON text is longer than this are split. JSON quoting can
/// double the size of a part, which then still fits into an object.
const FRAGMENT_MAX_BYTES: usize = 300_000;

impl Fragment {
    /// Splits a record that exceeds [`FRAGMENT_MAX_BYTES`].
    pub(crate) fn split(record: Box<RawValue>) -> Vec<Fragment> {
        if record.get().len() <= FRAGMENT_MAX_BYTES {
            return vec![Fragment::Whole(record)];
        }
        let mut fragments = Vec::new();
        let mut rest = record.get();
        while rest.len() > FRAGMENT_MAX_BYTES {
            let (part, tail) = rest.split_at(rest.floor_char_boundary(FRAGMENT_MAX_BYTES));
            fragments.push(Fragment::Part(part.into()));
            rest = tail;
        }
        fragments.push(Fragment::Last(rest.into()));
        fragments
    }

    /// Upper bound on the fragment's encoded size in an object, in bytes.
    pub(crate) fn size(&self) -> usize {
        match self {
            Fragment::Whole(record) => record.get().len() + 16,
            Fragment::Part(text) | Fragment::Last(text) => 2 * text.len() + 16,
        }
    }
}

/// Reassembles records from their fragments.
#[derive(Debug, Default)]
pub(crate) struct RecordAssembler {
    parts: String,
}

impl RecordAssembler {
    /// Adds the next fragment; returns the record once it is complete.
    pub(crate) fn push<R: DeserializeOwned>(
        &mut self,
        fragment: Fragment,
    ) -> Result<Option<R>, JournalError> {
        match fragment {
            Fragment::Whole(record) => Ok(Some(serde_json::from_str(record.get())?)),
            Fragment::Part(text) => {
                self.parts.push_str(&text);
                Ok(None)
            }
            Fragment::Last(text) => {
                let mut whole = std::mem::take(&mut self.parts);
                whole.push_str(&text);
                Ok(Some(serde_json::from_str(&whole)?))
            }
        }
    }
}

impl Object {
    pub(crate) fn decode(body: &[u8]) -> Result<Self, JournalError> {
        Ok(serde_json::from_slice(body)?)
    }

    pub(crate) fn encode(&self) -> Result<Vec<u8>, JournalError> {
        Ok(serde_json::to_vec(self)?)
    }
}

/// A random nonce that is unique to one write.
pub(crate) fn fresh_nonce() -> String {
    format!("{:032x}", rand::random::<u128>())
}
