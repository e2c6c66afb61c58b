//! CQL2 (OGC 21-065r2): filters as a typed tree, parsed from text and from JSON, and printed as
//! either.
//!
//! This module owns the tree, its limits, its validation against queryables, its evaluation on a
//! feature, and its pushdown to servers. Requests to servers are left to the rest of the front.

mod conformance;
mod eval;
mod geometry;
mod json;
mod print;
mod pushdown;
mod queryables;
mod text;
mod validation;

pub use eval::{Feature, Matcher};
pub use geometry::{envelope, parse_geojson};
pub use json::{from_json, parse_json, to_json};
pub use pushdown::{split, Capabilities, FilterSplit};
pub use queryables::{QueryableType, Queryables};
pub use text::{flatten, parse_text, Junction};
pub use validation::check;

use geo::Geometry;

/// Deepest nesting of a filter.
pub const MAX_DEPTH: usize = 24;
/// Most nodes of a filter's tree, not counting points of geometries.
pub const MAX_NODES: usize = 2_000;
/// Most points of all geometries of a filter.
pub const MAX_POINTS: usize = 20_000;
/// Length of a date such as `2026-12-01`, in characters.
const DATE_LENGTH_BYTES: usize = 10;

/// Message to the client that wrote a malformed filter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FilterError(pub String);

impl std::fmt::Display for FilterError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for FilterError {}

/// Returns an error with a message.
fn filter_error<T>(why: impl Into<String>) -> Result<T, FilterError> {
    Err(FilterError(why.into()))
}

/// A condition that is true, false or unknown of a feature.
#[derive(Debug, Clone, PartialEq)]
pub enum Filter {
    /// Conjunction of two conditions or more.
    And(Vec<Filter>),
    /// Disjunction of two conditions or more.
    Or(Vec<Filter>),
    /// Negation.
    Not(Box<Filter>),
    /// A constant.
    Constant(bool),
    /// Comparison of two values.
    Compare(ComparisonOperator, Value, Value),
    /// Match of a text against a pattern with `%`, `_` and `\`.
    Like(Value, Value),
    /// Test that a number lies between two others, both included.
    Between(Value, Value, Value),
    /// Test that a value is equal to one of a list.
    In(Value, Vec<Value>),
    /// Test that a value is missing.
    IsNull(Value),
    /// Spatial relation between two geometries.
    Spatial(SpatialRelation, Value, Value),
    /// Temporal relation between two times.
    Temporal(TemporalRelation, Value, Value),
    /// Relation between two arrays.
    Array(ArrayRelation, Value, Value),
    /// Boolean property as a condition.
    BooleanProperty(Value),
}

/// An operand of a filter.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// Property of a feature, its `id` or its geometry.
    Property(String),
    /// Text.
    Text(String),
    /// A number.
    Number(f64),
    /// True or false.
    Bool(bool),
    /// A day, `2026-12-01`.
    Date(String),
    /// An instant, `2026-12-01T00:00:00Z`.
    Timestamp(String),
    /// Time span whose ends are dates, timestamps or properties, or `None` if open.
    Interval(Option<Box<Value>>, Option<Box<Value>>),
    /// A geometry.
    Geometry(Geometry<f64>),
    /// Box: west, south, east, north, or six numbers with the lowest and highest heights.
    Bbox(Vec<f64>),
    /// An array.
    Array(Vec<Value>),
    /// Result of an operator on two numbers.
    Arithmetic(ArithmeticOperator, Box<Value>, Box<Value>),
    /// Text without its case.
    Casei(Box<Value>),
    /// Text without its accents.
    Accenti(Box<Value>),
}

