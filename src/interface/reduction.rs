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
    /// answered, if its minimum share is answered.
    pub answer_after: f64,
    /// Factor, at least 1, that divides the jitter of `Retry-After`, which is up to half of the
    /// longest one. The higher the factor, the closer to the longest are all of them.
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
