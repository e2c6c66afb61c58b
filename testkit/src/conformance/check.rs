//! Checks, their outcomes and the assertions that checks share.

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
    /// Body of the check.
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
pub(super) type Verdict = Result<(), EarlyExit>;

/// Reason why a check ends before its last assertion has passed.
#[derive(Debug)]
pub(super) enum EarlyExit {
    /// Requirement that does not hold.
    Failed(String),
    /// Requirement that does not apply.
    NotApplicable(String),
}

impl EarlyExit {
    /// Creates the reason for a check that does not apply.
    pub(super) fn not_applicable(reason: impl Into<String>) -> EarlyExit {
        EarlyExit::NotApplicable(reason.into())
    }
}

impl From<&str> for EarlyExit {
    fn from(reason: &str) -> Self {
        EarlyExit::Failed(reason.to_owned())
    }
}

impl From<ClientError> for EarlyExit {
    fn from(error: ClientError) -> Self {
        EarlyExit::Failed(error.to_string())
    }
}

impl From<EarlyExit> for Outcome {
    fn from(exit: EarlyExit) -> Self {
        match exit {
            EarlyExit::Failed(reason) => Outcome::Fail(reason),
            EarlyExit::NotApplicable(reason) => Outcome::NotApplicable(reason),
        }
    }
}

/// Returns [`EarlyExit::Failed`] with this reason unless the condition holds.
pub(super) fn require(condition: bool, reason: impl FnOnce() -> String) -> Verdict {
    if condition {
        Ok(())
    } else {
        Err(EarlyExit::Failed(reason()))
    }
}

/// Requires both lists to contain the same ids in the same order. The reason of a failure counts the
/// missing and the unexpected ids.
pub(super) fn require_same_ids(subject: &str, found: &[String], expected: &[String]) -> Verdict {
    require(found == expected, || {
        let missing = expected.iter().filter(|id| !found.contains(id)).count();
        let extra = found.iter().filter(|id| !expected.contains(id)).count();
        format!(
            "{subject}: {} features in place of {}, {missing} missing, {extra} unexpected",
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
