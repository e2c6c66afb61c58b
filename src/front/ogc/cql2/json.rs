//! CQL2 JSON: parsing and writing of filters by the standard's schema (OGC 21-065r2, clause 7 and
//! annex B).

use super::geometry::{parse_geojson, to_geojson};
use super::text::{flatten, Junction};
use super::{
    filter_error, ArithmeticOperator, ArrayRelation, ComparisonOperator, Filter, FilterError,
    SpatialRelation, TemporalRelation, Value, DATE_LENGTH_BYTES, MAX_DEPTH,
};
use serde_json::{json, Map, Value as Json};

/// Result of parsing a part of a filter.
type Parsed<T> = Result<T, FilterError>;

/// Parses a filter.
///
/// # Errors
///
/// Fails if the text is not JSON or not a filter, or if the filter exceeds a limit on its size or
/// depth.
pub fn parse_json(text: &str) -> Parsed<Filter> {
    let json: Json = serde_json::from_str(text).map_err(|e| FilterError(e.to_string()))?;
    from_json(&json)
}

/// Parses a filter from a JSON value.
///
/// # Errors
///
/// Fails if the JSON is not a filter, or if the filter exceeds a limit on its size or depth.
pub fn from_json(json: &Json) -> Parsed<Filter> {
    parse_condition(json, 1)?.within_limits()
}

/// Checks that a depth of nesting does not exceed the limit.
fn check_depth(depth: usize) -> Parsed<()> {
    if depth > MAX_DEPTH {
        return filter_error(format!("it is nested more than {MAX_DEPTH} deep"));
    }
    Ok(())
}

/// Parses a condition at a depth of nesting, counted from 1.
fn parse_condition(json: &Json, depth: usize) -> Parsed<Filter> {
    check_depth(depth)?;
    if let Some(constant) = json.as_bool() {
        return Ok(Filter::Constant(constant));
    }
    if json.get("property").is_some() {
        return Ok(Filter::BooleanProperty(parse_value(json, depth)?));
    }
    let Some(op) = json["op"].as_str() else {
        return filter_error("a condition needs op and args");
    };
    let Some(args) = json["args"].as_array() else {
        return filter_error(format!("{op} needs args"));
    };
    let operation = Operation { op, args, depth };
    match op {
        "and" => Ok(Filter::And(flatten(
            operation.parse_conditions()?,
            Junction::And,
        ))),
        "or" => Ok(Filter::Or(flatten(
            operation.parse_conditions()?,
            Junction::Or,
        ))),
        "not" => {
            let [inner] = operation.exact_args::<1>()?;
            Ok(Filter::Not(Box::new(parse_condition(inner, depth + 1)?)))
        }
        "like" => operation
            .parse_two_values()
            .map(|(text, pattern)| Filter::Like(text, pattern)),
        "isNull" => {
            let [operand] = operation.parse_values::<1>()?;
            Ok(Filter::IsNull(operand))
        }
        "between" => {
            let [operand, low, high] = operation.parse_values::<3>()?;
            Ok(Filter::Between(operand, low, high))
        }
        "in" => operation.parse_in_list(),
        _ => operation.parse_relation(),
    }
}

/// An operator or function with its arguments.
struct Operation<'a> {
    /// Name of the operator or function.
    op: &'a str,
    args: &'a [Json],
    /// Depth of nesting of the operation itself, counted from 1.
    depth: usize,
}

