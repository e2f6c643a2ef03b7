//! The rules of a program: turn order, history, budget and the record of
//! calls that may not be repeated.
//!
//! State changes only by applying a [`Record`], the same way when it has
//! just been committed and when a successor replays the journal.

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
