//! When a connection counts as silent: attempts on it wait for much longer than attempts usually take, and nothing is
//! received. The attempts may just be slow, but nothing new must wait behind them.

use crate::coordinator::AttemptKey;
use crate::time::Micros;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// A connection counts as silent after this multiple of the baseline response time and [`SILENCE_MARGIN`].
const SILENCE_RATIO: u64 = 4;
/// Added for attempts that are still in flight.
const SILENCE_MARGIN: Micros = Micros::from_millis(5);
/// A response time counts in the baseline as at most this multiple of it, as in the policy: were it more here, a few
/// outliers would have the policy cancel attempts before their connection counts as silent, again and again.
const MAX_OUTLIER_RATIO: u64 = 2;
/// The baseline before any response.
const INITIAL_BASELINE: Micros = Micros::from_millis(60);
/// The weight of a response time in the baseline is one in this many.
const BASELINE_SMOOTHING: u64 = 32;

/// The baseline response time of all nodes: an exponentially weighted moving average that the drivers of all connections
/// share.
#[derive(Debug)]
pub(super) struct ResponseTimeBaseline {
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
    pub(super) fn record(&self, response_time: Micros) {
        let baseline = self.micros.load(Relaxed);
        let limited = response_time
            .0
            .min(baseline.saturating_mul(MAX_OUTLIER_RATIO));
        let updated = baseline - baseline / BASELINE_SMOOTHING + limited / BASELINE_SMOOTHING;
        self.micros.store(updated, Relaxed);
    }

    /// How long a connection may be silent with attempts in flight.
    pub(super) fn silence_timeout(&self) -> Micros {
        self.cancelled_silence_timeout() + SILENCE_MARGIN
    }

    /// The same where the attempts were cancelled. The policy cancels what is overdue by its own estimate, so that no margin
    /// is needed: with it, an attempt cancelled after 6 ms where 1 ms is the baseline left its connection in use, and the
    /// next attempt, on just such a connection of the other replica, had nowhere to go for the rest of the client's time.
    pub(super) fn cancelled_silence_timeout(&self) -> Micros {
        Micros(self.micros.load(Relaxed) * SILENCE_RATIO)
    }
}

/// How long a connection has been silent while attempts waited.
#[derive(Debug, Default)]
pub(super) struct SilenceDetector {
    /// When bytes were last received, or when the connection was opened.
    last_received: Micros,
    /// When each attempt in flight was dispatched.
    dispatched_at: HashMap<AttemptKey, Micros>,
    /// How long attempts that were cancelled since the last bytes had waited; attempts that waited together count once.
    cancelled_silence: Micros,
    /// Up to when `cancelled_silence` is counted.
    counted_through: Micros,
}

impl SilenceDetector {
    pub(super) fn opened_at(now: Micros) -> Self {
        SilenceDetector {
            last_received: now,
            ..SilenceDetector::default()
        }
    }

    pub(super) fn record_dispatched(&mut self, key: AttemptKey, now: Micros) {
        self.dispatched_at.insert(key, now);
    }

    pub(super) fn record_received(&mut self, now: Micros) {
        self.last_received = now;
        self.cancelled_silence = Micros::ZERO;
    }

    /// An attempt has ended; when it was dispatched.
    pub(super) fn record_ended(&mut self, key: AttemptKey) -> Option<Micros> {
        self.dispatched_at.remove(&key)
    }

    /// How long attempts have waited with nothing received, cancelled ones included.
    pub(super) fn silent_for(&self, now: Micros) -> Micros {
        let Some(oldest) = self.dispatched_at.values().min() else {
            return self.cancelled_silence;
        };
        let silent_since = self.last_received.max(*oldest).max(self.counted_through);
        self.cancelled_silence + now.since(silent_since)
    }

    /// An attempt is cancelled; true: by now the connection counts as silent. A machine that vanished leaves its connections
    /// open and silent, and resets them when it is back, so that whatever is sent on them is lost. A new connection fails in
    /// time and proves that the attempt never ran.
    pub(super) fn record_cancelled(
        &mut self,
        key: AttemptKey,
        now: Micros,
        timeout: Micros,
    ) -> bool {
        let dispatched_at = self.dispatched_at.remove(&key).unwrap_or(now);
        // A new connection counts as heard from when its first attempt is dispatched: that proves nothing yet.
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