impl<'a> Operation<'a> {
    /// Returns the arguments if there are exactly `N`.
    fn exact_args<const N: usize>(&self) -> Parsed<&'a [Json; N]> {
        self.args
            .try_into()
            .or_else(|_| filter_error(format!("{} needs {N} args", self.op)))
    }

    /// Parses the arguments as exactly `N` values.
    fn parse_values<const N: usize>(&self) -> Parsed<[Value; N]> {
        let values = self
            .exact_args::<N>()?
            .iter()
            .map(|arg| parse_value(arg, self.depth + 1));
        let values = values.collect::<Parsed<Vec<_>>>()?;
        values
            .try_into()
            .or_else(|_| filter_error(format!("{} needs {N} args", self.op)))
    }

    /// Parses the arguments as exactly two values.
    fn parse_two_values(&self) -> Parsed<(Value, Value)> {
        let [left, right] = self.parse_values::<2>()?;
        Ok((left, right))
    }

    /// Parses the arguments as two conditions or more.
    fn parse_conditions(&self) -> Parsed<Vec<Filter>> {
        if self.args.len() < 2 {
            return filter_error(format!("{} needs two args or more", self.op));
        }
        self.args
            .iter()
            .map(|arg| parse_condition(arg, self.depth + 1))
            .collect()
    }

    /// Parses the arguments of `in`: a value and a list of values.
    fn parse_in_list(&self) -> Parsed<Filter> {
        let [operand, list] = self.exact_args::<2>()?;
        let Some(list) = list.as_array().filter(|list| !list.is_empty()) else {
            return filter_error("in needs a list that is not empty");
        };
        let list = list
            .iter()
            .map(|item| parse_value(item, self.depth + 1))
            .collect::<Parsed<_>>()?;
        Ok(Filter::In(parse_value(operand, self.depth + 1)?, list))
    }

    /// Parses a comparison, or a spatial, temporal or array relation.
    fn parse_relation(&self) -> Parsed<Filter> {
        if let Some(operator) = ComparisonOperator::ALL
            .iter()
            .find(|candidate| candidate.json() == self.op)
        {
            return self
                .parse_two_values()
                .map(|(left, right)| Filter::Compare(*operator, left, right));
        }
        if let Some(relation) = SpatialRelation::ALL
            .iter()
            .find(|candidate| candidate.json() == self.op)
        {
            return self
                .parse_two_values()
                .map(|(left, right)| Filter::Spatial(*relation, left, right));
        }
        if let Some(relation) = TemporalRelation::ALL
            .iter()
            .find(|candidate| candidate.json() == self.op)
        {
            return self
                .parse_two_values()
                .map(|(left, right)| Filter::Temporal(*relation, left, right));
        }
        if let Some(relation) = ArrayRelation::ALL
            .iter()
            .find(|candidate| candidate.json() == self.op)
        {
            return self
                .parse_two_values()
                .map(|(left, right)| Filter::Array(*relation, left, right));
        }
        filter_error(format!("the operator {:?} is not known", self.op))
    }
}

/// Parses a value at a depth of nesting, counted from 1.
fn parse_value(json: &Json, depth: usize) -> Parsed<Value> {
    check_depth(depth)?;
    match json {
        Json::String(text) => Ok(Value::Text(text.clone())),
        Json::Bool(truth) => Ok(Value::Bool(*truth)),
        Json::Number(number) => match number.as_f64() {
            Some(number) => Ok(Value::Number(number)),
            None => filter_error("a number is too large"),
        },
        Json::Array(items) => {
            let items = items.iter().map(|item| parse_value(item, depth + 1));
            items.collect::<Parsed<_>>().map(Value::Array)
        }
        Json::Null => filter_error("null is no value"),
        Json::Object(object) => parse_object(json, object, depth),
    }
}

/// Parses a value that is an object. Its members determine the type of the value.
fn parse_object(json: &Json, object: &Map<String, Json>, depth: usize) -> Parsed<Value> {
    let text = |key: &str| object.get(key).and_then(Json::as_str).map(str::to_owned);
    if let Some(name) = text("property") {
        return parse_property(name);
    }
    if let Some(date) = text("date") {
        return Ok(Value::Date(date));
    }
    if let Some(timestamp) = text("timestamp") {
        return Ok(Value::Timestamp(timestamp));
    }
    if let Some(ends) = object.get("interval") {
        return parse_interval(ends, depth);
    }
    if let Some(numbers) = object.get("bbox") {
        return parse_bbox(numbers);
    }
    if object.contains_key("type") {
        return parse_geojson(json).map(Value::Geometry);
    }
    parse_operation(json, depth)
}

fn parse_property(name: String) -> Parsed<Value> {
    if name.is_empty() || name.contains('"') {
        return filter_error("a property's name is empty or has a quotation mark");
    }
    Ok(Value::Property(name))
}

fn parse_interval(ends: &Json, depth: usize) -> Parsed<Value> {
    match ends.as_array().map(Vec::as_slice) {
        Some([from, to]) => Ok(Value::Interval(
            parse_interval_end(from, depth)?,
            parse_interval_end(to, depth)?,
        )),
        _ => filter_error("an interval needs two ends"),
    }
}

fn parse_bbox(numbers: &Json) -> Parsed<Value> {
    let numbers = numbers
        .as_array()
        .and_then(|list| list.iter().map(Json::as_f64).collect::<Option<Vec<_>>>());
    match numbers {
        Some(numbers) if matches!(numbers.len(), 4 | 6) => Ok(Value::Bbox(numbers)),
        _ => filter_error("a bbox needs four or six numbers"),
    }
}

