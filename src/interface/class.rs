//! Classes of queries, and the effect of running their parts more than once.

use super::Nanos;

/// Consequence of running a part more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// A repeat has no additional effect: the part may be retried freely.
    Idempotent,
    /// Replicas drop repeats within this time after the first attempt that may have run: the part
    /// may be retried within it.
    Deduplicated(Nanos),
    /// A repeat has the effect a second time: the part is retried only if no earlier attempt can
    /// have run.
    NonIdempotent,
}

/// A class of queries, with the expectations of its clients.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Name, which identifies the class when the settings change.
    pub name: String,
    /// Whether the class is in the current settings. A class that was removed from them is kept for
    /// its queries in progress.
    pub active: bool,
    /// Time within which an answer has its full weight.
    pub latency_objective: Nanos,
    /// Multiple of a query's expected work by which its latency objective is extended.
    pub objective_stretch: f64,
    /// Time that a client waits for the final answer, whatever the number of attempts.
    pub deadline: Nanos,
    /// Consequence of running a part more than once.
    pub effect: Effect,
    /// Weight of a complete answer, relative to those of other classes.
    pub priority_weight: f64,
    /// Share of its weight that an answer still has after the latency objective, 0 to 1.
    pub late_weight: f64,
    /// Share of the first step's weight that makes an answer complete, 0 to 1.
    pub required_share: f64,
    /// Least share of the weight from which an answer may be given, 0 to 1.
    pub min_share: f64,
    /// Number of parts in the follow-up step; 0 where there is none.
    pub follow_up_parts: u32,
    /// Maximum number of attempts at a part; at least one is made.
    pub max_attempts: u32,
}

impl Class {
    /// Returns whether an answer may lack parts.
    #[must_use]
    pub fn allows_partial(&self) -> bool {
        self.min_share < self.required_share
    }
}
