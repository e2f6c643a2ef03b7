//! Memory of the replies that a client reads at a time.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Bytes of each reply that don't count, so that short replies are read while long ones
/// use the budget up.
const FREE_BYTES: usize = 64 << 10;

/// Budget that the replies of a client share.
#[derive(Debug)]
pub(crate) struct ReplyBudget {
    max: usize,
    used: AtomicUsize,
}

/// Part of the budget that one reply uses; given back when it is dropped.
#[derive(Debug)]
pub(crate) struct ReplyShare {
    budget: Arc<ReplyBudget>,
    bytes: usize,
}

impl ReplyBudget {
    /// A budget of `max` bytes.
    pub(crate) fn new(max: usize) -> Self {
        ReplyBudget { max, used: AtomicUsize::new(0) }
    }

    /// The share of a reply that begins.
    pub(crate) fn share(self: &Arc<Self>) -> ReplyShare {
        ReplyShare { budget: self.clone(), bytes: 0 }
    }
}

impl ReplyShare {
    /// Counts further bytes; returns `false` if that exceeds the budget.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        let used = self.budget.used.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.bytes <= FREE_BYTES || used <= self.budget.max
    }
}

impl Drop for ReplyShare {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
