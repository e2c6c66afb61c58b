//! Filter pushdown: which part of a filter a server is asked, and which part is applied here to what it returns.

use super::conformance::required_classes;
use super::geometry::envelope;
use super::{Filter, Queryables, SpatialRelation, Value};
use std::collections::BTreeSet;

/// Characters that a condition takes beside its own text, such as those of ` AND `.
const JOINT_LENGTH: usize = 7;

/// A box: west, south, east, north.
type Envelope = [f64; 4];

/// What a server can filter, by the conformance classes and the queryables that it declares.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Capabilities {
    /// The last segments of the conformance classes' URIs: `basic-cql2`, `spatial-functions`, ...
    pub classes: BTreeSet<String>,
    /// The queryables of the shard.
    pub queryables: Queryables,
    /// Most characters of a filter in a request's head.
    pub max_filter_text: usize,
}

impl Capabilities {
    /// What both of two servers can do.
    #[must_use]
    pub fn intersection(&self, other: &Capabilities) -> Self {
        Capabilities {
            classes: self.classes.intersection(&other.classes).cloned().collect(),
            queryables: self.queryables.intersection(&other.queryables),
            max_filter_text: self.max_filter_text.min(other.max_filter_text),
        }
    }

    /// Whether a server of these capabilities can apply a filter.
    fn can_filter(&self, filter: &Filter) -> bool {
        let declares = |class: &str| self.classes.contains(class);
        let has_name =
            |name: &str| self.queryables.open || self.queryables.named.contains_key(name);
        if !declares("cql2-text") || !declares("features-filter") {
            return false;
        }
        filter.properties().into_iter().all(has_name)
            && has_only_printable_texts(filter)
            && required_classes(filter).into_iter().all(declares)
    }
}

/// A filter in two parts: a feature passes the filter if it passes both.
#[derive(Debug, Clone, PartialEq)]
pub struct FilterSplit {
    /// The part that the server is asked.
    pub pushed_down: Option<Filter>,
    /// The part that is applied here.
    pub residual: Option<Filter>,
    /// A box that contains everything that can pass the residual part, so that the server can at least be asked for that.
    pub envelope: Option<[f64; 4]>,
}

/// Splits a filter between a server and here. Conditions joined by AND are split one by one, since a feature has to meet
/// each; anything else is pushed down completely or not at all.
#[must_use]
pub fn split(filter: &Filter, capabilities: &Capabilities) -> FilterSplit {
    let conditions = match filter {
        Filter::And(parts) => parts.as_slice(),
        other => std::slice::from_ref(other),
    };
    let (mut pushed_down, mut residual): (Vec<&Filter>, Vec<&Filter>) = conditions
        .iter()
        .partition(|condition| capabilities.can_filter(condition));
    let mut lengths: Vec<usize> = pushed_down
        .iter()
        .map(|condition| condition.to_string().len() + JOINT_LENGTH)
        .collect();
    // The longest conditions stay here if the request's head would grow too long.
    while lengths.iter().sum::<usize>() > capabilities.max_filter_text {
        let Some(longest) = (0..lengths.len()).max_by_key(|index| lengths[*index]) else {
            break;
        };
        lengths.remove(longest);
        residual.push(pushed_down.remove(longest));
    }
    let envelope = residual
        .iter()
        .filter_map(|condition| bounds(condition))
        .reduce(intersection);
    let join = |conditions: Vec<&Filter>| Filter::all(conditions.into_iter().cloned().collect());
    FilterSplit {
        pushed_down: join(pushed_down),
        residual: join(residual),
        envelope,
    }
}

/// The box of what can pass a filter that relates the feature's geometry to a constant one.
fn bounds(filter: &Filter) -> Option<Envelope> {
    match filter {
        Filter::And(parts) => parts.iter().filter_map(bounds).reduce(intersection),
        Filter::Spatial(relation, left, right) if *relation != SpatialRelation::Disjoint => {
            let constant = match (left, right) {
                (Value::Property(_), constant) | (constant, Value::Property(_)) => constant,
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

/// The box that two boxes share. If they are apart nothing can pass, and either box will do.
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

fn has_only_printable_texts(filter: &Filter) -> bool {
    let mut printable = true;
    filter.each_value(&mut |value| {
        if let Value::Text(text) = value {
            printable &= is_printable(text);
        }
    });
    printable
}

/// Whether CQL2 text can express a text: it has no way to write a backslash before a quotation mark, the closing one
/// included, since the two are read as an escaped mark.
pub(super) fn is_printable(text: &str) -> bool {
    !text.ends_with('\\') && !text.contains("\\'")
}
