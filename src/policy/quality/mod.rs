//! Answer quality, measured on a sample of the queries of the highest priority, as described in
//! "Obtaining and Managing Answer Quality for Online Data-Intensive Services" (Ubora, by Kelley et
//! al.).

mod sampling;

#[cfg(test)]
mod tests;

pub use sampling::{should_sample, TARGET_SAMPLES};

use crate::interface::{Nanos, Outcome};
use crate::queries::{Attempt, Part, Query};

/// Window of a quality measurement, in ns.
pub const QUALITY_WINDOW: Nanos = 10_000_000_000;

/// Answer quality as measured over one window.
#[derive(Debug)]
pub struct QualityMeasurement {
    /// Weight that was answered in time, as a share of the weight that was answered at any time or
    /// is late; 1 without samples, so that no query is rejected.
    pub quality: f64,
    /// Number of samples that were measured.
    pub samples: f64,
}

/// Sums of the weights of sampled parts.
#[derive(Default)]
struct WeightSums {
    in_time: f64,
    expected: f64,
}

/// Measures the answer quality on the samples of the last window.
///
/// A part without an answer counts as late if a replica rejected it, or has answered other attempts
/// since the attempt at this part was sent, which `answered_since` returns. Otherwise the part is
/// lost and does not count.
pub fn measure_quality<'a>(
    samples: impl Iterator<Item = &'a Query>,
    answered_since: impl Fn(&Attempt) -> bool,
    now: Nanos,
) -> QualityMeasurement {
    let window_start = now.saturating_sub(QUALITY_WINDOW);
    let mut sums = WeightSums::default();
    let mut count = 0.0;
    for query in samples {
        if query.received_at >= window_start && is_settled(query, now) {
            add_query(&mut sums, query, &answered_since);
            count += 1.0;
        }
    }
    let quality = if sums.expected > 0.0 {
        sums.in_time / sums.expected
    } else {
        1.0
    };
    QualityMeasurement {
        quality,
        samples: count,
    }
}

/// Returns whether the quality of a query's answer is determined: the query was answered,
/// rejected or failed, or should have been answered by now.
fn is_settled(query: &Query, now: Nanos) -> bool {
    query.first_answer.is_some() || !query.is_open() || now >= query.respond_by
}

fn add_query(sums: &mut WeightSums, query: &Query, answered_since: &impl Fn(&Attempt) -> bool) {
    let answer_time = query
        .first_answer
        .map_or(query.respond_by, |first| first.at.min(query.respond_by));
    for part in query.parts.iter().filter(|part| !part.follow_up) {
        let in_time = part.answered_at.is_some_and(|at| at <= answer_time);
        let expected = part.is_answered() || is_late(part, answered_since);
        sums.in_time += part.weight * f64::from(in_time);
        sums.expected += part.weight * f64::from(expected);
    }
}

fn is_late(part: &Part, answered_since: &impl Fn(&Attempt) -> bool) -> bool {
    part.attempts
        .iter()
        .any(|attempt| attempt.outcome == Some(Outcome::Rejected) || answered_since(attempt))
}
