//! The rules of a program: turn order, history, budget and the intents of
//! calls that must not be sent twice.
//!
//! State changes only by applying a [`Record`]. A record has the same effect
//! when its owner applies it after the commit and when a successor replays the
//! journal.
//!
//! ```
//! use gg_program::{Budget, Cover};
//!
//! let mut budget = Budget { limit: 100, reserved: 10, ..Budget::default() };
//! assert_eq!(budget.cover(8), Some(Cover::Ready));
//! budget.begin(8);
//! assert!(matches!(budget.cover(8), Some(Cover::Reserve { total: 16.. })));
//! assert_eq!(budget.cover(93), None, "exceeds the limit");
//! ```

mod book;
mod budget;
mod digest;
mod error;
mod program;
mod record;

pub use book::Book;
pub use budget::{Budget, Cover};
pub use digest::call_digest;
pub use error::RuleError;
pub use program::{Place, Program, Prompt, State, Turn};
pub use record::{EndReason, Intent, Record, Start, TurnRecord};
