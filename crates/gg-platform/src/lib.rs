//! Client of the platform: versioned objects with conditional writes and
//! watches, and the list of instances. Also the interface of the platform's
//! directory, with functions that follow and mirror its entries.

mod answers;
mod client;
mod confirmed;
mod copy_ages;
mod directory;
mod error;
mod follow;
mod freshness;
mod mirror;
mod outages;
mod revision_check;
mod store;
mod types;

pub use answers::{AnswerLog, AnswerReport, AnswerSpan, Outage};
pub use client::{Platform, PlatformSettings};
pub use confirmed::Confirmed;
pub use copy_ages::{
    CopyAges, DELIVERY_TIME, MIRROR_INTERVAL, OWN_LIST_SPREAD, OWN_LIST_TIME, POLL_INTERVAL,
    POLL_SLOWDOWN, age_limit,
};
pub use directory::{Change, Directory, Entry, Kind, Snapshot, UNREADABLE_BODY, Watched};
pub use error::PlatformError;
pub use follow::{DirectoryUpdate, FollowContext, FollowSettings, follow, follow_unless_fresh};
pub use freshness::{FRESH_TIME, Freshness};
pub use mirror::{Mirror, MirrorUpdate};
pub use store::ObjectStore;
pub use types::{Changes, InstanceInfo, InstanceKind, InstanceState, Item, Listing, Object, When};
