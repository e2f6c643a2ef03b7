//! The rules of a program: turn order, history, budget and the intents of
//! calls that must not be sent twice.
//!
//! State changes only by applying a [`Record`]. A record has the same effect
//! when its owner applies it after the commit and when a successor replays the
//! journal.
//!
//! ```
//! use gg_program::{Budget, Coverage};
//!
//! let mut budget = Budget { limit: 100, reserved: 10, ..Budget::default() };
//! assert_eq!(budget.check_coverage(8), Some(Coverage::Ready));
//! budget.begin(8);
//! assert!(matches!(budget.check_coverage(8), Some(Coverage::Reserve { total: 16.. })));
//! assert_eq!(budget.check_coverage(93), None, "exceeds the limit");
//! ```

mod budget;
mod digest;
mod error;
mod program;
mod program_table;
mod record;

pub use budget::{Budget, Coverage};
pub use digest::call_digest;
pub use error::RecordError;
pub use program::{Program, Prompt, State, Turn, TurnStatus, value_bytes};
pub use program_table::ProgramTable;
pub use record::{EndReason, Intent, Record, Start, TurnRecord};
