//! Time spans and the temporal relations between them.

use crate::front::ogc::cql2::{TemporalRelation, DATE_LENGTH_BYTES};
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

/// Length of a day, in nanoseconds.
const DAY_NS: i128 = 86_400_000_000_000;

/// Time span, including both ends, in nanoseconds since the Unix epoch. The two ends of an instant
/// are equal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeSpan {
    /// The first nanosecond.
    pub from: i128,
    /// The last nanosecond.
    pub to: i128,
}

impl TimeSpan {
    /// Returns whether both ends are equal.
    pub fn is_instant(self) -> bool {
        self.from == self.to
    }
}

/// Parses a date, which results in the span of its day in UTC, or a timestamp (RFC 3339). Returns
/// `None` if the text is neither.
pub fn parse_instant(text: &str) -> Option<TimeSpan> {
    if text.len() == DATE_LENGTH_BYTES {
        let midnight = OffsetDateTime::parse(&format!("{text}T00:00:00Z"), &Rfc3339).ok()?;
        let from = midnight.unix_timestamp_nanos();
        return Some(TimeSpan {
            from,
            to: from + DAY_NS - 1,
        });
    }
    let instant = OffsetDateTime::parse(text, &Rfc3339)
        .ok()?
        .unix_timestamp_nanos();
    Some(TimeSpan {
        from: instant,
        to: instant,
    })
}

/// Returns whether a temporal relation holds between two spans (OGC 21-065r2, clause 7.8; Allen's
/// interval relations).
pub(super) fn relates(relation: TemporalRelation, a: TimeSpan, b: TimeSpan) -> bool {
    match relation {
        TemporalRelation::After => a.from > b.to,
        TemporalRelation::Before => a.to < b.from,
        TemporalRelation::Disjoint => a.to < b.from || a.from > b.to,
        TemporalRelation::Intersects => a.to >= b.from && a.from <= b.to,
        TemporalRelation::Equals => a == b,
        TemporalRelation::Contains => a.from < b.from && a.to > b.to,
        TemporalRelation::During => a.from > b.from && a.to < b.to,
        TemporalRelation::FinishedBy => a.from < b.from && a.to == b.to,
        TemporalRelation::Finishes => a.from > b.from && a.to == b.to,
        TemporalRelation::Meets => a.to == b.from,
        TemporalRelation::MetBy => a.from == b.to,
        TemporalRelation::OverlappedBy => a.from > b.from && a.from < b.to && a.to > b.to,
        TemporalRelation::Overlaps => a.from < b.from && a.to > b.from && a.to < b.to,
        TemporalRelation::StartedBy => a.from == b.from && a.to > b.to,
        TemporalRelation::Starts => a.from == b.from && a.to < b.to,
    }
}
