//! Mutex access that ignores poisoning.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex, also if another thread panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
