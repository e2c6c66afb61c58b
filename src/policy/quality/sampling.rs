//! Sampling of the queries on which the answer quality is measured.

/// Target number of samples in a quality window.
pub const TARGET_SAMPLES: f64 = 20.0;
/// Maximum number of samples, which bounds the processing time of each batch.
const MAX_SAMPLES: f64 = 200.0;
/// Share of the queries that is sampled once the target is reached.
const SAMPLED_SHARE: f64 = 0.2;

/// Decides whether to sample the next query of the highest priority, given the number of samples
/// in the query table.
#[must_use]
pub fn should_sample(samples: usize, rng: &mut fastrand::Rng) -> bool {
    let samples = samples as f64;
    samples < TARGET_SAMPLES || (samples < MAX_SAMPLES && rng.f64() < SAMPLED_SHARE)
}