macro_rules! operators {
    (
        $(#[$doc:meta])*
        $name:ident { $($(#[$about:meta])* $variant:ident $text:literal $json:literal),* $(,)? }
    ) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[expect(missing_docs, reason = "the variants have the names of the standard's operators")]
        pub enum $name { $($(#[$about])* $variant),* }
        impl $name {
            /// All values of the type.
            pub const ALL: &'static [$name] = &[$($name::$variant),*];
            /// Returns the name in CQL2 text.
            #[must_use]
            pub fn text(self) -> &'static str {
                match self { $($name::$variant => $text),* }
            }
            /// Returns the name in CQL2 JSON.
            #[must_use]
            pub fn json(self) -> &'static str {
                match self { $($name::$variant => $json),* }
            }
        }
    };
}

operators! {
    /// Comparison operator.
    ComparisonOperator {
        Equal "=" "=",
        NotEqual "<>" "<>",
        LessEqual "<=" "<=",
        GreaterEqual ">=" ">=",
        Less "<" "<",
        Greater ">" ">",
    }
}
operators! {
    /// Arithmetic operator on two numbers.
    ArithmeticOperator {
        Add "+" "+",
        Subtract "-" "-",
        Multiply "*" "*",
        Divide "/" "/",
        Modulo "%" "%",
        Div "div" "div",
        Power "^" "^",
    }
}
operators! {
    /// Spatial relation of the dimensionally extended nine-intersection model.
    SpatialRelation {
        Intersects "S_INTERSECTS" "s_intersects",
        Equals "S_EQUALS" "s_equals",
        Disjoint "S_DISJOINT" "s_disjoint",
        Touches "S_TOUCHES" "s_touches",
        Within "S_WITHIN" "s_within",
        Overlaps "S_OVERLAPS" "s_overlaps",
        Crosses "S_CROSSES" "s_crosses",
        Contains "S_CONTAINS" "s_contains",
    }
}
operators! {
    /// Temporal relation of Allen's interval algebra.
    TemporalRelation {
        After "T_AFTER" "t_after",
        Before "T_BEFORE" "t_before",
        Contains "T_CONTAINS" "t_contains",
        Disjoint "T_DISJOINT" "t_disjoint",
        During "T_DURING" "t_during",
        Equals "T_EQUALS" "t_equals",
        FinishedBy "T_FINISHEDBY" "t_finishedBy",
        Finishes "T_FINISHES" "t_finishes",
        Intersects "T_INTERSECTS" "t_intersects",
        Meets "T_MEETS" "t_meets",
        MetBy "T_METBY" "t_metBy",
        OverlappedBy "T_OVERLAPPEDBY" "t_overlappedBy",
        Overlaps "T_OVERLAPS" "t_overlaps",
        StartedBy "T_STARTEDBY" "t_startedBy",
        Starts "T_STARTS" "t_starts",
    }
}
operators! {
    /// Relation between arrays.
    ArrayRelation {
        Equals "A_EQUALS" "a_equals",
        Contains "A_CONTAINS" "a_contains",
        ContainedBy "A_CONTAINEDBY" "a_containedBy",
        Overlaps "A_OVERLAPS" "a_overlaps",
    }
}

impl TemporalRelation {
    /// Returns whether the relation may hold between instants too; the others need two intervals.
    #[must_use]
    pub fn allows_instants(self) -> bool {
        matches!(
            self,
            TemporalRelation::After
                | TemporalRelation::Before
                | TemporalRelation::Disjoint
                | TemporalRelation::Equals
                | TemporalRelation::Intersects
        )
    }
}

impl Filter {
    /// Returns the operands, in order.
    #[must_use]
    pub fn values(&self) -> Vec<&Value> {
        match self {
            Filter::And(_) | Filter::Or(_) | Filter::Not(_) | Filter::Constant(_) => Vec::new(),
            Filter::Compare(_, a, b)
            | Filter::Like(a, b)
            | Filter::Spatial(_, a, b)
            | Filter::Temporal(_, a, b)
            | Filter::Array(_, a, b) => vec![a, b],
            Filter::Between(a, b, c) => vec![a, b, c],
            Filter::In(a, list) => std::iter::once(a).chain(list).collect(),
            Filter::IsNull(a) | Filter::BooleanProperty(a) => vec![a],
        }
    }

    /// Returns the conditions that the filter joins or negates.
    #[must_use]
    pub fn parts(&self) -> &[Filter] {
        match self {
            Filter::And(parts) | Filter::Or(parts) => parts,
            Filter::Not(part) => std::slice::from_ref(part),
            _ => &[],
        }
    }

    /// Calls `visit` for every operand of the filter and of its parts, inner operands too.
    pub fn for_each_value<'a>(&'a self, visit: &mut dyn FnMut(&'a Value)) {
        self.values().into_iter().for_each(|v| v.for_each(visit));
        self.parts().iter().for_each(|p| p.for_each_value(visit));
    }

    /// Returns the names of the properties that the filter refers to.
    #[must_use]
    pub fn properties(&self) -> std::collections::BTreeSet<&str> {
        let mut names = std::collections::BTreeSet::new();
        self.for_each_value(&mut |v| {
            if let Value::Property(name) = v {
                names.insert(name.as_str());
            }
        });
        names
    }

    /// Returns the conjunction of several conditions, or `None` if there are none.
    #[must_use]
    pub fn conjunction(mut parts: Vec<Filter>) -> Option<Filter> {
        match parts.len() {
            0 => None,
            1 => parts.pop(),
            _ => Some(Filter::And(parts)),
        }
    }

    /// Returns the relative cost of evaluating the filter on a feature: one for each node and for
    /// each hundred points of its geometries.
    #[must_use]
    pub fn evaluation_cost(&self) -> usize {
        let mut cost = 1 + self
            .parts()
            .iter()
            .map(Filter::evaluation_cost)
            .sum::<usize>();
        for value in self.values() {
            value.for_each(&mut |v| {
                cost += match v {
                    Value::Geometry(g) => 1 + geometry::point_count(g) / 100,
                    _ => 1,
                }
            });
        }
        cost
    }

    /// Returns the number of conditions in the filter, including itself.
    fn condition_count(&self) -> usize {
        1 + self
            .parts()
            .iter()
            .map(Filter::condition_count)
            .sum::<usize>()
    }

    /// Returns the filter if it is within the limits on nodes and points.
    fn within_limits(self) -> Result<Self, FilterError> {
        let mut nodes = self.condition_count();
        let mut points = 0;
        self.for_each_value(&mut |value| {
            nodes += 1;
            if let Value::Geometry(geometry) = value {
                points += geometry::point_count(geometry);
            }
        });
        if nodes > MAX_NODES {
            return filter_error(format!("it has more than {MAX_NODES} parts"));
        }
        if points > MAX_POINTS {
            return filter_error(format!("its geometries have more than {MAX_POINTS} points"));
        }
        Ok(self)
    }
}

impl Value {
    /// Calls `visit` for the value and its inner values.
    fn for_each<'a>(&'a self, visit: &mut dyn FnMut(&'a Value)) {
        visit(self);
        match self {
            Value::Interval(a, b) => a.iter().chain(b).for_each(|v| v.for_each(visit)),
            Value::Array(list) => list.iter().for_each(|v| v.for_each(visit)),
            Value::Arithmetic(_, a, b) => [a, b].into_iter().for_each(|v| v.for_each(visit)),
            Value::Casei(a) | Value::Accenti(a) => a.for_each(visit),
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
