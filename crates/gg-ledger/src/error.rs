//! Errors of ledger clients.

use quick_error::quick_error;

quick_error! {
    /// Why a ledger operation failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum LedgerError {
        /// Too few instances replied in time. Written data may take effect
        /// later or never.
        Unavailable(text: &'static str) {
            display("ledger unavailable: {text}")
        }
        /// Too many instances are full to open the turn. Nothing was reserved.
        Full {
            display("ledger full: too few members have room")
        }
        /// The instance is not connected.
        Disconnected {
            display("ledger instance not connected")
        }
        /// The message, a chain or a record of a turn, is too long to be sent.
        TooLong {
            display("the turn or the chain that it continues is too long to be stored")
        }
        /// A read quorum confirms that the turn does not exist.
        NoSuchTurn {
            display("no such turn")
        }
        /// The program's remaining budget is too small for the turn.
        BudgetSpent(spent: u64) {
            display("budget spent: {spent} tokens spent or set aside")
        }
    }
}
