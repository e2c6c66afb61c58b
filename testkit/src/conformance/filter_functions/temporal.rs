//! CQL2 predicates on instants and intervals.

use super::super::check::Verdict;
use super::super::filters::require_matches;
use super::super::samples::{text_of, Sample};
use super::super::Suite;
use serde_json::Value as Json;

/// Checks the temporal predicates against the median of a time property.
pub(super) fn check_temporal_predicates(suite: &mut Suite) -> Verdict {
    let sample = suite.median_time()?;
    require_instant_predicates(suite, &sample)?;
    require_interval_predicates(suite, &sample)
}

/// Returns whether a feature has a time property of this name that satisfies the predicate.
fn instant_is(feature: &Json, name: &str, holds: impl Fn(&str) -> bool) -> bool {
    text_of(feature, name).is_some_and(holds)
}

fn require_instant_predicates(suite: &mut Suite, sample: &Sample<String>) -> Verdict {
    let Sample { name, value: time } = sample;
    require_matches(
        suite,
        &format!("T_AFTER({name},TIMESTAMP('{time}'))"),
        |feature| instant_is(feature, name, |instant| instant > time.as_str()),
    )?;
    require_matches(
        suite,
        &format!("T_BEFORE({name},TIMESTAMP('{time}'))"),
        |feature| instant_is(feature, name, |instant| instant < time.as_str()),
    )?;
    require_matches(
        suite,
        &format!("T_EQUALS({name},TIMESTAMP('{time}'))"),
        |feature| instant_is(feature, name, |instant| instant == time),
    )
}

fn require_interval_predicates(suite: &mut Suite, sample: &Sample<String>) -> Verdict {
    let Sample { name, value: time } = sample;
    let day = &time[.."2001-01-01".len()];
    require_matches(
        suite,
        &format!("T_INTERSECTS({name},INTERVAL('{time}','..'))"),
        |feature| instant_is(feature, name, |instant| instant >= time.as_str()),
    )?;
    require_matches(
        suite,
        &format!("T_INTERSECTS({name},DATE('{day}'))"),
        |feature| instant_is(feature, name, |instant| instant.starts_with(day)),
    )?;
    require_matches(
        suite,
        &format!("T_DISJOINT({name},INTERVAL('..','{time}'))"),
        |feature| instant_is(feature, name, |instant| instant > time.as_str()),
    )?;
    // The interval starts before the times of all features of the test data.
    let filter = format!("T_DURING({name},INTERVAL('2001-01-01T00:00:00Z','{time}'))");
    require_matches(suite, &filter, |feature| {
        instant_is(feature, name, |instant| instant < time.as_str())
    })
}
