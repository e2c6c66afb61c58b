//! Outcomes of attempts.

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// It was answered.
    Ok,
    /// The replica returned an error; it may have run.
    Error,
    /// The replica rejected it: it never ran.
    Rejected,
    /// It timed out; it may have run.
    TimedOut,
    /// No connection was made: it never ran.
    ConnectFailed,
    /// The connection was reset; it may have run.
    Reset,
    /// It was cancelled; it may have run.
    Cancelled,
    /// It was not sent: it never ran.
    NotSent,
}

impl Outcome {
    /// The attempt may have run at the replica: nothing proves that it did not.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}
