//! Errors of settings: an unreadable settings object, and values with which a coordinator cannot
//! run.

use thiserror::Error;

/// The reason for which settings are rejected.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not valid JSON, or a value is absent or has the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A class states an effect that is not in the wire protocol.
    #[error("class {index}: unknown effect {effect:?}")]
    UnknownEffect {
        /// The place of the class in the list of classes.
        index: usize,
        /// The effect as stated.
        effect: String,
    },
    /// A count or span that must be positive is 0.
    #[error("{key} is not above 0")]
    NotPositive {
        /// The key in the settings object.
        key: &'static str,
    },
    /// A class has a value with which it cannot be served.
    #[error("class {class:?}: {fault}")]
    InvalidClass {
        /// The name of the class.
        class: String,
        /// The fault of the class.
        fault: ClassFault,
    },
    /// The list of classes is empty.
    #[error("there are no classes")]
    NoClasses,
}

/// A fault of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ClassFault {
    /// The name is empty.
    #[error("it has no name")]
    Unnamed,
    /// An earlier class has the same name.
    #[error("it is named twice")]
    DuplicateName,
    /// The deadline is 0.
    #[error("its deadline is not above 0")]
    NoDeadline,
    /// The maximum of attempts is 0.
    #[error("its attempts (limits.max-attempts) are not above 0")]
    NoAttempts,
    /// The share that completes an answer lies outside 0 to 1.
    #[error("its class-need is no share")]
    RequiredShareOutOfRange,
    /// The minimum share of an answer lies outside 0 to 1.
    #[error("its least-share is no share")]
    MinShareOutOfRange,
    /// A priority weight is negative.
    #[error("its worth is below 0")]
    NegativeWeight,
}
