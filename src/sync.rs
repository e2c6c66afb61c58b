//! Locking of mutexes that another thread may have poisoned by a panic.

use std::sync::{Mutex, MutexGuard, PoisonError};

#[cfg(test)]
mod tests;

/// Locks a mutex, whether it is poisoned or not. The state behind each mutex of this program is
/// valid between any two statements, so the program continues after a panic of one thread.
pub fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
