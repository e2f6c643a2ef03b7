//! Memory that answers of replicas take up while they are read or kept.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Bytes of all answers together: less than a fifth of the smallest gateway's
/// memory (88 MB), as buffers take more than their content.
const HELD_MAX_BYTES: usize = 16 << 20;

/// Bytes of answers that a gateway holds.
#[derive(Clone, Debug, Default)]
pub struct Held {
    bytes: Arc<AtomicUsize>,
}

impl Held {
    /// Room for an answer, none taken yet.
    pub fn room(&self) -> Room {
        Room { held: self.clone(), taken: 0 }
    }

    /// Bytes that are taken.
    pub fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }
}

/// Room that one answer takes, given back when it is dropped.
#[derive(Debug)]
pub struct Room {
    held: Held,
    taken: usize,
}

impl Room {
    /// Takes `bytes` more; `false` if all answers together would be too large.
    pub fn take(&mut self, bytes: usize) -> bool {
        let before = self.held.bytes.fetch_add(bytes, Ordering::Relaxed);
        self.taken += bytes;
        before + bytes <= HELD_MAX_BYTES
    }

    /// Bytes that this answer takes.
    pub fn taken(&self) -> usize {
        self.taken
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.held.bytes.fetch_sub(self.taken, Ordering::Relaxed);
    }
}
