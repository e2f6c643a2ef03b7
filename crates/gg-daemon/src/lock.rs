//! Locks that outlive a panic elsewhere.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex; state behind it stays usable after a panic elsewhere.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
