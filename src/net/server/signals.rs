//! Signals sent to the process.

use super::ServerError;
use crate::coordinator::COUNTERS;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;

/// Stack of the thread that waits for signals, in bytes.
const STACK_BYTES: usize = 64 * 1024;

/// What signals have asked for so far.
#[derive(Debug, Default)]
pub(super) struct Signals {
    shutdown_requested: AtomicBool,
    reloads_requested: AtomicU64,
}

impl Signals {
    /// Waits for signals on a thread: SIGTERM and SIGINT ask for a shutdown, SIGHUP for a reload, and SIGUSR1 logs the
    /// counters.
    pub(super) fn listen() -> Result<Arc<Self>, ServerError> {
        let signals = Arc::new(Signals::default());
        let received = signals.clone();
        let mut incoming = iterator::Signals::new([SIGTERM, SIGINT, SIGUSR1, SIGHUP])
            .map_err(ServerError::Signals)?;
        // A thread of its own: waiting for a signal would block the worker.
        std::thread::Builder::new()
            .stack_size(STACK_BYTES)
            .spawn(move || {
                incoming
                    .forever()
                    .for_each(|signal| received.handle(signal))
            })
            .map_err(ServerError::Signals)?;
        Ok(signals)
    }

    fn handle(&self, signal: i32) {
        match signal {
            SIGTERM | SIGINT => self.shutdown_requested.store(true, Relaxed),
            SIGUSR1 => COUNTERS.log(),
            _ => {
                self.reloads_requested.fetch_add(1, Relaxed);
            }
        }
    }

    /// Whether a shutdown was asked for.
    pub(super) fn shutdown_requested(&self) -> bool {
        self.shutdown_requested.load(Relaxed)
    }

    /// How often a reload was asked for.
    pub(super) fn reloads_requested(&self) -> u64 {
        self.reloads_requested.load(Relaxed)
    }
}
