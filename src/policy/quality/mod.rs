//! Answer quality, measured on a sample of the queries of the highest priority as in Ubora (Kelley et al.,
//! "Obtaining and Managing Answer Quality for Online Data-Intensive Services"), here the paper.

use crate::interface::{Nanos, Outcome};
use crate::queries::{Attempt, Query};

/// Window of the quality readings, in ns: the design's 10 s.
pub const QUALITY_WINDOW: Nanos = 10_000_000_000;
/// Samples wanted in a window: the paper takes 20 of 100 requests; 6 cost more than they save.
pub const TARGET_SAMPLES: f64 = 20.0;
/// Samples kept at most: more cost time in each batch and tell nothing new.
const MAX_SAMPLES: f64 = 200.0;
/// Least share of high-priority queries sampled: the paper's.
const MIN_SAMPLED_SHARE: f64 = 0.2;

/// The quality of the sampled answers in a window.
#[derive(Debug)]
pub struct QualityReading {
    /// The weight that was answered over the weight that would have been in by the record limit.
    pub quality: f64,
    /// How many samples it rests on.
    pub samples: f64,
}

/// Should the next query of the highest priority be sampled, beside the samples kept?
#[must_use]
pub fn take_sample(samples: usize, rng: &mut fastrand::Rng) -> bool {
    let samples = samples as f64;
    samples < TARGET_SAMPLES || (samples < MAX_SAMPLES && rng.f64() < MIN_SAMPLED_SHARE)
}

/// Reads the samples of the last window. A part that is missing counts if its replica has answered others
/// since, which `answered_since` tells of an attempt: then it is late, not lost.
pub fn measure_quality<'a>(
    samples: impl Iterator<Item = &'a Query>,
    answered_since: impl Fn(&Attempt) -> bool,
    now: Nanos,
) -> QualityReading {
    let from = now.saturating_sub(QUALITY_WINDOW);
    let late = |a: &Attempt| a.outcome == Some(Outcome::Rejected) || answered_since(a);
    let ripe = |q: &&Query| q.first_answer.is_some() || !q.is_open() || now >= q.respond_by;
    let (mut answered, mut expected, mut count) = (0.0, 0.0, 0.0);
    for query in samples.filter(|q| q.received_at >= from).filter(ripe) {
        let by = query.first_answer.map_or(query.respond_by, |first| first.at.min(query.respond_by));
        for part in query.parts.iter().filter(|p| !p.follow_up) {
            answered += part.weight * f64::from(part.answered_at.is_some_and(|at| at <= by));
            expected += part.weight * f64::from(part.is_answered() || part.attempts.iter().any(late));
        }
        count += 1.0;
    }
    QualityReading { quality: if expected > 0.0 { answered / expected } else { 1.0 }, samples: count }
}
