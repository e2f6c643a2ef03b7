//! Types shared by all crates: identifiers, bounds of a deployment, configuration
//! documents, messages between daemons, overload statistics, and the failures that
//! callers receive.

pub mod bounds;
pub mod chat;
pub mod clock;
pub mod config;
pub mod failure;
pub mod ids;
pub mod overload;
pub mod peer;
pub mod step;
pub mod suspension;
pub mod view;

pub use bounds::DirectoryBounds;
pub use chat::{ChatCall, Message, Usage};
pub use config::{Customer, Doc, Document, Entry, Model, Profile, Rank, Upstream, UpstreamKind};
pub use failure::{Code, Failure, Ran};
pub use ids::{JournalId, Name, ProgramId};
pub use overload::OverloadStats;
pub use step::{Answer, Call, ServiceCall, StartReply, StartRequest, StepEvent, StepRequest};
pub use view::{ProgramView, TurnView};
