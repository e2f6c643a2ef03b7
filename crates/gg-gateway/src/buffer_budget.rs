//! Memory budget for buffered responses of replicas.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Limit for all buffered responses together: less than a fifth of the smallest
/// gateway's memory (88 MB), as buffers take more memory than their content.
const BUFFER_MAX_BYTES: usize = 16 << 20;

/// Counts the bytes of all buffered responses of a gateway.
#[derive(Clone, Debug, Default)]
pub struct BufferBudget {
    bytes: Arc<AtomicUsize>,
}

impl BufferBudget {
    /// Creates an empty reservation for one response.
    pub fn reservation(&self) -> Reservation {
        Reservation { budget: self.clone(), reserved: 0 }
    }

    /// Bytes reserved by all responses.
    pub fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }
}

/// Bytes reserved for one response; released on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: BufferBudget,
    reserved: usize,
}

impl Reservation {
    /// Reserves `bytes` more; returns `false` if all responses together exceed
    /// the budget. The bytes are counted in either case.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let before = self.budget.bytes.fetch_add(bytes, Ordering::Relaxed);
        self.reserved += bytes;
        before + bytes <= BUFFER_MAX_BYTES
    }

    /// Bytes reserved for this response.
    pub fn reserved(&self) -> usize {
        self.reserved
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.bytes.fetch_sub(self.reserved, Ordering::Relaxed);
    }
}
