//! Pauses of coroutines.

use std::time::Duration;

/// Suspends the current coroutine for `duration`.
pub fn sleep(duration: Duration) {
    may::coroutine::sleep(duration);
}

#[cfg(test)]
mod tests;
