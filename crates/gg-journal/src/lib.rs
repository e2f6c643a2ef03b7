//! A journal per daemon incarnation, kept in the platform's object API.
//!
//! Each object is one group commit and is written only if absent, so whoever
//! writes the next number first decides what follows. A successor writes a
//! seal there: from then on the former owner's appends fail, whatever clocks
//! and lists of live instances say.

mod error;
mod journal;
mod keys;
mod object;
mod replay;
mod seal;
mod writer;

pub use error::JournalError;
pub use journal::{Journal, JournalSettings, Position};
pub use keys::{incarnations, journal_prefix};
pub use replay::{Replay, replay};
pub use seal::{find_owner, find_path, remove_records, seal};
