//! Errors of settings: a malformed settings object, and values with which a coordinator cannot run.

use thiserror::Error;

/// The reason why settings are rejected.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not valid JSON, or a value is absent or has the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A class states an effect that is not in the wire protocol.
    #[error("class {index}: unknown effect {effect:?}")]
    UnknownEffect {
        /// The index of the class in the list of classes, from 0.
        index: usize,
        /// The effect as stated.
        effect: String,
    },
    /// A count or a time that must be positive is 0.
    #[error("{key} is not above 0")]
    NotPositive {
        /// The key in the settings object.
        key: &'static str,
    },
    /// A class has an invalid value.
    #[error("class {class:?}: {fault}")]
    InvalidClass {
        /// The name of the class.
        class: String,
        /// The fault of the class.
        fault: ClassFault,
    },
    /// The list of classes is empty.
    #[error("the list of classes is empty")]
    NoClasses,
}

/// A fault of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ClassFault {
    /// The name is empty.
    #[error("its name is empty")]
    Unnamed,
    /// An earlier class has the same name.
    #[error("an earlier class has the same name")]
    DuplicateName,
    /// The deadline is 0.
    #[error("its deadline is not above 0")]
    NoDeadline,
    /// The maximum number of attempts is 0.
    #[error("its maximum number of attempts (limits.max-attempts) is not above 0")]
    NoAttempts,
    /// The share that a complete answer requires is not between 0 and 1.
    #[error("its class-need is not between 0 and 1")]
    RequiredShareOutOfRange,
    /// The minimum share of an answer is not between 0 and 1.
    #[error("its least-share is not between 0 and 1")]
    MinShareOutOfRange,
    /// The priority weight or the late weight is negative.
    #[error("its points or late-worth is below 0")]
    NegativeWeight,
}
