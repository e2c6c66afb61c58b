//! Default values of the optional keys of an edge file. The fields of
//! [`EdgeConfig`](super::EdgeConfig) define the meaning of the keys.

use super::LimitsConfig;

impl Default for LimitsConfig {
    fn default() -> Self {
        LimitsConfig {
            mode: "adaptive".to_owned(),
            initial: 8,
            min: 2,
            retry_ratio: 0.25,
            admission: true,
        }
    }
}

pub(super) fn coordinators() -> u32 {
    1
}

pub(super) fn max_attempts() -> u32 {
    4
}

pub(super) fn max_in_flight() -> usize {
    400
}

pub(super) fn max_descriptors() -> usize {
    1024
}

pub(super) fn memory_mb() -> usize {
    192
}

pub(super) fn default_limit() -> usize {
    100
}

pub(super) fn max_limit() -> usize {
    5_000
}

pub(super) fn page_size() -> usize {
    500
}

pub(super) fn max_initial_shards() -> usize {
    8
}

pub(super) fn capability_max_age_s() -> u64 {
    600
}

pub(super) fn max_filter_text() -> usize {
    2_000
}

pub(super) fn cursor_max_age_s() -> u64 {
    3_600
}

pub(super) fn max_pages() -> usize {
    200
}

pub(super) fn max_bytes() -> usize {
    4 * 1024 * 1024
}

pub(super) fn max_connections() -> usize {
    32
}

pub(super) fn dial_timeout_ms() -> u64 {
    250
}

pub(super) fn idle_timeout_ms() -> u64 {
    4_000
}

pub(super) fn max_retry_after_ms() -> u64 {
    2_000
}

/// Returns 1, the default of shares and weights.
pub(super) fn one() -> f64 {
    1.0
}

pub(super) fn effect() -> String {
    super::IDEMPOTENT.to_owned()
}
