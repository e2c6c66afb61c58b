//! The gauges that one coordinator reports to the metrics of the process.

use super::metrics::Metrics;
use crate::interface::ReplicaId;
use crate::policy::DecisionPolicy;
use crate::time::Micros;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The interval at which the listed and the ejected servers are counted.
const SERVER_COUNT_INTERVAL: Micros = Micros::from_millis(100);
/// The time after which a server that the policy avoids counts as ejected. The policy also avoids
/// servers briefly, while others are faster.
const EJECTED_AFTER: Micros = Micros::from_secs(1);

/// The contribution of one coordinator to each gauge.
#[derive(Debug, Default, Clone, Copy)]
struct GaugeValues {
    active: usize,
    pool_size: usize,
    pool_ejected: usize,
}

/// Reports the gauges of one coordinator and tracks for how long the policy avoids servers.
#[derive(Debug)]
pub(super) struct MetricsReporter {
    metrics: Arc<Metrics>,
    /// The values of the last report.
    reported: GaugeValues,
    /// The time at which the servers were last counted.
    last_server_count: Micros,
    /// The servers that the policy avoids, with the time from which on it has avoided them.
    avoided_since: BTreeMap<ReplicaId, Micros>,
}

impl MetricsReporter {
    /// Creates a reporter that has reported nothing.
    pub(super) fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            metrics,
            reported: GaugeValues::default(),
            last_server_count: Micros::ZERO,
            avoided_since: BTreeMap::new(),
        }
    }

    /// Reports the number of pending queries in each turn, and the numbers of servers every
    /// [`SERVER_COUNT_INTERVAL`].
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
        if now.since(self.last_server_count) >= SERVER_COUNT_INTERVAL {
            self.last_server_count = now;
            values.pool_size = count_listed();
            values.pool_ejected = self.count_ejected(now, policy.avoided_replicas());
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

    /// Adds the change since the last report to the gauges of the process.
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
