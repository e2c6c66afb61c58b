//! Statistics of the use of connections, and of the attempts that are lost on them.

use super::FLEET_GAIN;
use crate::interface::Nanos;
use crate::stats::Ewma;

/// Difference between the share of attempts lost on idle connections and the share lost on others,
/// above which idle connections are taken to be silently dropped.
const EXCESS_IDLE_LOSS_SHARE: f64 = 0.25;

/// Use of connections to replicas, and losses on them.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct ConnectionStatistics {
    /// Time between two uses of a replica, in ns.
    reuse_interval: Ewma,
    /// Share of attempts lost on connections in use.
    loss_in_use: Ewma,
    /// Share of attempts lost on connections that were idle before.
    loss_when_idle: Ewma,
}

impl ConnectionStatistics {
    /// Records that a replica is used now and was last used at `last`, 0 if never. Several uses at
    /// the same time count as one.
    pub fn record_use(&mut self, last: Nanos, now: Nanos) {
        if last > 0 && last < now {
            let interval = (now - last) as f64;
            self.reuse_interval.record(interval, FLEET_GAIN);
        }
    }

    /// Records whether an attempt was lost; `idle` states whether its connection was idle before.
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

    /// Returns whether idle connections are silently dropped, that is whether far more attempts are
    /// lost on them than on others. The shares are compared because an outage raises both.
    #[must_use]
    pub fn idle_are_dropped(&self) -> bool {
        self.loss_when_idle.value() > self.loss_in_use.value() + EXCESS_IDLE_LOSS_SHARE
    }
}
