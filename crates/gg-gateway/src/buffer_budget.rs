//! Memory budget for buffered responses of replicas.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// No new work is admitted while all buffered responses together are larger, so that
/// those of work in progress can be buffered to their end.
const NEW_WORK_MAX_BYTES: usize = 12 << 20;

/// While all buffered responses together are larger, those that hold more than an equal
/// share of it are given up.
const SHARED_BYTES: usize = 16 << 20;

/// Limit for all buffered responses together: less than a third of the smallest
/// gateway's memory (88 MB), as joining the pieces of a response needs as much again.
const BUFFER_MAX_BYTES: usize = 24 << 20;

/// Counts the bytes of all buffered responses of a gateway.
#[derive(Clone, Debug, Default)]
pub struct BufferBudget {
    usage: Arc<Usage>,
}

#[derive(Debug, Default)]
struct Usage {
    bytes: AtomicUsize,
    /// Number of responses that hold any bytes.
    responses: AtomicUsize,
}

impl BufferBudget {
    /// Creates an empty reservation for one response.
    pub fn reservation(&self) -> Reservation {
        Reservation { usage: self.usage.clone(), reserved: 0 }
    }

    /// Bytes reserved by all responses.
    pub fn bytes(&self) -> usize {
        self.usage.bytes.load(Ordering::Relaxed)
    }

    /// Whether the response of new work can be expected to fit.
    pub fn has_room(&self) -> bool {
        self.bytes() <= NEW_WORK_MAX_BYTES
    }
}

/// Bytes reserved for one response; released on drop.
#[derive(Debug)]
pub struct Reservation {
    usage: Arc<Usage>,
    reserved: usize,
}

impl Reservation {
    /// Reserves `bytes` more. Returns `false` if the response has to be given up. The
    /// bytes are counted in either case.
    pub fn grow(&mut self, bytes: usize) -> bool {
        if bytes == 0 {
            return true;
        }
        let total = self.usage.bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if self.reserved == 0 {
            self.usage.responses.fetch_add(1, Ordering::Relaxed);
        }
        self.reserved += bytes;
        let responses = self.usage.responses.load(Ordering::Relaxed).max(1);
        total <= SHARED_BYTES
            || (total <= BUFFER_MAX_BYTES && self.reserved <= SHARED_BYTES / responses)
    }

    /// Bytes reserved for this response.
    pub fn reserved(&self) -> usize {
        self.reserved
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.reserved > 0 {
            self.usage.bytes.fetch_sub(self.reserved, Ordering::Relaxed);
            self.usage.responses.fetch_sub(1, Ordering::Relaxed);
        }
    }
}
