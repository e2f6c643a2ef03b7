//! Errors of the ledger's clients.

use quick_error::quick_error;

quick_error! {
    /// Why the ledger could not do what it was asked for.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum LedgerError {
        /// Too few instances answered in time; what was written may count
        /// later or never.
        Unavailable(text: &'static str) {
            display("ledger unavailable: {text}")
        }
        /// The instance is not connected.
        Disconnected {
            display("ledger instance not connected")
        }
        /// Enough instances confirm that there is no such turn.
        NoSuchTurn {
            display("no such turn")
        }
        /// The program's budget does not hold the turn.
        BudgetSpent(spent: u64) {
            display("budget spent: {spent} tokens spent or set aside")
        }
    }
}
