//! The gauges that one coordinator reports to the metrics of the process.

use super::metrics::Metrics;
use crate::interface::ReplicaId;
use crate::policy::DecisionPolicy;
use crate::time::Micros;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The interval at which the policy's view of the servers is polled.
const POLICY_POLL_INTERVAL: Micros = Micros::from_millis(100);
/// The time after which a server that the policy avoids counts as ejected. Many servers are avoided
/// for a moment, while another one is faster.
const EJECTED_AFTER: Micros = Micros::from_secs(1);

/// The share of this coordinator in each gauge.
#[derive(Debug, Default, Clone, Copy)]
struct GaugeValues {
    active: usize,
    pool_size: usize,
    pool_ejected: usize,
}

/// Reports the gauges of one coordinator and watches how long the policy avoids servers.
#[derive(Debug)]
pub(super) struct MetricsReporter {
    metrics: Arc<Metrics>,
    /// The values of the last report.
    reported: GaugeValues,
    last_policy_poll: Micros,
    /// The servers that the policy avoids, with the time since which it does.
    avoided_since: BTreeMap<ReplicaId, Micros>,
}

impl MetricsReporter {
    /// Creates a reporter that has reported nothing.
    pub(super) fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            metrics,
            reported: GaugeValues::default(),
            last_policy_poll: Micros::ZERO,
            avoided_since: BTreeMap::new(),
        }
    }

    /// Reports the pending queries in each turn, and the state of the servers every
    /// [`POLICY_POLL_INTERVAL`].
    pub(super) fn report(
        &mut self,
        now: Micros,
        pending_queries: usize,
        policy: &DecisionPolicy,
        count_listed: impl FnOnce() -> usize,
    ) {
        let mut values = GaugeValues {
            active: pending_queries,
            ..self.reported
        };
        if now.since(self.last_policy_poll) >= POLICY_POLL_INTERVAL {
            self.last_policy_poll = now;
            values.pool_size = count_listed();
            values.pool_ejected = self.count_ejected(now, policy.ejected());
        }
        self.publish(values);
    }

    /// Returns the number of servers that have been avoided for [`EJECTED_AFTER`] or longer.
    fn count_ejected(&mut self, now: Micros, avoided: Vec<ReplicaId>) -> usize {
        self.avoided_since
            .retain(|replica, _| avoided.contains(replica));
        for replica in avoided {
            self.avoided_since.entry(replica).or_insert(now);
        }
        self.avoided_since
            .values()
            .filter(|since| now.since(**since) >= EJECTED_AFTER)
            .count()
    }

    /// Updates the gauges of the process.
    fn publish(&mut self, values: GaugeValues) {
        let previous = std::mem::replace(&mut self.reported, values);
        self.metrics.active.update(previous.active, values.active);
        self.metrics
            .pool_size
            .update(previous.pool_size, values.pool_size);
        self.metrics
            .pool_ejected
            .update(previous.pool_ejected, values.pool_ejected);
    }
}
