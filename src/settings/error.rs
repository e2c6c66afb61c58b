//! Errors of settings: what cannot be read, and what a coordinator cannot run with.

use thiserror::Error;

/// Why settings are not used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is no JSON, or a value is absent or has the wrong type.
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
    /// A class cannot be served as it is described.
    #[error("class {class:?}: {fault}")]
    InvalidClass {
        /// The name of the class.
        class: String,
        /// What is wrong with it.
        fault: ClassFault,
    },
    /// The list of classes is empty.
    #[error("there are no classes")]
    NoClasses,
}

/// What is wrong with a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ClassFault {
    /// Its name is empty.
    #[error("it has no name")]
    Unnamed,
    /// An earlier class has the same name.
    #[error("it is named twice")]
    DuplicateName,
    /// Its deadline is 0.
    #[error("its deadline is not above 0")]
    NoDeadline,
    /// It allows no attempt.
    #[error("its attempts (limits.max-attempts) are not above 0")]
    NoAttempts,
    /// The share that completes an answer lies outside 0 to 1.
    #[error("its class-need is no share")]
    RequiredShareOutOfRange,
    /// The least share of an answer lies outside 0 to 1.
    #[error("its least-share is no share")]
    MinShareOutOfRange,
    /// One of its priority weights is negative.
    #[error("its worth is below 0")]
    NegativeWeight,
}
