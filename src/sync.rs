//! Locks that outlive a panic.

use std::sync::{Mutex, MutexGuard, PoisonError};

#[cfg(test)]
mod tests;

/// Locks a mutex, also after a thread has panicked while it held the lock: the state behind each mutex of
/// this program is valid between any two statements, and serving on is better than ending with the first
/// panic.
pub fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
