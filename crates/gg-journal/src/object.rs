//! Content of a journal object.

use gg_protocol::JournalId;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::value::RawValue;

use crate::JournalError;

/// One object of a journal.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Object {
    /// Identifies the write, to resolve a lost answer.
    pub(crate) nonce: String,
    /// What the object holds.
    pub(crate) content: Content,
}

/// What an object holds.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Content {
    /// One group commit.
    Records(Vec<Piece>),
    /// The end of the journal, naming who takes over.
    Seal(JournalId),
}

/// A record, or a part of one that is too large for an object.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Piece {
    /// A whole record.
    Whole(Box<RawValue>),
    /// Part of a record's JSON text; more parts follow.
    Part(String),
    /// The last part of a record's JSON text.
    Last(String),
}

/// Records longer than this are split, in bytes of JSON text. Quoting may
/// double a part, which then still fits an object.
const PIECE_MAX_BYTES: usize = 300_000;

impl Piece {
    /// Splits a record if it is large.
    pub(crate) fn split(record: Box<RawValue>) -> Vec<Piece> {
        if record.get().len() <= PIECE_MAX_BYTES {
            return vec![Piece::Whole(record)];
        }
        let mut pieces = Vec::new();
        let mut rest = record.get();
        while rest.len() > PIECE_MAX_BYTES {
            let (part, tail) = rest.split_at(rest.floor_char_boundary(PIECE_MAX_BYTES));
            pieces.push(Piece::Part(part.into()));
            rest = tail;
        }
        pieces.push(Piece::Last(rest.into()));
        pieces
    }

    /// Bytes that the piece takes in an object, at most.
    pub(crate) fn size(&self) -> usize {
        match self {
            Piece::Whole(record) => record.get().len() + 16,
            Piece::Part(text) | Piece::Last(text) => 2 * text.len() + 16,
        }
    }
}

/// Puts records together again from their pieces.
#[derive(Debug, Default)]
pub(crate) struct Joiner {
    parts: String,
}

impl Joiner {
    /// Takes the next piece; returns a record once it is complete.
    pub(crate) fn push<R: DeserializeOwned>(
        &mut self,
        piece: Piece,
    ) -> Result<Option<R>, JournalError> {
        match piece {
            Piece::Whole(record) => Ok(Some(serde_json::from_str(record.get())?)),
            Piece::Part(text) => {
                self.parts.push_str(&text);
                Ok(None)
            }
            Piece::Last(text) => {
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

/// A nonce that no other write carries.
pub(crate) fn fresh_nonce() -> String {
    format!("{:032x}", rand::random::<u128>())
}
