//! Filter pushdown: the division of a filter into a part that a server evaluates and a residual
//! that is evaluated here on the returned features.

use super::conformance::required_classes;
use super::eval::is_main_geometry;
use super::geometry::envelope;
use super::{Filter, Queryables, SpatialRelation, Value};
use std::collections::BTreeSet;

/// Characters that a condition takes besides its own text, such as those of ` AND `.
const JUNCTION_LENGTH_BYTES: usize = 7;

/// A box: west, south, east, north.
type Envelope = [f64; 4];

/// Filter support of a server: the conformance classes and the queryables that it declares.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Capabilities {
    /// Conformance classes by the last segments of their URIs: `basic-cql2`, `spatial-functions`,
    /// ...
    pub classes: BTreeSet<String>,
    /// The queryables of the shard.
    pub queryables: Queryables,
    /// Most characters of a filter in a request's head.
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

    /// Returns whether a server with these capabilities can apply a filter.
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

/// Division of a filter in two parts: a feature passes the filter if it passes both.
#[derive(Debug, Clone, PartialEq)]
pub struct FilterSplit {
    /// Part that the server evaluates.
    pub pushed_down: Option<Filter>,
    /// Part that is evaluated here.
    pub residual: Option<Filter>,
    /// Box around all features that can pass the residual part, which reduces the features that the
    /// server returns.
    pub envelope: Option<[f64; 4]>,
}

/// Divides a filter between a server and this program.
///
/// The conditions of a conjunction are assigned one by one, since a feature has to meet each; any
/// other filter is pushed down completely or not at all.
#[must_use]
pub fn split(filter: &Filter, capabilities: &Capabilities) -> FilterSplit {
    let conditions = match filter {
        Filter::And(parts) => parts.as_slice(),
        other => std::slice::from_ref(other),
    };
    let (mut pushed_down, mut residual): (Vec<&Filter>, Vec<&Filter>) = conditions
        .iter()
        .partition(|condition| capabilities.can_evaluate(condition));
    let mut lengths: Vec<usize> = pushed_down
        .iter()
        .map(|condition| condition.to_string().len() + JUNCTION_LENGTH_BYTES)
        .collect();
    // The longest conditions become residual if the head of the request would grow too long.
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

/// Returns the box around all features that can pass a filter that relates their main geometry to a
/// constant one: servers select by that geometry.
fn filter_bounds(filter: &Filter) -> Option<Envelope> {
    match filter {
        Filter::And(parts) => parts.iter().filter_map(filter_bounds).reduce(intersection),
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

/// Returns the intersection of two boxes. If they are disjoint, no feature passes and either box is
/// correct.
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

fn has_only_expressible_texts(filter: &Filter) -> bool {
    let mut is_expressible = true;
    filter.for_each_value(&mut |value| {
        if let Value::Text(text) = value {
            is_expressible &= is_expressible_in_text(text);
        }
    });
    is_expressible
}

/// Returns whether CQL2 text can express a text.
///
/// A backslash before a quotation mark, including the closing one, can't be written: the two are
/// parsed as an escaped mark.
pub(super) fn is_expressible_in_text(text: &str) -> bool {
    !text.ends_with('\\') && !text.contains("\\'")
}
