//! Signals sent to the process, which are recorded and polled by the coordinators' loops.

use super::ServerError;
use crate::coordinator::COUNTERS;
use crate::time::{Clock, Micros};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, OnceLock};

/// The stack of the thread that waits for signals, in bytes.
const STACK_BYTES: usize = 64 * 1024;

/// The requests made by signals so far.
#[derive(Debug, Default)]
pub(super) struct Signals {
    /// The time of the first request for a shutdown.
    shutdown_requested_at: OnceLock<Micros>,
    /// The number of reloads that were requested.
    reloads_requested: AtomicU64,
}

impl Signals {
    /// Starts a thread that waits for signals. SIGTERM and SIGINT request a shutdown, SIGHUP a
    /// reload, and SIGUSR1 logs the counters.
    pub(super) fn listen(clock: Clock) -> Result<Arc<Self>, ServerError> {
        let signals = Arc::new(Signals::default());
        let recorder = signals.clone();
        let mut incoming = iterator::Signals::new([SIGTERM, SIGINT, SIGUSR1, SIGHUP])
            .map_err(ServerError::Signals)?;
        // A separate thread, since waiting for a signal would block the worker of the coroutines.
        std::thread::Builder::new()
            .stack_size(STACK_BYTES)
            .spawn(move || {
                incoming
                    .forever()
                    .for_each(|signal| recorder.handle(signal, clock.now()))
            })
            .map_err(ServerError::Signals)?;
        Ok(signals)
    }

    fn handle(&self, signal: i32, now: Micros) {
        match signal {
            SIGTERM | SIGINT => {
                self.shutdown_requested_at.get_or_init(|| now);
            }
            SIGUSR1 => COUNTERS.log(),
            _ => {
                self.reloads_requested.fetch_add(1, Relaxed);
            }
        }
    }

    /// Returns the time at which a shutdown was first requested; `None` before that.
    pub(super) fn shutdown_requested_at(&self) -> Option<Micros> {
        self.shutdown_requested_at.get().copied()
    }

    /// Returns the number of reloads that were requested.
    pub(super) fn reloads_requested(&self) -> u64 {
        self.reloads_requested.load(Relaxed)
    }
}

#[cfg(test)]
mod tests;
