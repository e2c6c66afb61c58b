//! Fixtures for the unit tests of several modules.

use crate::interface::{Class, Effect};

/// Returns an idempotent class with this name.
pub(crate) fn class(name: &str) -> Class {
    Class {
        name: name.to_owned(),
        active: true,
        latency_objective: 1,
        objective_stretch: 0.0,
        deadline: 2,
        effect: Effect::Idempotent,
        priority_weight: 1.0,
        late_weight: 0.0,
        required_share: 1.0,
        min_share: 1.0,
        follow_up_parts: 0,
        max_attempts: 3,
    }
}
