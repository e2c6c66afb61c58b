//! Checks and what they come to.

use super::Suite;
use crate::client::ClientError;
use serde::Serialize;
use serde_json::Value as Json;

/// What a check came to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "outcome", content = "why", rename_all = "snake_case")]
pub enum Outcome {
    /// The requirement holds.
    Pass,
    /// It does not, and this is what was seen.
    Fail(String),
    /// There is nothing to check, for this reason.
    NotApplicable(String),
}

/// A check that was run.
#[derive(Debug, Clone, Serialize)]
pub struct CheckResult {
    /// The identifier of the requirement or abstract test.
    pub id: &'static str,
    /// What it came to.
    #[serde(flatten)]
    pub outcome: Outcome,
}

/// A check of one requirement.
pub(super) struct Check {
    /// The identifier of the requirement or abstract test.
    pub(super) id: &'static str,
    /// The end of the conformance class that a service must claim for it to apply; empty: it always applies.
    pub(super) class: &'static str,
    pub(super) run: fn(&mut Suite) -> Verdict,
}

impl Check {
    pub(super) const fn new(id: &'static str, class: &'static str, run: fn(&mut Suite) -> Verdict) -> Check {
        Check { id, class, run }
    }
}

/// The end of a check.
pub(super) type Verdict = Result<(), Stop>;

/// A check ends before its end.
#[derive(Debug)]
pub(super) enum Stop {
    /// The requirement does not hold.
    Failed(String),
    /// There is nothing to check.
    NotApplicable(String),
}

impl Stop {
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

/// Requires the same ids; the reason counts what differs.
pub(super) fn require_same(what: &str, found: &[String], expected: &[String]) -> Verdict {
    require(found == expected, || {
        let missing = expected.iter().filter(|id| !found.contains(id)).count();
        let extra = found.iter().filter(|id| !expected.contains(id)).count();
        format!(
            "{what}: {} features for {}, {missing} missing, {extra} too many",
            found.len(),
            expected.len()
        )
    })
}

/// Whether each id is there once.
pub(super) fn all_unique(ids: &[String]) -> bool {
    let mut unique: Vec<&String> = ids.iter().collect();
    unique.sort();
    unique.dedup();
    unique.len() == ids.len()
}

/// The features of a collection document.
pub(super) fn features_of(json: &Json) -> Vec<Json> {
    json["features"].as_array().cloned().unwrap_or_default()
}
