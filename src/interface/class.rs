//! Classes of queries, and the effect of repeating their parts.

use super::Nanos;

/// What happens when a part runs more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: it may be retried freely.
    Idempotent,
    /// Replicas drop repeats for this time after the first attempt that may have run.
    Deduplicated(Nanos),
    /// Harm: it is not retried unless no earlier attempt can have run.
    NonIdempotent,
}

/// A class of queries, and what its clients expect.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Its name, by which it is found again after a change of settings.
    pub name: String,
    /// It is in the settings in force; others remain for the queries that began with them.
    pub active: bool,
    /// An answer within this time earns the full weight.
    pub latency_objective: Nanos,
    /// The objective grows by this multiple of the query's expected work.
    pub objective_stretch: f64,
    /// How long a client waits over all its attempts.
    pub deadline: Nanos,
    /// What happens when a part runs more than once.
    pub effect: Effect,
    /// The weight of a complete answer, against those of other classes.
    pub priority_weight: f64,
    /// The share of that weight which an answer after the objective still earns.
    pub late_weight: f64,
    /// The share of the first step's weight that makes an answer complete.
    pub required_share: f64,
    /// The least share of the weight that an answer may be given from.
    pub min_share: f64,
    /// How many parts the follow-up step has; 0 where there is none.
    pub follow_up_parts: u32,
    /// The most attempts at a part; at least one is made.
    pub max_attempts: u32,
}

impl Class {
    /// An answer may lack parts.
    #[must_use]
    pub fn allows_partial(&self) -> bool {
        self.min_share < self.required_share
    }
}
