//! Counts the memory of the histories of programs.

use gg_http::{MemoryBudget, MemoryError, Reservation};

/// Share of the callers' memory that histories may use; the rest is left to calls.
const HISTORIES_PERCENT: usize = 75;

/// Budget for the histories of all programs of a daemon, a part of the callers' budget.
pub(crate) struct HistoryBudget {
    callers: MemoryBudget,
    histories: MemoryBudget,
}

impl HistoryBudget {
    pub(crate) fn new(callers: &MemoryBudget) -> Self {
        let max = callers.max_bytes() / 100 * HISTORIES_PERCENT;
        HistoryBudget { callers: callers.clone(), histories: MemoryBudget::new(max) }
    }

    /// Counts a history of `bytes` bytes that is held in any case.
    pub(crate) fn count(&self, bytes: usize) -> HistoryMemory {
        let memory = HistoryMemory {
            in_callers: self.callers.empty_reservation(),
            in_histories: self.histories.empty_reservation(),
        };
        memory.settle(bytes);
        memory
    }
}

/// Memory of one program's history; released on drop.
pub(crate) struct HistoryMemory {
    in_callers: Reservation,
    in_histories: Reservation,
}

impl HistoryMemory {
    /// Reserves what a turn may add to the history.
    pub(crate) async fn reserve(&self, bytes: usize) -> Result<(), MemoryError> {
        self.in_histories.grow(bytes).await?;
        self.in_callers.resize(self.in_histories.bytes());
        Ok(())
    }

    /// Counts a history that takes `bytes` bytes, whatever was reserved.
    pub(crate) fn settle(&self, bytes: usize) {
        self.in_histories.resize(bytes);
        self.in_callers.resize(bytes);
    }
}
