//! Scheduling of calls on replicas: admission of new work, choice of a replica,
//! limits on concurrent calls, and queue order.
//!
//! ```
//! use gg_dispatch::RetryBudget;
//!
//! let mut budget = RetryBudget::new(0.5, 1.0);
//! assert!(budget.spend());
//! assert!(!budget.spend(), "retries are limited to a share of successes");
//! budget.earn();
//! budget.earn();
//! assert!(budget.spend());
//! ```

mod admission;
mod dispatcher;
mod fairness;
mod limit;
mod pace;
mod placement;
mod quarantine;
mod queue;
mod rendezvous;
mod replica;
mod retry;

pub use admission::{Admission, NewWork, Occupancy, Refusal};
pub use dispatcher::{DispatchSettings, Dispatcher};
pub use fairness::DecayingUsage;
pub use limit::{AdaptiveLimit, LimitSettings};
pub use pace::{Pace, PaceView, PacedAnswer, PeerLoad};
pub use placement::{Candidate, Choice, PlaceReason, PlacementSettings, choose};
pub use quarantine::{Quarantine, Verdict};
pub use queue::{QueuedCall, RankQueue};
pub use rendezvous::{Member, owner, ranking};
pub use retry::RetryBudget;
