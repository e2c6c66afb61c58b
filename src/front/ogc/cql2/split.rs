//! What of a filter a server is asked, and what is filtered here on what it gives: a decision of its own.

use super::geometry::envelope;
use super::{Filter, Queryables, SpatialRelation, Value};
use std::collections::BTreeSet;

/// What a server can filter, by the conformance classes that it declares and the queryables that it tells.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Capabilities {
    /// The last parts of the classes' identifiers: `basic-cql2`, `spatial-functions`, ...
    pub classes: BTreeSet<String>,
    /// What can be asked of the shard there.
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
            queryables: self.queryables.both(&other.queryables),
            max_filter_text: self.max_filter_text.min(other.max_filter_text),
        }
    }
}

/// A filter in two: whatever features pass both pass the whole.
#[derive(Debug, Clone, PartialEq)]
pub struct FilterSplit {
    /// What the server is asked.
    pub pushed_down: Option<Filter>,
    /// What is filtered here.
    pub residual: Option<Filter>,
    /// A box that everything lies in that can pass what is kept: the server may be asked for that at least.
    pub envelope: Option<[f64; 4]>,
}

/// Splits a filter between a server and here. What is joined by AND is split part by part, since a feature has to pass each;
/// anything else goes whole or not at all.
pub fn split(filter: &Filter, able: &Capabilities) -> FilterSplit {
    let whole = std::slice::from_ref(filter);
    let parts = if let Filter::And(parts) = filter { parts.as_slice() } else { whole };
    let (mut passed, mut kept): (Vec<&Filter>, Vec<&Filter>) = parts.iter().partition(|p| can(able, p));
    // The longest stay here where the request's head would grow too long.
    let mut lengths: Vec<usize> = passed.iter().map(|p| p.to_string().len() + 7).collect();
    while lengths.iter().sum::<usize>() > able.max_filter_text {
        let Some(longest) = (0..lengths.len()).max_by_key(|n| lengths[*n]) else { break };
        lengths.remove(longest);
        kept.push(passed.remove(longest));
    }
    let envelope = kept.iter().filter_map(|p| bounds(p)).reduce(common);
    let of = |parts: Vec<&Filter>| Filter::all(parts.into_iter().cloned().collect());
    FilterSplit { pushed_down: of(passed), residual: of(kept), envelope }
}

/// The box of what can pass, where a filter needs its feature's geometry to meet a fixed one.
fn bounds(filter: &Filter) -> Option<[f64; 4]> {
    match filter {
        Filter::And(parts) => parts.iter().filter_map(bounds).reduce(common),
        Filter::Spatial(op, a, b) if *op != SpatialRelation::Disjoint => {
            let fixed = match (a, b) {
                (Value::Property(_), fixed) | (fixed, Value::Property(_)) => fixed,
                _ => return None,
            };
            match fixed {
                Value::Geometry(g) => envelope(g).map(|r| [r.min().x, r.min().y, r.max().x, r.max().y]),
                Value::Bbox(b) if b.len() == 4 && b[0] <= b[2] => Some([b[0], b[1], b[2], b[3]]),
                _ => None,
            }
        }
        _ => None,
    }
}

fn common(a: [f64; 4], b: [f64; 4]) -> [f64; 4] {
    let both = [a[0].max(b[0]), a[1].max(b[1]), a[2].min(b[2]), a[3].min(b[3])];
    // Apart: nothing can pass, and either box will do.
    if both[0] <= both[2] && both[1] <= both[3] {
        both
    } else {
        a
    }
}

/// CQL2 text has no way to say a backslash before a quotation mark, its end included: it would be read as the mark.
pub fn sayable(text: &str) -> bool {
    !text.ends_with('\\') && !text.contains("\\'")
}

/// Can the server filter this?
fn can(able: &Capabilities, filter: &Filter) -> bool {
    let has = |class: &str| able.classes.contains(class);
    let known = |name: &str| able.queryables.open || able.queryables.named.contains_key(name);
    if !has("cql2-text") || !has("features-filter") || !filter.properties().into_iter().all(known) {
        return false;
    }
    let mut said = true;
    filter.each_value(&mut |v| {
        if let Value::Text(text) = v {
            said &= sayable(text);
        }
    });
    let mut wanted = BTreeSet::new();
    classes(filter, &mut wanted);
    if !said {
        return false;
    }
    wanted.into_iter().all(has)
}

/// The conformance classes that a filter needs (OGC 21-065r2, clause 7).
pub fn classes(filter: &Filter, into: &mut BTreeSet<&'static str>) {
    into.insert("basic-cql2");
    filter.parts().iter().for_each(|p| classes(p, into));
    let plain = |v: &Value| matches!(v, Value::Property(_));
    let literal =
        |v: &Value| !plain(v) && !matches!(v, Value::Arithmetic(..) | Value::Casei(_) | Value::Accenti(_));
    match filter {
        Filter::Compare(_, a, b) if !(plain(a) && literal(b)) => {
            into.insert("property-property");
        }
        Filter::Like(..) | Filter::Between(..) | Filter::In(..) => {
            into.insert("advanced-comparison-operators");
        }
        Filter::Spatial(op, a, b) => {
            let simple = |v: &Value| matches!(v, Value::Geometry(geo::Geometry::Point(_)) | Value::Bbox(_));
            into.insert(match op {
                SpatialRelation::Intersects if plain(a) && simple(b) => "basic-spatial-functions",
                SpatialRelation::Intersects if plain(a) && literal(b) => "basic-spatial-functions-plus",
                _ => "spatial-functions",
            });
            if !(plain(a) && literal(b)) {
                into.insert("property-property");
            }
        }
        Filter::Temporal(_, a, b) => {
            into.insert("temporal-functions");
            let fixed = |v: &Value| {
                literal(v) && !matches!(v, Value::Interval(a, b) if a.iter().chain(b).any(|v| plain(v)))
            };
            if !(plain(a) && fixed(b)) {
                into.insert("property-property");
            }
        }
        Filter::Array(_, a, b) => {
            into.insert("array-functions");
            if !(plain(a) && literal(b)) {
                into.insert("property-property");
            }
        }
        _ => {}
    }
    let mut inner = |v: &Value| {
        match v {
            Value::Arithmetic(..) => into.insert("arithmetic"),
            Value::Casei(_) => into.insert("case-insensitive-comparison"),
            Value::Accenti(_) => into.insert("accent-insensitive-comparison"),
            _ => false,
        };
    };
    filter.values().into_iter().for_each(|v| v.each(&mut |v| inner(v)));
}
