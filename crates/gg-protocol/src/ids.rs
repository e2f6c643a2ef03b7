//! Identifiers of journals and programs.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// A shared immutable name of an instance, customer, profile or upstream.
pub type Name = Arc<str>;

/// Longest name accepted from outside, in bytes.
pub const NAME_MAX_BYTES: usize = 64;

/// Tells whether `text` may be used as a name in keys and headers.
pub fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    !text.is_empty() && text.len() <= NAME_MAX_BYTES && text.chars().all(allowed)
}

/// One incarnation of a daemon, and the journal that it alone appends to.
///
/// Text form: `instance.incarnation`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JournalId {
    /// Instance that the daemon runs on.
    pub instance: Name,
    /// Number of this start, growing by one with each.
    pub incarnation: u64,
}

impl fmt::Display for JournalId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.instance, self.incarnation)
    }
}

/// An identifier that does not have the expected text form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadId;

impl fmt::Display for BadId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected INSTANCE.INCARNATION or INSTANCE.INCARNATION.NUMBER")
    }
}

impl std::error::Error for BadId {}

impl FromStr for JournalId {
    type Err = BadId;

    fn from_str(text: &str) -> Result<Self, BadId> {
        let (instance, number) = text.rsplit_once('.').ok_or(BadId)?;
        if !is_name(instance) {
            return Err(BadId);
        }
        let incarnation = number.parse().map_err(|_| BadId)?;
        Ok(JournalId { instance: instance.into(), incarnation })
    }
}

/// A program, named by the journal in which it was born and a number there.
///
/// Text form: `instance.incarnation.number`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProgramId {
    /// Journal that accepted the program.
    pub birth: JournalId,
    /// Number within that journal.
    pub number: u64,
}

impl fmt::Display for ProgramId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.birth, self.number)
    }
}

impl FromStr for ProgramId {
    type Err = BadId;

    fn from_str(text: &str) -> Result<Self, BadId> {
        let (birth, number) = text.rsplit_once('.').ok_or(BadId)?;
        let number = number.parse().map_err(|_| BadId)?;
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
