//! Faults found in a settings or configuration file.

use std::fmt;

/// One invalid, unknown or missing entry of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Name of the file.
    pub file: String,
    /// Title of the section; empty before the first section.
    pub section: String,
    /// Key within the section; empty if the section itself is invalid.
    pub key: String,
    /// Invalid value; empty if the value is missing.
    pub value: String,
    /// Description of the allowed values.
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

/// All faults of one file.
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
