//! Outcomes of attempts.

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The replica answered.
    Ok,
    /// The replica returned an error; the attempt may have run.
    Error,
    /// The replica rejected the attempt, which never ran.
    Rejected,
    /// The attempt timed out; it may have run.
    TimedOut,
    /// No connection was established; the attempt never ran.
    ConnectFailed,
    /// The connection was reset; the attempt may have run.
    Reset,
    /// The attempt was cancelled; it may have run.
    Cancelled,
    /// The attempt was not sent; it never ran.
    NotSent,
}

impl Outcome {
    /// Returns whether the attempt may have run at the replica, that is whether the outcome does
    /// not prove that it never ran.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        !matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}
