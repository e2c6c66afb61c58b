//! CQL2 JSON: parsing and writing by the standard's schema (OGC 21-065r2, clause 7 and annex B).

use super::geometry::{parse_geojson, to_geojson};
use super::text::{flatten, Junction};
use super::{
    fault, ArithmeticOperator, ArrayRelation, ComparisonOperator, Filter, FilterError,
    SpatialRelation, TemporalRelation, Value, DATE_LENGTH, MAX_DEPTH,
};
use serde_json::{json, Map, Value as Json};

/// Result of parsing a part of a filter.
type Parsed<T> = Result<T, FilterError>;

/// Parses a filter.
///
/// # Errors
///
/// Fails if the text is not JSON, not a filter, or a filter beyond the limits.
pub fn parse_json(text: &str) -> Parsed<Filter> {
    let json: Json = serde_json::from_str(text).map_err(|e| FilterError(e.to_string()))?;
    from_json(&json)
}

/// Parses a filter from JSON that was parsed already.
///
/// # Errors
///
/// Fails if the JSON is not a filter, or a filter beyond the limits.
pub fn from_json(json: &Json) -> Parsed<Filter> {
    condition(json, 1)?.bounded()
}

/// Checks a depth of nesting against the limit.
fn check_depth(depth: usize) -> Parsed<()> {
    if depth > MAX_DEPTH {
        return fault(format!("it is nested more than {MAX_DEPTH} deep"));
    }
    Ok(())
}

/// Parses a condition at a depth of nesting, counted from 1.
fn condition(json: &Json, depth: usize) -> Parsed<Filter> {
    check_depth(depth)?;
    if let Some(constant) = json.as_bool() {
        return Ok(Filter::Constant(constant));
    }
    if json.get("property").is_some() {
        return Ok(Filter::Test(value(json, depth)?));
    }
    let Some(op) = json["op"].as_str() else {
        return fault("a condition needs op and args");
    };
    let Some(args) = json["args"].as_array() else {
        return fault(format!("{op} needs args"));
    };
    let call = Call { op, args, depth };
    match op {
        "and" => Ok(Filter::And(flatten(call.conditions()?, Junction::And))),
        "or" => Ok(Filter::Or(flatten(call.conditions()?, Junction::Or))),
        "not" => {
            let [inner] = call.exactly::<1>()?;
            Ok(Filter::Not(Box::new(condition(inner, depth + 1)?)))
        }
        "like" => call
            .two_values()
            .map(|(text, pattern)| Filter::Like(text, pattern)),
        "isNull" => {
            let [operand] = call.values::<1>()?;
            Ok(Filter::IsNull(operand))
        }
        "between" => {
            let [operand, low, high] = call.values::<3>()?;
            Ok(Filter::Between(operand, low, high))
        }
        "in" => call.in_list(),
        _ => call.relation(),
    }
}

/// An operator and its arguments.
struct Call<'a> {
    /// Name of the operator.
    op: &'a str,
    args: &'a [Json],
    /// Depth of nesting, counted from 1.
    depth: usize,
}

impl<'a> Call<'a> {
    /// Returns the arguments if there are exactly `N`.
    fn exactly<const N: usize>(&self) -> Parsed<&'a [Json; N]> {
        self.args
            .try_into()
            .or_else(|_| fault(format!("{} needs {N} args", self.op)))
    }

    /// Parses the arguments as exactly `N` values.
    fn values<const N: usize>(&self) -> Parsed<[Value; N]> {
        let values = self
            .exactly::<N>()?
            .iter()
            .map(|arg| value(arg, self.depth + 1));
        let values = values.collect::<Parsed<Vec<_>>>()?;
        values
            .try_into()
            .or_else(|_| fault(format!("{} needs {N} args", self.op)))
    }

    fn two_values(&self) -> Parsed<(Value, Value)> {
        let [left, right] = self.values::<2>()?;
        Ok((left, right))
    }

    /// Parses the arguments as two conditions or more.
    fn conditions(&self) -> Parsed<Vec<Filter>> {
        if self.args.len() < 2 {
            return fault(format!("{} needs two args or more", self.op));
        }
        self.args
            .iter()
            .map(|arg| condition(arg, self.depth + 1))
            .collect()
    }

    fn in_list(&self) -> Parsed<Filter> {
        let [operand, list] = self.exactly::<2>()?;
        let Some(list) = list.as_array().filter(|list| !list.is_empty()) else {
            return fault("in needs a list that is not empty");
        };
        let list = list
            .iter()
            .map(|item| value(item, self.depth + 1))
            .collect::<Parsed<_>>()?;
        Ok(Filter::In(value(operand, self.depth + 1)?, list))
    }

    /// Parses a comparison, or a spatial, temporal or array relation.
    fn relation(&self) -> Parsed<Filter> {
        if let Some(operator) = ComparisonOperator::ALL
            .iter()
            .find(|known| known.json() == self.op)
        {
            return self
                .two_values()
                .map(|(left, right)| Filter::Compare(*operator, left, right));
        }
        if let Some(relation) = SpatialRelation::ALL
            .iter()
            .find(|known| known.json() == self.op)
        {
            return self
                .two_values()
                .map(|(left, right)| Filter::Spatial(*relation, left, right));
        }
        if let Some(relation) = TemporalRelation::ALL
            .iter()
            .find(|known| known.json() == self.op)
        {
            return self
                .two_values()
                .map(|(left, right)| Filter::Temporal(*relation, left, right));
        }
        if let Some(relation) = ArrayRelation::ALL
            .iter()
            .find(|known| known.json() == self.op)
        {
            return self
                .two_values()
                .map(|(left, right)| Filter::Array(*relation, left, right));
        }
        fault(format!("the operator {:?} is not known", self.op))
    }
}

