//! Conversion of an edge file to the settings of the policy and of the concurrency limits.

use super::super::params::LimitRules;
use super::{ClassConfig, EdgeConfig, SlowStartConfig};
use crate::interface::{Class, Effect, RetryBudget, ServiceReduction, Settings, SlowStartRule};
use crate::limits::LimitRule;
use crate::time::Micros;

/// Interval between two ticks of the policy, in milliseconds.
const TICK_MS: u64 = 5;
/// Window over which the retry budget counts retries and parts.
const RETRY_WINDOW: Micros = Micros::from_secs(10);
/// Number of retries that are allowed in any window, regardless of the number of parts.
const FREE_RETRIES: f64 = 10.0;

/// Converts milliseconds, the unit of the file, to nanoseconds, the unit of the policy.
fn nanos(milliseconds: u64) -> u64 {
    Micros::from_millis(milliseconds).to_nanos()
}

impl EdgeConfig {
    /// Returns the default and the maximum of the parameter `limit`.
    #[must_use]
    pub fn limit_rules(&self) -> LimitRules {
        LimitRules {
            default_limit: self.default_limit,
            max_limit: self.max_limit,
        }
    }

    /// Returns the rule for the concurrency limit of a server.
    #[must_use]
    pub fn concurrency_rule(&self) -> LimitRule {
        match self.limits.mode.as_str() {
            "fixed" => LimitRule::Fixed(self.max_connections),
            _ => LimitRule::Adaptive {
                initial: self.limits.initial.min(self.max_connections),
                min: self.limits.min.min(self.max_connections),
                max: self.max_connections,
            },
        }
    }

    /// Returns the settings of the policy.
    #[must_use]
    pub fn settings(&self) -> Settings {
        let retry_budget = RetryBudget {
            ratio: self.limits.retry_ratio,
            free: FREE_RETRIES,
            window: RETRY_WINDOW.to_nanos(),
        };
        Settings {
            coordinators: self.coordinators,
            tick: nanos(TICK_MS),
            classes: self
                .classes
                .iter()
                .map(|class| class.settings(self.max_attempts))
                .collect(),
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            // Shards and replicas are added when the inventory is loaded.
            shards: 0,
            cells: 1,
            cells_per_shard: 1,
            max_batch: 1,
            call_overhead: 0,
            max_poll_interval: None,
            retry_budget: Some(retry_budget),
            slow_start: self.slow_start.as_ref().map(SlowStartConfig::rule),
            cancellation: true,
            hedging: false,
            max_retry_after: Some(nanos(self.max_retry_after_ms)),
            reduction: ServiceReduction::default(),
        }
    }
}

impl ClassConfig {
    /// Returns the policy's settings for this class.
    fn settings(&self, max_attempts: u32) -> Class {
        Class {
            name: self.name.clone(),
            active: true,
            latency_objective: nanos(self.latency_objective_ms),
            objective_stretch: 0.0,
            deadline: nanos(self.deadline_ms),
            effect: if self.is_idempotent() {
                Effect::Idempotent
            } else {
                Effect::NonIdempotent
            },
            priority_weight: self.priority_weight,
            late_weight: self.late_weight,
            required_share: 1.0,
            min_share: self.min_share,
            follow_up_parts: 0,
            max_attempts,
        }
    }
}

impl SlowStartConfig {
    /// Returns the policy's rule for slow start.
    fn rule(&self) -> SlowStartRule {
        SlowStartRule {
            overload_factor: self.overload_factor,
            overload_window: nanos(self.overload_window_ms),
            initial_capacity: self.initial_capacity,
            warm_up: nanos(self.warm_up_ms),
        }
    }
}
