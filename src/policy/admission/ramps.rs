//! Ramps that give the admitted share for an expected wait, as a share of the query's remaining
//! time.

use crate::stats::FallingRamp;

/// Admitted share of low-priority queries.
pub const LOW_PRIORITY_ADMISSION: FallingRamp = FallingRamp { from: 0.4, to: 1.1 };
/// Admitted share of light parts; lower than that of queries, since omitting them costs the least.
pub const LIGHT_PART_ADMISSION: FallingRamp = FallingRamp { from: 0.2, to: 0.7 };
/// Admitted share of queries of the highest priority. It falls around 1, where an answer would be
/// late, since the estimate may be too low or too high.
pub const TOP_PRIORITY_ADMISSION: FallingRamp = FallingRamp { from: 0.8, to: 1.2 };
