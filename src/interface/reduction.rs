//! What a level of reduced service takes away.

/// What a level of reduced service cuts back; the default cuts nothing.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceReduction {
    /// The share of each class's queries that is admitted, by [`ClassId`]; a class without one has no limit.
    pub admitted_shares: Vec<f64>,
    /// Late parts of sampled queries are cancelled like others.
    pub skip_late_samples: bool,
    /// Where parts may be missing an answer is given after this share of the objective, from the floor on.
    pub answer_after: f64,
    /// The shortest `Retry-After` is half of the longest; this factor brings it that many times nearer to it.
    pub retry_after_factor: f64,
}

impl Default for ServiceReduction {
    fn default() -> Self {
        ServiceReduction {
            admitted_shares: Vec::new(),
            skip_late_samples: false,
            answer_after: 1.0,
            retry_after_factor: 1.0,
        }
    }
}