/// Parses an arithmetic operator or a function of a text.
fn parse_operation(json: &Json, depth: usize) -> Parsed<Value> {
    let (Some(op), Some(args)) = (json["op"].as_str(), json["args"].as_array()) else {
        return filter_error("a value is none that is known");
    };
    let operation = Operation { op, args, depth };
    match op {
        "casei" => operation
            .parse_values()
            .map(|[text]| Value::Casei(Box::new(text))),
        "accenti" => operation
            .parse_values()
            .map(|[text]| Value::Accenti(Box::new(text))),
        op => match ArithmeticOperator::ALL
            .iter()
            .find(|candidate| candidate.json() == op)
        {
            Some(operator) => {
                let (left, right) = operation.parse_two_values()?;
                Ok(Value::Arithmetic(
                    *operator,
                    Box::new(left),
                    Box::new(right),
                ))
            }
            None => filter_error(format!("the function {op:?} is not known")),
        },
    }
}

/// Parses an end of an interval. Returns `None` if the interval is open at this end.
fn parse_interval_end(json: &Json, depth: usize) -> Parsed<Option<Box<Value>>> {
    let end = match json.as_str() {
        Some(".." | "") => return Ok(None),
        Some(text) if text.len() == DATE_LENGTH_BYTES => Value::Date(text.to_owned()),
        Some(text) => Value::Timestamp(text.to_owned()),
        None => match parse_value(json, depth + 1)? {
            end @ (Value::Property(_) | Value::Date(_) | Value::Timestamp(_)) => end,
            _ => return filter_error("an interval's end is a time or a property"),
        },
    };
    Ok(Some(Box::new(end)))
}

/// Writes a filter as CQL2 JSON.
#[must_use]
pub fn to_json(filter: &Filter) -> Json {
    let op = |op: &str, args: Vec<Json>| json!({"op": op, "args": args});
    match filter {
        Filter::And(children) => op("and", children.iter().map(to_json).collect()),
        Filter::Or(children) => op("or", children.iter().map(to_json).collect()),
        Filter::Not(inner) => op("not", vec![to_json(inner)]),
        Filter::Constant(truth) => json!(truth),
        Filter::Compare(operator, a, b) => {
            op(operator.json(), vec![value_to_json(a), value_to_json(b)])
        }
        Filter::Spatial(relation, a, b) => {
            op(relation.json(), vec![value_to_json(a), value_to_json(b)])
        }
        Filter::Temporal(relation, a, b) => {
            op(relation.json(), vec![value_to_json(a), value_to_json(b)])
        }
        Filter::Array(relation, a, b) => {
            op(relation.json(), vec![value_to_json(a), value_to_json(b)])
        }
        Filter::Like(a, b) => op("like", vec![value_to_json(a), value_to_json(b)]),
        Filter::Between(a, b, c) => op(
            "between",
            vec![value_to_json(a), value_to_json(b), value_to_json(c)],
        ),
        Filter::In(a, list) => op(
            "in",
            vec![value_to_json(a), list.iter().map(value_to_json).collect()],
        ),
        Filter::IsNull(a) => op("isNull", vec![value_to_json(a)]),
        Filter::BooleanProperty(a) => value_to_json(a),
    }
}

fn value_to_json(value: &Value) -> Json {
    let end = |end: &Option<Box<Value>>| match end.as_deref() {
        None => json!(".."),
        Some(Value::Date(text) | Value::Timestamp(text)) => json!(text),
        Some(other) => value_to_json(other),
    };
    match value {
        Value::Property(name) => json!({"property": name}),
        Value::Text(text) => json!(text),
        Value::Number(number) => json!(number),
        Value::Bool(truth) => json!(truth),
        Value::Date(text) => json!({"date": text}),
        Value::Timestamp(text) => json!({"timestamp": text}),
        Value::Interval(a, b) => json!({"interval": [end(a), end(b)]}),
        Value::Geometry(geometry) => to_geojson(geometry),
        Value::Bbox(numbers) => json!({"bbox": numbers}),
        Value::Array(list) => list.iter().map(value_to_json).collect(),
        Value::Arithmetic(operator, a, b) => {
            json!({"op": operator.json(), "args": [value_to_json(a), value_to_json(b)]})
        }
        Value::Casei(a) => json!({"op": "casei", "args": [value_to_json(a)]}),
        Value::Accenti(a) => json!({"op": "accenti", "args": [value_to_json(a)]}),
    }
}
