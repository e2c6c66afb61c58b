//! The backoff between discovery watches, and the timeout for the first message of each.

use super::SILENCE_TIMEOUT;
use crate::interface::Nanos;
use crate::time::Micros;
use std::time::Duration;

/// The range of a delay or timeout that doubles after each failure, in milliseconds.
#[derive(Debug, Clone, Copy)]
struct DelayRange {
    min_ms: u64,
    max_ms: u64,
}

/// The delays if a local discovery agent serves the endpoint lists. They are short: requests to the
/// agent are cheap, and discovery counts a coordinator as notified of every change that the agent
/// has received, even right after the agent was silent.
const AGENT_DELAY: DelayRange = DelayRange {
    min_ms: 25,
    max_ms: 250,
};
/// The timeouts for the first message of a local agent, which responds at once. A watch that was
/// opened while the agent was silent may never get a response. The timeouts grow, since the agent
/// would exceed a short one each time while the machine is slow.
const AGENT_FIRST_MESSAGE_TIMEOUT: DelayRange = DelayRange {
    min_ms: 500,
    max_ms: SILENCE_TIMEOUT.0 / MICROS_PER_MILLI,
};
/// The ratio of the longest delay to the shortest one if all coordinators share one discovery
/// service. The longest delay is the maximum poll interval of the settings. Such a service rejects
/// all but a few requests at a time, so the total rate of requests must fall until some of them are
/// served.
const SHARED_MIN_DELAY_DIVISOR: u64 = 10;
/// The lower bound to which a shorter maximum poll interval is raised, in milliseconds.
const MIN_SHARED_POLL_INTERVAL_MS: u64 = 1_000;
/// The timeout for the first message of a shared discovery service, which may respond late.
pub(super) const SHARED_FIRST_MESSAGE_TIMEOUT: Micros = Micros::from_millis(4_500);

/// The number of microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1_000;

/// An exponential backoff with jitter: coordinators whose watches ended at the same time do not
/// open new ones at the same time.
#[derive(Debug)]
pub struct Backoff {
    /// The last delay before its jitter, in milliseconds; 0 after a reset.
    delay_ms: u64,
    /// The timeout for the first message of the next watch to an agent, in milliseconds.
    first_message_timeout_ms: u64,
    rng: fastrand::Rng,
}

impl Backoff {
    /// Creates a backoff that starts with the shortest delay; `seed` sets its jitter.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Backoff {
            delay_ms: 0,
            first_message_timeout_ms: AGENT_FIRST_MESSAGE_TIMEOUT.min_ms,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Returns the delay after a watch has ended. Restarts with the shortest delay if an endpoint
    /// list was received on that watch, and doubles the delay otherwise.
    ///
    /// `max_poll_interval`, in nanoseconds, is set if lists are polled from a shared discovery
    /// service, which counts a coordinator that does not poll for this long as notified of every
    /// change.
    pub(super) fn next_delay(
        &mut self,
        list_received: bool,
        max_poll_interval: Option<Nanos>,
    ) -> Duration {
        let delays = delay_range(max_poll_interval);
        let timeouts = AGENT_FIRST_MESSAGE_TIMEOUT;
        if list_received {
            self.delay_ms = delays.min_ms;
            self.first_message_timeout_ms = timeouts.min_ms;
        } else {
            self.delay_ms = (self.delay_ms * 2).clamp(2 * delays.min_ms, delays.max_ms);
            self.first_message_timeout_ms =
                (self.first_message_timeout_ms * 2).min(timeouts.max_ms);
        }
        Duration::from_millis(self.rng.u64(self.delay_ms / 2..=self.delay_ms))
    }

    /// Restarts with the shortest delay. Keeps the timeout for the first message.
    pub(super) fn reset_delay(&mut self) {
        self.delay_ms = 0;
    }

    /// Returns the timeout for the first message of the next watch.
    pub(super) fn first_message_timeout(&self, max_poll_interval: Option<Nanos>) -> Micros {
        match max_poll_interval {
            Some(_) => SHARED_FIRST_MESSAGE_TIMEOUT,
            None => Micros::from_millis(self.first_message_timeout_ms),
        }
    }
}

fn delay_range(max_poll_interval: Option<Nanos>) -> DelayRange {
    let Some(interval) = max_poll_interval else {
        return AGENT_DELAY;
    };
    let interval_ms = Micros::from_nanos(interval).0 / MICROS_PER_MILLI;
    let max_ms = interval_ms.max(MIN_SHARED_POLL_INTERVAL_MS);
    DelayRange {
        min_ms: max_ms / SHARED_MIN_DELAY_DIVISOR,
        max_ms,
    }
}

#[cfg(test)]
mod tests;
