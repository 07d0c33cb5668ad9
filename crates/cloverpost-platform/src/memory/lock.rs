//! Mutex locking.

use std::sync;

/// Locks `mutex`, ignoring poisoning: no critical section in this module can leave its state
/// inconsistent.
pub fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
