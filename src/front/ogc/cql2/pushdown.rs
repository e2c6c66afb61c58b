//! Filter pushdown: the division of a filter into a pushed-down filter that a feature server
//! evaluates, and a residual filter that the front evaluates on the returned features.

use super::conformance::required_classes;
use super::eval::is_main_geometry;
use super::geometry::envelope;
use super::{Filter, Queryables, SpatialRelation, Value};
use std::collections::BTreeSet;

/// Length that a condition adds to the text of a filter besides its own: ` AND ` and a pair of
/// parentheses, in bytes.
const JUNCTION_LENGTH_BYTES: usize = 7;

/// Bounding box: west, south, east, north.
type Envelope = [f64; 4];

/// Filter support of a server: the conformance classes and the queryables that it declares.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Capabilities {
    /// Conformance classes by the last segments of their URIs, such as `basic-cql2`.
    pub classes: BTreeSet<String>,
    /// The queryables of the shard.
    pub queryables: Queryables,
    /// Maximum length of the text of a filter in a request's head, in bytes.
    pub max_filter_text: usize,
}

impl Capabilities {
    /// Returns the capabilities that two servers have in common.
    #[must_use]
    pub fn intersection(&self, other: &Capabilities) -> Self {
        Capabilities {
            classes: self.classes.intersection(&other.classes).cloned().collect(),
            queryables: self.queryables.intersection(&other.queryables),
            max_filter_text: self.max_filter_text.min(other.max_filter_text),
        }
    }

    /// Returns whether a server with these capabilities can evaluate a filter that it receives as
    /// CQL2 text.
    fn can_evaluate(&self, filter: &Filter) -> bool {
        let declares = |class: &str| self.classes.contains(class);
        let is_queryable =
            |name: &str| self.queryables.open || self.queryables.named.contains_key(name);
        if !declares("cql2-text") || !declares("features-filter") {
            return false;
        }
        filter.properties().into_iter().all(is_queryable)
            && has_only_expressible_texts(filter)
            && required_classes(filter).into_iter().all(declares)
    }
}

/// Division of a filter into two: a feature matches the filter if it matches both.
#[derive(Debug, Clone, PartialEq)]
pub struct FilterSplit {
    /// Filter that the server evaluates, or `None` if it evaluates nothing.
    pub pushed_down: Option<Filter>,
    /// Filter that the front evaluates, or `None` if the server evaluates the whole filter.
    pub residual: Option<Filter>,
    /// Bounding box of the features that can match the residual filter, or `None` if there is no
    /// such box. As a parameter of the request it reduces the number of features that the server
    /// returns.
    pub envelope: Option<[f64; 4]>,
}

/// Divides a filter between a server with these capabilities and the front.
///
/// Each condition of a conjunction is pushed down or not by itself, since a feature has to match
/// all of them. Any other filter is pushed down completely or not at all.
#[must_use]
pub fn split(filter: &Filter, capabilities: &Capabilities) -> FilterSplit {
    let conditions = match filter {
        Filter::And(children) => children.as_slice(),
        other => std::slice::from_ref(other),
    };
    let (mut pushed_down, mut residual): (Vec<&Filter>, Vec<&Filter>) = conditions
        .iter()
        .partition(|condition| capabilities.can_evaluate(condition));
    let mut lengths: Vec<usize> = pushed_down
        .iter()
        .map(|condition| condition.to_string().len() + JUNCTION_LENGTH_BYTES)
        .collect();
    // The longest conditions become residual if the text would be too long for a request's head.
    while lengths.iter().sum::<usize>() > capabilities.max_filter_text {
        let Some(longest) = (0..lengths.len()).max_by_key(|index| lengths[*index]) else {
            break;
        };
        lengths.remove(longest);
        residual.push(pushed_down.remove(longest));
    }
    let envelope = residual
        .iter()
        .filter_map(|condition| filter_bounds(condition))
        .reduce(intersection);
    let join =
        |conditions: Vec<&Filter>| Filter::conjunction(conditions.into_iter().cloned().collect());
    FilterSplit {
        pushed_down: join(pushed_down),
        residual: join(residual),
        envelope,
    }
}

/// Returns the bounding box of the features that can match a filter, or `None` if the filter does
/// not require the main geometry to intersect a constant one. Other geometries are ignored, since
/// servers apply a bounding box to the main geometry.
fn filter_bounds(filter: &Filter) -> Option<Envelope> {
    match filter {
        Filter::And(children) => children
            .iter()
            .filter_map(filter_bounds)
            .reduce(intersection),
        Filter::Spatial(relation, left, right) if *relation != SpatialRelation::Disjoint => {
            let constant = match (left, right) {
                (Value::Property(name), constant) | (constant, Value::Property(name))
                    if is_main_geometry(name) =>
                {
                    constant
                }
                _ => return None,
            };
            constant_bounds(constant)
        }
        _ => None,
    }
}

/// Returns the bounding box of a constant geometry or box, or `None` if the box spans the
/// antimeridian or has heights.
fn constant_bounds(value: &Value) -> Option<Envelope> {
    match value {
        Value::Geometry(geometry) => {
            let rect = envelope(geometry)?;
            Some([rect.min().x, rect.min().y, rect.max().x, rect.max().y])
        }
        Value::Bbox(numbers) => match numbers[..] {
            [west, south, east, north] if west <= east => Some([west, south, east, north]),
            _ => None,
        },
        _ => None,
    }
}

/// Returns the intersection of two boxes, or `a` if they are disjoint: no feature matches then, so
/// either box is correct.
fn intersection(a: Envelope, b: Envelope) -> Envelope {
    let [west, south, east, north] = [
        a[0].max(b[0]),
        a[1].max(b[1]),
        a[2].min(b[2]),
        a[3].min(b[3]),
    ];
    if west <= east && south <= north {
        [west, south, east, north]
    } else {
        a
    }
}

/// Returns whether all texts in a filter can be written as literals of CQL2 text.
fn has_only_expressible_texts(filter: &Filter) -> bool {
    let mut is_expressible = true;
    filter.for_each_value(&mut |value| {
        if let Value::Text(text) = value {
            is_expressible &= is_expressible_in_text(text);
        }
    });
    is_expressible
}

/// Returns whether a text can be written as a literal of CQL2 text.
///
/// A text with a backslash before a quotation mark or at its end (before the closing quotation
/// mark) cannot: the two characters would be parsed as an escaped quotation mark.
pub(super) fn is_expressible_in_text(text: &str) -> bool {
    !text.ends_with('\\') && !text.contains("\\'")
}
