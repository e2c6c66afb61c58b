//! Locking of mutexes that another thread may have poisoned by a panic.

use std::sync::{Mutex, MutexGuard, PoisonError};

#[cfg(test)]
mod tests;

/// Locks a mutex, even if it is poisoned. The state that each mutex of this program protects is valid
/// between any two statements, so the program can continue after a thread has panicked.
pub fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
