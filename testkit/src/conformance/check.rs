//! Checks, their outcomes and the assertions that they share.

use super::Suite;
use crate::client::ClientError;
use serde::Serialize;
use serde_json::Value as Json;

/// Outcome of a check.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "outcome", content = "why", rename_all = "snake_case")]
pub enum Outcome {
    /// Requirement that holds.
    Pass,
    /// Requirement that does not hold, with the observed behaviour.
    Fail(String),
    /// Requirement that does not apply, with the reason.
    NotApplicable(String),
}

/// Result of a check.
#[derive(Debug, Clone, Serialize)]
pub struct CheckResult {
    /// Identifier of the requirement or abstract test.
    pub id: &'static str,
    /// Outcome of the check.
    #[serde(flatten)]
    pub outcome: Outcome,
}

/// Check of one requirement.
pub(super) struct Check {
    /// Identifier of the requirement or abstract test.
    pub(super) id: &'static str,
    /// Suffix of the conformance class that a service must claim for the check to apply; empty if
    /// it always applies.
    pub(super) class: &'static str,
    pub(super) run: fn(&mut Suite) -> Verdict,
}

impl Check {
    /// Creates a check of a requirement that applies if `class` is claimed.
    pub(super) const fn new(
        id: &'static str,
        class: &'static str,
        run: fn(&mut Suite) -> Verdict,
    ) -> Check {
        Check { id, class, run }
    }
}

/// Result of the body of a check.
pub(super) type Verdict = Result<(), Stop>;

/// Reason why a check stops early.
#[derive(Debug)]
pub(super) enum Stop {
    /// Requirement that does not hold.
    Failed(String),
    /// Requirement that does not apply.
    NotApplicable(String),
}

impl Stop {
    /// Creates the reason of a check that does not apply.
    pub(super) fn not_applicable(reason: impl Into<String>) -> Stop {
        Stop::NotApplicable(reason.into())
    }
}

impl From<&str> for Stop {
    fn from(reason: &str) -> Self {
        Stop::Failed(reason.to_owned())
    }
}

impl From<ClientError> for Stop {
    fn from(error: ClientError) -> Self {
        Stop::Failed(error.to_string())
    }
}

impl From<Stop> for Outcome {
    fn from(stop: Stop) -> Self {
        match stop {
            Stop::Failed(reason) => Outcome::Fail(reason),
            Stop::NotApplicable(reason) => Outcome::NotApplicable(reason),
        }
    }
}

/// Fails with this reason unless the condition holds.
pub(super) fn require(condition: bool, reason: impl FnOnce() -> String) -> Verdict {
    if condition {
        Ok(())
    } else {
        Err(Stop::Failed(reason()))
    }
}

/// Requires the same ids; the reason counts the missing and the excess ones.
pub(super) fn require_same(what: &str, found: &[String], expected: &[String]) -> Verdict {
    require(found == expected, || {
        let missing = expected.iter().filter(|id| !found.contains(id)).count();
        let extra = found.iter().filter(|id| !expected.contains(id)).count();
        format!(
            "{what}: {} features in place of {}, {missing} missing, {extra} unexpected",
            found.len(),
            expected.len()
        )
    })
}

/// Returns whether no id occurs twice.
pub(super) fn all_unique(ids: &[String]) -> bool {
    let mut unique: Vec<&String> = ids.iter().collect();
    unique.sort();
    unique.dedup();
    unique.len() == ids.len()
}

/// Returns the features of a feature collection document.
pub(super) fn features_of(json: &Json) -> Vec<Json> {
    json["features"].as_array().cloned().unwrap_or_default()
}
