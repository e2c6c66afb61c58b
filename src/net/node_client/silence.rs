//! Silence detection: a connection counts as silent if attempts on it have waited for much longer
//! than attempts usually take and nothing was received. These attempts may merely be slow, but new
//! ones are sent on another connection if possible.

use crate::coordinator::AttemptKey;
use crate::time::Micros;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// The ratio of the silence timeout to the baseline response time.
const SILENCE_RATIO: u64 = 4;
/// The margin added to the silence timeout of attempts in flight.
const SILENCE_MARGIN: Micros = Micros::from_millis(5);
/// The bound to which a response time is reduced before it updates the baseline, as a multiple of
/// the baseline. It equals the bound in the policy: if it were larger, the policy would cancel
/// attempts before their connection counts as silent.
const MAX_OUTLIER_RATIO: u64 = 2;
/// The baseline before the first answer.
const INITIAL_BASELINE: Micros = Micros::from_millis(60);
/// The inverse weight of one response time in the baseline.
const BASELINE_SMOOTHING: u64 = 32;

/// The baseline response time of all nodes: an exponentially weighted moving average, updated by
/// the drivers of all connections.
#[derive(Debug)]
pub(super) struct ResponseTimeBaseline {
    /// The baseline, in microseconds.
    micros: AtomicU64,
}

impl Default for ResponseTimeBaseline {
    fn default() -> Self {
        ResponseTimeBaseline {
            micros: AtomicU64::new(INITIAL_BASELINE.0),
        }
    }
}

impl ResponseTimeBaseline {
    /// Updates the baseline with a response time.
    pub(super) fn record(&self, response_time: Micros) {
        let baseline = self.micros.load(Relaxed);
        let limited = response_time
            .0
            .min(baseline.saturating_mul(MAX_OUTLIER_RATIO));
        let updated = baseline - baseline / BASELINE_SMOOTHING + limited / BASELINE_SMOOTHING;
        self.micros.store(updated, Relaxed);
    }

    /// Returns how long a connection with attempts in flight may be silent.
    pub(super) fn silence_timeout(&self) -> Micros {
        self.cancelled_silence_timeout() + SILENCE_MARGIN
    }

    /// Returns how long a connection may have been silent when an attempt on it is cancelled. No
    /// margin is added: the policy cancels attempts that are overdue by its own estimate, and if
    /// the baseline is short, a margin would keep the connection in use after such a cancellation.
    pub(super) fn cancelled_silence_timeout(&self) -> Micros {
        Micros(self.micros.load(Relaxed) * SILENCE_RATIO)
    }
}

/// The silence of one connection.
#[derive(Debug, Default)]
pub(super) struct SilenceDetector {
    /// The time at which bytes were last received, or the connection was opened.
    last_received: Micros,
    /// The dispatch time of each attempt in flight.
    dispatched_at: HashMap<AttemptKey, Micros>,
    /// The total time for which attempts had waited that were cancelled since bytes were last
    /// received; overlapping waits count once.
    cancelled_silence: Micros,
    /// The time up to which waits are included in `cancelled_silence`.
    counted_through: Micros,
}

impl SilenceDetector {
    /// Creates the detector of a connection that is opened at the time `now`.
    pub(super) fn opened_at(now: Micros) -> Self {
        SilenceDetector {
            last_received: now,
            ..SilenceDetector::default()
        }
    }

    /// Records the dispatch of an attempt.
    pub(super) fn record_dispatched(&mut self, key: AttemptKey, now: Micros) {
        self.dispatched_at.insert(key, now);
    }

    /// Records that bytes were received, which ends the silence.
    pub(super) fn record_received(&mut self, now: Micros) {
        self.last_received = now;
        self.cancelled_silence = Micros::ZERO;
    }

    /// Records the end of an attempt and returns its dispatch time.
    pub(super) fn record_ended(&mut self, key: AttemptKey) -> Option<Micros> {
        self.dispatched_at.remove(&key)
    }

    /// Returns how long attempts, including cancelled ones, have waited without any bytes being
    /// received.
    pub(super) fn silent_for(&self, now: Micros) -> Micros {
        let Some(oldest) = self.dispatched_at.values().min() else {
            return self.cancelled_silence;
        };
        let silent_since = self.last_received.max(*oldest).max(self.counted_through);
        self.cancelled_silence + now.since(silent_since)
    }

    /// Records the cancellation of an attempt. Returns whether the connection counts as silent now.
    ///
    /// A machine that fails leaves its connections open and silent, and resets them when it is up
    /// again, so everything that was sent on them is lost. A dial of the failed machine times out
    /// instead, which proves that the attempt for which it was dialed never ran.
    pub(super) fn record_cancelled(
        &mut self,
        key: AttemptKey,
        now: Micros,
        timeout: Micros,
    ) -> bool {
        let dispatched_at = self.dispatched_at.remove(&key).unwrap_or(now);
        // Bytes that were received after the dispatch show that the connection works. Bytes that
        // were received earlier do not, nor does the opening of the connection.
        if self.last_received > dispatched_at {
            return false;
        }
        let silent_since = dispatched_at.max(self.counted_through);
        self.cancelled_silence = self.cancelled_silence + now.since(silent_since);
        self.counted_through = now;
        self.cancelled_silence > timeout
    }
}

#[cfg(test)]
mod tests;