/// Parses a value at a depth of nesting.
fn value(json: &Json, depth: usize) -> Parsed<Value> {
    check_depth(depth)?;
    match json {
        Json::String(text) => Ok(Value::Text(text.clone())),
        Json::Bool(truth) => Ok(Value::Bool(*truth)),
        Json::Number(number) => match number.as_f64() {
            Some(number) => Ok(Value::Number(number)),
            None => fault("a number is too large"),
        },
        Json::Array(items) => {
            let items = items.iter().map(|item| value(item, depth + 1));
            items.collect::<Parsed<_>>().map(Value::Array)
        }
        Json::Null => fault("null is no value"),
        Json::Object(object) => object_value(json, object, depth),
    }
}

/// Parses a value that is an object, distinguished by its members.
fn object_value(json: &Json, object: &Map<String, Json>, depth: usize) -> Parsed<Value> {
    let text = |key: &str| object.get(key).and_then(Json::as_str).map(str::to_owned);
    if let Some(name) = text("property") {
        return property(name);
    }
    if let Some(date) = text("date") {
        return Ok(Value::Date(date));
    }
    if let Some(timestamp) = text("timestamp") {
        return Ok(Value::Timestamp(timestamp));
    }
    if let Some(ends) = object.get("interval") {
        return interval(ends, depth);
    }
    if let Some(numbers) = object.get("bbox") {
        return bbox(numbers);
    }
    if object.contains_key("type") {
        return parse_geojson(json).map(Value::Geometry);
    }
    operation(json, depth)
}

fn property(name: String) -> Parsed<Value> {
    if name.is_empty() || name.contains('"') {
        return fault("a property's name is empty or has a quotation mark");
    }
    Ok(Value::Property(name))
}

fn interval(ends: &Json, depth: usize) -> Parsed<Value> {
    match ends.as_array().map(Vec::as_slice) {
        Some([from, to]) => Ok(Value::Interval(
            interval_end(from, depth)?,
            interval_end(to, depth)?,
        )),
        _ => fault("an interval needs two ends"),
    }
}

fn bbox(numbers: &Json) -> Parsed<Value> {
    let numbers = numbers
        .as_array()
        .and_then(|list| list.iter().map(Json::as_f64).collect::<Option<Vec<_>>>());
    match numbers {
        Some(numbers) if matches!(numbers.len(), 4 | 6) => Ok(Value::Bbox(numbers)),
        _ => fault("a bbox needs four or six numbers"),
    }
}

/// Parses an operator or a function that results in a value.
fn operation(json: &Json, depth: usize) -> Parsed<Value> {
    let (Some(op), Some(args)) = (json["op"].as_str(), json["args"].as_array()) else {
        return fault("a value is none that is known");
    };
    let call = Call { op, args, depth };
    match op {
        "casei" => call.values().map(|[text]| Value::Casei(Box::new(text))),
        "accenti" => call.values().map(|[text]| Value::Accenti(Box::new(text))),
        op => match ArithmeticOperator::ALL
            .iter()
            .find(|known| known.json() == op)
        {
            Some(operator) => {
                let (left, right) = call.two_values()?;
                Ok(Value::Arithmetic(
                    *operator,
                    Box::new(left),
                    Box::new(right),
                ))
            }
            None => fault(format!("the function {op:?} is not known")),
        },
    }
}

/// Parses an end of an interval; `None` is open.
fn interval_end(json: &Json, depth: usize) -> Parsed<Option<Box<Value>>> {
    let end = match json.as_str() {
        Some(".." | "") => return Ok(None),
        Some(text) if text.len() == DATE_LENGTH => Value::Date(text.to_owned()),
        Some(text) => Value::Timestamp(text.to_owned()),
        None => match value(json, depth + 1)? {
            end @ (Value::Property(_) | Value::Date(_) | Value::Timestamp(_)) => end,
            _ => return fault("an interval's end is a time or a property"),
        },
    };
    Ok(Some(Box::new(end)))
}

/// Writes a filter as CQL2 JSON.
#[must_use]
pub fn to_json(filter: &Filter) -> Json {
    let op = |op: &str, args: Vec<Json>| json!({"op": op, "args": args});
    match filter {
        Filter::And(parts) => op("and", parts.iter().map(to_json).collect()),
        Filter::Or(parts) => op("or", parts.iter().map(to_json).collect()),
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
        Filter::Test(a) => value_to_json(a),
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
