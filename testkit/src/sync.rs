//! Mutexes whose value stays of use after a thread that held them has panicked.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also a poisoned one.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The value of a mutex, also of a poisoned one.
pub(crate) fn into_inner<T>(mutex: Mutex<T>) -> T {
    mutex.into_inner().unwrap_or_else(PoisonError::into_inner)
}
