//! The conformance classes that a server must declare to evaluate a filter (OGC 21-065r2, clause
//! 7).

use super::{Filter, SpatialRelation, Value};
use geo::Geometry;
use std::collections::BTreeSet;

/// Conformance classes by the last segments of their URIs.
type Classes = BTreeSet<&'static str>;

/// Conformance class of operators whose operands are not a property and a constant, in this order.
const PROPERTY_PROPERTY: &str = "property-property";

/// Returns the conformance classes that a filter requires, by the last segments of their URIs.
pub(super) fn required_classes(filter: &Filter) -> Classes {
    let mut classes = Classes::new();
    add_classes(filter, &mut classes);
    classes
}

/// Adds the classes that a filter and its children require.
fn add_classes(filter: &Filter, classes: &mut Classes) {
    classes.insert("basic-cql2");
    for child in filter.children() {
        add_classes(child, classes);
    }
    add_operator_classes(filter, classes);
    for value in filter.values() {
        value.for_each(&mut |inner| classes.extend(value_class(inner)));
    }
}

/// Adds the classes that a filter's own operator requires with its operands.
fn add_operator_classes(filter: &Filter, classes: &mut Classes) {
    match filter {
        Filter::Compare(_, left, right) => add_operand_class(left, is_constant(right), classes),
        Filter::Like(..) | Filter::Between(..) | Filter::In(..) => {
            classes.insert("advanced-comparison-operators");
        }
        Filter::Spatial(relation, left, right) => {
            classes.insert(spatial_class(*relation, left, right));
            add_operand_class(left, is_constant(right), classes);
        }
        Filter::Temporal(_, left, right) => {
            classes.insert("temporal-functions");
            add_operand_class(
                left,
                is_constant(right) && !has_property_end(right),
                classes,
            );
        }
        Filter::Array(_, left, right) => {
            classes.insert("array-functions");
            add_operand_class(left, is_constant(right), classes);
        }
        _ => {}
    }
}

/// Adds the class that operands require unless they are a property and a constant.
fn add_operand_class(left: &Value, right_is_constant: bool, classes: &mut Classes) {
    if !is_property(left) || !right_is_constant {
        classes.insert(PROPERTY_PROPERTY);
    }
}

/// Returns the class that a spatial relation with these operands requires.
fn spatial_class(relation: SpatialRelation, left: &Value, right: &Value) -> &'static str {
    let is_simple = matches!(right, Value::Geometry(Geometry::Point(_)) | Value::Bbox(_));
    match relation {
        SpatialRelation::Intersects if is_property(left) && is_simple => "basic-spatial-functions",
        SpatialRelation::Intersects if is_property(left) && is_constant(right) => {
            "basic-spatial-functions-plus"
        }
        _ => "spatial-functions",
    }
}

/// Returns the class that a value requires as an operand of any operator.
fn value_class(value: &Value) -> Option<&'static str> {
    match value {
        Value::Arithmetic(..) => Some("arithmetic"),
        Value::Casei(_) => Some("case-insensitive-comparison"),
        Value::Accenti(_) => Some("accent-insensitive-comparison"),
        _ => None,
    }
}

fn is_property(value: &Value) -> bool {
    matches!(value, Value::Property(_))
}

/// Returns whether a value is neither a property nor computed.
fn is_constant(value: &Value) -> bool {
    !matches!(
        value,
        Value::Property(_) | Value::Arithmetic(..) | Value::Casei(_) | Value::Accenti(_)
    )
}

/// Returns whether an end of an interval is a property.
fn has_property_end(value: &Value) -> bool {
    match value {
        Value::Interval(from, to) => from.iter().chain(to).any(|end| is_property(end)),
        _ => false,
    }
}
