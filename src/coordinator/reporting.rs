//! The gauges that one coordinator reports to the metrics of the process.

use super::metrics::Metrics;
use crate::interface::ReplicaId;
use crate::policy::DecisionPolicy;
use crate::time::Micros;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The policy's view of the servers is polled this often.
const POLICY_POLL_INTERVAL: Micros = Micros::from_millis(100);
/// A server counts as ejected once the policy has avoided it for this long: many are avoided for a moment,
/// while another one is faster.
const EJECTED_AFTER: Micros = Micros::from_secs(1);

/// This coordinator's share of each gauge.
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
    /// What was reported last.
    reported: GaugeValues,
    last_policy_poll: Micros,
    /// Since when the policy has avoided which servers.
    avoided_since: BTreeMap<ReplicaId, Micros>,
}

impl MetricsReporter {
    /// A reporter that has reported nothing.
    pub(super) fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            metrics,
            reported: GaugeValues::default(),
            last_policy_poll: Micros::ZERO,
            avoided_since: BTreeMap::new(),
        }
    }

    /// Reports the pending queries in each turn, and the state of the servers every [`POLICY_POLL_INTERVAL`].
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
