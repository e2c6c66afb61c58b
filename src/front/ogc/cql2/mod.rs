//! CQL2 (Common Query Language, OGC 21-065r2): filters as a typed tree, parsed from text and from
//! JSON, and printed as either.
//!
//! This module contains the tree, its limits, its validation against queryables, its evaluation on
//! a feature, and its pushdown to feature servers. It sends no requests: the rest of the front
//! does.

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
pub use validation::validate;

use geo::Geometry;

/// Maximum depth of nesting of a filter.
pub const MAX_DEPTH: usize = 24;
/// Maximum number of nodes of a filter's tree, not counting the points of geometries.
pub const MAX_NODES: usize = 2_000;
/// Maximum number of points of all geometries of a filter together.
pub const MAX_POINTS: usize = 20_000;
/// Length of a date such as `2026-12-01`, in bytes.
const DATE_LENGTH_BYTES: usize = 10;

/// Malformed filter, with the message to the client that sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FilterError(pub String);

impl std::fmt::Display for FilterError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for FilterError {}

/// Returns an error with this message to the client.
fn filter_error<T>(message: impl Into<String>) -> Result<T, FilterError> {
    Err(FilterError(message.into()))
}

/// A condition that is true, false or unknown for a feature.
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
    /// Test that the first value lies between the two others, both included.
    Between(Value, Value, Value),
    /// Test that a value is equal to an item of a list.
    In(Value, Vec<Value>),
    /// Test that a property is missing or null.
    IsNull(Value),
    /// Spatial relation between two geometries.
    Spatial(SpatialRelation, Value, Value),
    /// Temporal relation between two times.
    Temporal(TemporalRelation, Value, Value),
    /// Relation between two arrays.
    Array(ArrayRelation, Value, Value),
    /// Boolean property that stands for a condition by itself.
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
    /// Box: west, south, east, north; or six numbers, with the lowest height after south and the
    /// highest height after north.
    Bbox(Vec<f64>),
    /// An array.
    Array(Vec<Value>),
    /// Result of an operator on two numbers.
    Arithmetic(ArithmeticOperator, Box<Value>, Box<Value>),
    /// Text for a comparison that ignores case.
    Casei(Box<Value>),
    /// Text for a comparison that ignores accents.
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
            /// Returns the name of the operator in CQL2 text.
            #[must_use]
            pub fn text(self) -> &'static str {
                match self { $($name::$variant => $text),* }
            }
            /// Returns the name of the operator in CQL2 JSON.
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
    /// Spatial relation of the dimensionally extended nine-intersection model (DE-9IM).
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
    /// Returns the filter's own operands, in order.
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
    pub fn children(&self) -> &[Filter] {
        match self {
            Filter::And(children) | Filter::Or(children) => children,
            Filter::Not(child) => std::slice::from_ref(child),
            _ => &[],
        }
    }

    /// Calls `visit` for every operand in the filter's tree, including operands of operands.
    pub fn for_each_value<'a>(&'a self, visit: &mut dyn FnMut(&'a Value)) {
        self.values().into_iter().for_each(|v| v.for_each(visit));
        self.children()
            .iter()
            .for_each(|child| child.for_each_value(visit));
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

    /// Returns the conjunction of the conditions (a single condition as it is), or `None` if there
    /// are none.
    #[must_use]
    pub fn conjunction(mut conditions: Vec<Filter>) -> Option<Filter> {
        match conditions.len() {
            0 => None,
            1 => conditions.pop(),
            _ => Some(Filter::And(conditions)),
        }
    }

    /// Returns the relative cost of evaluating the filter on a feature: 1 for each node and 1 for
    /// each 100 points of a geometry.
    #[must_use]
    pub fn evaluation_cost(&self) -> usize {
        let mut cost = 1 + self
            .children()
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
            .children()
            .iter()
            .map(Filter::condition_count)
            .sum::<usize>()
    }

    /// Returns the filter if its nodes and points do not exceed the limits, else an error.
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
    /// Calls `visit` for the value and all values within it.
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
