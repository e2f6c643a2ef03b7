//! The rules of a program: turn order, history, budget and the record of
//! calls that may not be repeated.
//!
//! State changes only by applying a [`Record`], the same way when it has
//! just been committed and when a successor replays the journal.
//!
//! ```
//! use gg_program::{Budget, Cover};
//!
//! let mut budget = Budget { limit: 100, reserved: 10, ..Budget::default() };
//! assert_eq!(budget.cover(8), Some(Cover::Ready));
//! budget.begin(8);
//! assert!(matches!(budget.cover(8), Some(Cover::Reserve { total: 16.. })));
//! assert_eq!(budget.cover(93), None, "beyond the limit");
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
