//! Access to mutexes regardless of poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, including a poisoned one.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Consumes a mutex, including a poisoned one, and returns its value.
pub(crate) fn into_inner<T>(mutex: Mutex<T>) -> T {
    mutex.into_inner().unwrap_or_else(PoisonError::into_inner)
}
