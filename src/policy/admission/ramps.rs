//! Admitted shares by the share of its time that a query is expected to wait.

use crate::stats::FallingRamp;

/// Admitted share of low-priority queries.
pub const LOW_PRIORITY_ADMISSION: FallingRamp = FallingRamp { from: 0.4, to: 1.1 };
/// Admitted share of light parts: lower, since omitting them costs the least.
pub const LIGHT_PART_ADMISSION: FallingRamp = FallingRamp { from: 0.2, to: 0.7 };
/// Admitted share of queries of the highest priority. It falls around 1, where an answer would be
/// late, since the estimate errs both ways.
pub const TOP_PRIORITY_ADMISSION: FallingRamp = FallingRamp { from: 0.8, to: 1.2 };
