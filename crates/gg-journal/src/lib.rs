//! Write-ahead journal of a daemon incarnation, stored in the platform's
//! object API.
//!
//! Each object is one group commit and is written with a put-if-absent, so
//! exactly one writer wins each sequence number. A successor takes over by
//! writing a seal at the next number. From then on, the former owner's appends
//! fail; this does not depend on clocks or on lists of live instances.
//!
//! ```
//! use gg_fakes::MemoryStore;
//! use gg_journal::{Journal, JournalSettings, seal};
//! use tokio_util::sync::CancellationToken;
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), gg_journal::JournalError> {
//! let store = MemoryStore::new(1);
//! let stop = CancellationToken::new();
//! let settings = JournalSettings::default();
//! let old = Journal::open(store.clone(), "a1", settings.clone(), stop.clone()).await?;
//! let new = Journal::open(store.clone(), "a2", settings, stop).await?;
//! old.append(&["before the seal"]).await?;
//! seal(&store, old.id(), new.id()).await?;
//! assert!(old.append(&["after the seal"]).await.is_err());
//! # Ok(())
//! # }
//! ```

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
pub use seal::{find_owner, find_owner_path, remove_records, seal};
