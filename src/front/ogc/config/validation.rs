//! Validation of the values of an edge file.

use super::{
    queryable_type, ClassConfig, ClassError, CollectionConfig, EdgeConfig, LimitsConfig,
    ValueError, IDEMPOTENT, NON_IDEMPOTENT,
};

/// Maximum of `limits.repeats`, the ratio of retries to parts.
const MAX_RETRY_RATIO: f64 = 10.0;

/// A value that is out of range.
#[derive(Debug)]
pub struct ValueIssue {
    /// Text by which the line of the value can be found.
    pub anchor: String,
    /// The error in the value.
    pub error: ValueError,
}

impl ValueIssue {
    fn new(anchor: &str, error: ValueError) -> Self {
        ValueIssue {
            anchor: anchor.to_owned(),
            error,
        }
    }
}

impl EdgeConfig {
    /// Returns all values that are out of range.
    #[must_use]
    pub fn validate(&self) -> Vec<ValueIssue> {
        let mut issues = Vec::new();
        if self.classes.is_empty() {
            issues.push(ValueIssue::new("class", ValueError::NoClass));
        }
        for (position, class) in self.classes.iter().enumerate() {
            let anchor = format!("\"{}\"", class.name);
            for source in class.validate(&self.classes[..position]) {
                let error = ValueError::Class {
                    name: class.name.clone(),
                    source,
                };
                issues.push(ValueIssue::new(&anchor, error));
            }
        }
        issues.extend(self.collections.iter().flat_map(CollectionConfig::validate));
        issues.extend(self.limits.validate());
        if let Err(error) = self.cursor_key() {
            issues.push(ValueIssue::new("cursor_key", error.into()));
        }
        issues.extend(self.zero_values());
        issues
    }

    /// Returns the values that must be positive and are 0.
    fn zero_values(&self) -> impl Iterator<Item = ValueIssue> {
        let positive = [
            ("default_limit", self.default_limit),
            ("most_limit", self.max_limit),
            ("page_size", self.page_size),
            ("most_pages", self.max_pages),
            ("most_bytes", self.max_bytes),
            ("most_connections", self.max_connections),
            ("attempts", self.max_attempts as usize),
            ("coordinators", self.coordinators as usize),
        ];
        let zero = positive.into_iter().filter(|(_, value)| *value == 0);
        zero.map(|(key, _)| ValueIssue::new(key, ValueError::ZeroValue { key }))
    }
}

impl ClassConfig {
    /// Returns the errors of the class; `earlier` are the classes that precede it in the file.
    fn validate(&self, earlier: &[ClassConfig]) -> Vec<ClassError> {
        let mut errors = Vec::new();
        if self.name.is_empty() {
            errors.push(ClassError::EmptyName);
        }
        if earlier.iter().any(|other| other.name == self.name) {
            errors.push(ClassError::DuplicateName);
        }
        if self.latency_objective_ms == 0 || self.deadline_ms < self.latency_objective_ms {
            errors.push(ClassError::InvalidLatencyObjective);
        }
        if !(self.min_share > 0.0 && self.min_share <= 1.0) {
            errors.push(ClassError::InvalidMinShare);
        }
        if !matches!(self.effect.as_str(), IDEMPOTENT | NON_IDEMPOTENT) {
            errors.push(ClassError::UnknownEffect);
        }
        errors
    }
}

impl CollectionConfig {
    /// Returns an issue for each queryable whose type is unknown.
    fn validate(&self) -> impl Iterator<Item = ValueIssue> + '_ {
        let unknown = self
            .queryables
            .iter()
            .filter(|(_, type_name)| queryable_type(type_name).is_none());
        unknown.map(|(name, _)| {
            let error = ValueError::UnknownQueryableType {
                collection: self.id.clone(),
                queryable: name.clone(),
            };
            ValueIssue::new(name, error)
        })
    }
}

impl LimitsConfig {
    /// Returns the values in the table `limits` that are out of range.
    fn validate(&self) -> Vec<ValueIssue> {
        let mut issues = Vec::new();
        if !matches!(self.mode.as_str(), "adaptive" | "fixed") {
            issues.push(ValueIssue::new("mode", ValueError::UnknownLimitsMode));
        }
        if self.initial == 0 || self.min == 0 || self.min > self.initial {
            issues.push(ValueIssue::new("least", ValueError::LimitsOutOfOrder));
        }
        if !(0.0..=MAX_RETRY_RATIO).contains(&self.retry_ratio) {
            issues.push(ValueIssue::new("repeats", ValueError::InvalidRetryRatio));
        }
        issues
    }
}
