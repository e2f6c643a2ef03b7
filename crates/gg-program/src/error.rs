//! Errors of the rules.

use gg_protocol::ProgramId;
use quick_error::quick_error;

quick_error! {
    /// A record that the rules do not allow.
    #[derive(Clone, Debug, PartialEq)]
    pub enum RuleError {
        /// The record is of a program that does not exist here.
        Missing(program: ProgramId) {
            display("no program {program}")
        }
        /// The record does not follow the program's order.
        OutOfOrder(program: ProgramId, turn: u32, expected: u32) {
            display("turn {turn} of {program} where {expected} was expected")
        }
        /// The chain of digests is broken: history is missing or mixed.
        BrokenChain(program: ProgramId, turn: u32) {
            display("the history of {program} does not match its digest at turn {turn}")
        }
    }
}
