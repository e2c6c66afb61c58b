//! Use of connections, and the share of attempts that is lost on them.

use super::FLEET_GAIN;
use crate::interface::Nanos;
use crate::stats::Ewma;

/// Excess of the loss on idle connections over that on others, as a share of attempts, from which
/// idle connections count as silently dropped.
const EXCESS_IDLE_LOSS_SHARE: f64 = 0.25;

/// Use of connections to replicas, and losses on them.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct ConnectionStatistics {
    /// Time between two uses of a replica, in ns.
    reuse_interval: Ewma,
    /// Share of attempts lost on connections in use.
    loss_in_use: Ewma,
    /// Share of attempts lost on connections that had been idle.
    loss_when_idle: Ewma,
}

impl ConnectionStatistics {
    /// Records that a replica is used that was last used at `last`; 0 if it never was. Two uses at
    /// one time count as one.
    pub fn record_use(&mut self, last: Nanos, now: Nanos) {
        if last > 0 && last < now {
            let interval = (now - last) as f64;
            self.reuse_interval.record(interval, FLEET_GAIN);
        }
    }

    /// Records whether an attempt was lost, on a connection that had been idle or on another.
    pub fn record_attempt(&mut self, idle: bool, lost: bool) {
        let loss = if idle {
            &mut self.loss_when_idle
        } else {
            &mut self.loss_in_use
        };
        loss.record(f64::from(lost), FLEET_GAIN);
    }

    /// Returns the smoothed time between two uses of a replica, in ns.
    #[must_use]
    pub fn reuse_interval(&self) -> f64 {
        self.reuse_interval.value()
    }

    /// Returns whether idle connections are silently dropped: far more is lost on them than on
    /// others. An outage raises both losses.
    #[must_use]
    pub fn idle_are_dropped(&self) -> bool {
        self.loss_when_idle.value() > self.loss_in_use.value() + EXCESS_IDLE_LOSS_SHARE
    }
}
