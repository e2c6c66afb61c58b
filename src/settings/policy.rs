//! The conversion of the settings object into the settings of the decision policy.

use super::object::SettingsObject;
use crate::interface::{
    Class, Effect, Nanos, RetryBudget, ServiceReduction, Settings, SlowStartRule, Tenant,
};

/// Converts a settings object.
pub(super) fn policy_settings(object: SettingsObject) -> Result<Settings, String> {
    let (family, rules, limits) = (object.query_family, object.rules, object.limits);
    let mut classes = Vec::new();
    for (at, c) in object.classes.into_iter().enumerate() {
        let effect = match c.effect.as_str() {
            "read_like" => Effect::Idempotent,
            "idempotency_key" => Effect::Deduplicated(c.deduplication_window),
            "non_idempotent" => Effect::NonIdempotent,
            other => return Err(format!("class {at}: unknown effect {other:?}")),
        };
        let need = family.required_shares.get(at).copied().unwrap_or(1.0);
        classes.push(Class {
            name: c.name,
            in_force: true,
            latency_objective: c.latency_objective,
            objective_stretch: c.objective_stretch,
            deadline: c.deadline,
            effect,
            priority_weight: c.priority_weight,
            late_weight: c.late_weight,
            required_share: need,
            min_share: family.min_shares.get(at).copied().unwrap_or(need),
            follow_up: family.follow_up.get(at).copied().unwrap_or(0),
            max_attempts: limits.max_attempts,
        });
    }
    let extra = rules.retry_window.map(|look_back| RetryBudget {
        free: rules.free_retries.unwrap_or(0.0),
        ratio: rules.retry_ratio.unwrap_or(0.0),
        window: look_back,
    });
    let cold = match (rules.overload_factor, rules.overload_window) {
        (Some(factor), Some(span)) => Some(SlowStartRule {
            overload_factor: factor,
            overload_window: span,
            initial_capacity: rules.initial_capacity.unwrap_or(0.0),
            warm_up: rules.warm_up.unwrap_or(0),
        }),
        _ => None,
    };
    Ok(Settings {
        coordinators: object.coordinators,
        tick: object.tick,
        classes,
        tenants: object.tenants.into_iter().map(|t| Tenant { quota: t.quota }).collect(),
        over_quota_weight: object.over_quota_weight,
        shards: family.shards,
        cells: family.cells,
        cells_per_shard: family.cells_per_shard,
        max_batch: family.max_batch,
        call_cost: family.call_cost,
        max_poll_interval: (object.discovery == "ask")
            .then_some(rules.max_poll_interval.unwrap_or(Nanos::MAX)),
        retry_budget: extra,
        slow_start: cold,
        cancellation: limits.cancellation,
        hedging: limits.hedging,
        max_retry_after: limits.retry_after.then_some(limits.max_retry_after),
        reduction: ServiceReduction::default(),
    })
}
