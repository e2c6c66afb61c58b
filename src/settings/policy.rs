//! The conversion of the settings object into the settings of the decision policy.

use super::object::{ClassObject, PlatformRules, QueryFamily, SettingsObject, TransportLimits};
use super::SettingsError;
use crate::interface::{
    Class, Effect, Nanos, RetryBudget, ServiceReduction, Settings, SlowStartRule, Tenant,
};

/// The kind of discovery in which the coordinator polls for the endpoint list.
const POLLED_DISCOVERY: &str = "ask";

/// Converts a settings object into the settings of the policy.
///
/// # Errors
///
/// [`SettingsError::UnknownEffect`] for a class with an effect that the wire protocol does not
/// have.
pub fn policy_settings(object: SettingsObject) -> Result<Settings, SettingsError> {
    let family = object.query_family;
    let rules = object.rules;
    let limits = object.limits;
    let mut classes = Vec::new();
    for (index, class) in object.classes.into_iter().enumerate() {
        classes.push(convert_class(index, class, &family, &limits)?);
    }
    let polled = object.discovery == POLLED_DISCOVERY;
    Ok(Settings {
        coordinators: object.coordinators,
        tick: object.tick,
        classes,
        tenants: object
            .tenants
            .into_iter()
            .map(|tenant| Tenant {
                quota: tenant.quota,
            })
            .collect(),
        over_quota_weight: object.over_quota_weight,
        shards: family.shards,
        cells: family.cells,
        cells_per_shard: family.cells_per_shard,
        max_batch: family.max_batch,
        call_overhead: family.call_overhead,
        max_poll_interval: polled.then_some(rules.max_poll_interval.unwrap_or(Nanos::MAX)),
        retry_budget: retry_budget(&rules),
        slow_start: slow_start(&rules),
        cancellation: limits.cancellation,
        hedging: limits.hedging,
        max_retry_after: limits.retry_after.then_some(limits.max_retry_after),
        reduction: ServiceReduction::default(),
    })
}

/// Converts the class at `index`. If no required share is stated, an answer needs all of the
/// weight.
fn convert_class(
    index: usize,
    class: ClassObject,
    family: &QueryFamily,
    limits: &TransportLimits,
) -> Result<Class, SettingsError> {
    let effect = parse_effect(&class.effect, class.deduplication_window).ok_or(
        SettingsError::UnknownEffect {
            index,
            effect: class.effect,
        },
    )?;
    let required_share = family.required_shares.get(index).copied().unwrap_or(1.0);
    Ok(Class {
        name: class.name,
        active: true,
        latency_objective: class.latency_objective,
        objective_stretch: class.objective_stretch,
        deadline: class.deadline,
        effect,
        priority_weight: class.priority_weight,
        late_weight: class.late_weight,
        required_share,
        min_share: family
            .min_shares
            .get(index)
            .copied()
            .unwrap_or(required_share),
        follow_up_parts: family.follow_up_parts.get(index).copied().unwrap_or(0),
        max_attempts: limits.max_attempts,
    })
}

/// Returns the effect of this name in the wire protocol; `None` for any other name.
fn parse_effect(name: &str, deduplication_window: Nanos) -> Option<Effect> {
    match name {
        "read_like" => Some(Effect::Idempotent),
        "idempotency_key" => Some(Effect::Deduplicated(deduplication_window)),
        "non_idempotent" => Some(Effect::NonIdempotent),
        _ => None,
    }
}

/// Returns the retry budget; `None` unless its window is stated.
fn retry_budget(rules: &PlatformRules) -> Option<RetryBudget> {
    let window = rules.retry_window?;
    Some(RetryBudget {
        free: rules.free_retries.unwrap_or(0.0),
        ratio: rules.retry_ratio.unwrap_or(0.0),
        window,
    })
}

/// Returns the slow-start rule; `None` unless it is stated when a server counts as overloaded.
fn slow_start(rules: &PlatformRules) -> Option<SlowStartRule> {
    Some(SlowStartRule {
        overload_factor: rules.overload_factor?,
        overload_window: rules.overload_window?,
        initial_capacity: rules.initial_capacity.unwrap_or(0.0),
        warm_up: rules.warm_up.unwrap_or(0),
    })
}
