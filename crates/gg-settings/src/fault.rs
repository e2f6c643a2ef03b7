//! Faults found in a file.

use std::fmt;

/// One fault, with all that is needed to mend it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// File that was read.
    pub file: String,
    /// Section in brackets; empty for the part before the first one.
    pub section: String,
    /// Key within the section; empty if the section itself is at fault.
    pub key: String,
    /// Value found; empty if there is none.
    pub value: String,
    /// What is allowed there.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "file={} section={:?} key={:?} value={:?} allowed={:?}",
            self.file, self.section, self.key, self.value, self.allowed
        )
    }
}

/// Every fault of one file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.0 {
            writeln!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
