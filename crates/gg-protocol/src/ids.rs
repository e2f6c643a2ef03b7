//! Identifiers of journals and programs.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Shared immutable name of an instance, customer, profile or upstream.
pub type Name = Arc<str>;

/// Maximum length of a name in external input, in bytes.
pub const NAME_MAX_BYTES: usize = 64;

/// Returns whether `text` may be used as a name in keys and headers.
pub fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    !text.is_empty() && text.len() <= NAME_MAX_BYTES && text.chars().all(allowed)
}

/// Identifier of one incarnation of a daemon, and of the journal that only
/// this incarnation appends to.
///
/// Text form: `instance.incarnation`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JournalId {
    /// Instance that the daemon runs on.
    pub instance: Name,
    /// Incarnation number; increases by one with each start.
    pub incarnation: u64,
}

impl fmt::Display for JournalId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.instance, self.incarnation)
    }
}

/// Error for text that is not a valid identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseIdError;

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected INSTANCE.INCARNATION or INSTANCE.INCARNATION.NUMBER")
    }
}

impl std::error::Error for ParseIdError {}

impl FromStr for JournalId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let (instance, number) = text.rsplit_once('.').ok_or(ParseIdError)?;
        if !is_name(instance) {
            return Err(ParseIdError);
        }
        let incarnation = number.parse().map_err(|_| ParseIdError)?;
        Ok(JournalId { instance: instance.into(), incarnation })
    }
}

/// Identifier of a program: the journal that created it and a number within
/// that journal.
///
/// Text form: `instance.incarnation.number`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProgramId {
    /// Journal in which the program was created.
    pub birth: JournalId,
    /// Number of the program within that journal.
    pub number: u64,
}

impl fmt::Display for ProgramId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.birth, self.number)
    }
}

impl FromStr for ProgramId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let (birth, number) = text.rsplit_once('.').ok_or(ParseIdError)?;
        let number = number.parse().map_err(|_| ParseIdError)?;
        Ok(ProgramId { birth: birth.parse()?, number })
    }
}

macro_rules! serde_as_text {
    ($name:ident) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(de::Error::custom)
            }
        }
    };
}

serde_as_text!(JournalId);
serde_as_text!(ProgramId);
