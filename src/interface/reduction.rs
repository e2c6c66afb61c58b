//! Reductions of service under graceful degradation.

/// Reductions of service in force; the default reduces nothing.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceReduction {
    /// Share of each class's queries that is admitted, 0 to 1, by [`ClassId`](super::ClassId);
    /// a class without an entry is not limited.
    pub admitted_shares: Vec<f64>,
    /// Whether late parts of sampled queries are cancelled like those of other queries.
    pub skip_late_samples: bool,
    /// Share of the latency objective after which a query that allows partial answers is
    /// answered, given its minimum share.
    pub answer_after: f64,
    /// Factor, at least 1, by which the shortest `Retry-After`, half of the longest, moves closer
    /// to the longest.
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
