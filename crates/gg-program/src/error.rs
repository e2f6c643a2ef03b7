//! Errors raised when a record violates the rules of a program.

use gg_protocol::ProgramId;
use quick_error::quick_error;

quick_error! {
    /// A record that violates the rules.
    #[derive(Clone, Debug, PartialEq)]
    pub enum RecordError {
        /// The record's program is not in this journal.
        Missing(program: ProgramId) {
            display("unknown program {program}")
        }
        /// The record's turn is not the program's next turn.
        OutOfOrder(program: ProgramId, turn: u32, expected: u32) {
            display("unexpected turn {turn} of {program}; expected turn {expected}")
        }
        /// The digest chain does not match: history is missing or belongs to
        /// another program.
        BrokenChain(program: ProgramId, turn: u32) {
            display("the history of {program} does not match its chain digest at turn {turn}")
        }
    }
}
