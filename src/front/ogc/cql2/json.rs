//! CQL2 JSON: read and written after the standard's schema (OGC 21-065r2, clause 7 and annex B).

use super::geometry::{parse_geojson, to_geojson};
use super::text::{flatten, Junction};
use super::{
    fault, ArithmeticOperator, ArrayRelation, ComparisonOperator, Filter, FilterError, SpatialRelation,
    TemporalRelation, Value, MAX_DEPTH,
};
use serde_json::{json, Value as Json};

type Read<T> = Result<T, FilterError>;

/// Reads a filter from JSON text.
pub fn parse_json(text: &str) -> Read<Filter> {
    let json: Json = serde_json::from_str(text).map_err(|e| FilterError(e.to_string()))?;
    from_json(&json)
}

/// Reads a filter from JSON that is parsed already.
pub fn from_json(json: &Json) -> Read<Filter> {
    filter(json, 1)?.bounded()
}

fn deep(depth: usize) -> Read<()> {
    if depth > MAX_DEPTH {
        return fault(format!("it is nested more than {MAX_DEPTH} deep"));
    }
    Ok(())
}

fn args<'a, const N: usize>(op: &str, args: &'a [Json]) -> Read<&'a [Json; N]> {
    args.try_into().or_else(|_| fault(format!("{op} needs {N} args")))
}

fn filter(json: &Json, depth: usize) -> Read<Filter> {
    deep(depth)?;
    if let Some(constant) = json.as_bool() {
        return Ok(Filter::Constant(constant));
    }
    if json.get("property").is_some() {
        return Ok(Filter::Test(value(json, depth)?));
    }
    let Some(op) = json["op"].as_str() else { return fault("a condition needs op and args") };
    let Some(list) = json["args"].as_array() else { return fault(format!("{op} needs args")) };
    let two = || -> Read<(Value, Value)> {
        let [a, b] = args::<2>(op, list)?;
        Ok((value(a, depth + 1)?, value(b, depth + 1)?))
    };
    if let "and" | "or" = op {
        if list.len() < 2 {
            return fault(format!("{op} needs two args or more"));
        }
        let parts: Vec<_> = list.iter().map(|a| filter(a, depth + 1)).collect::<Read<_>>()?;
        return Ok(match op {
            "and" => Filter::And(flatten(parts, Junction::And)),
            _ => Filter::Or(flatten(parts, Junction::Or)),
        });
    }
    if op == "not" {
        let [inner] = args::<1>(op, list)?;
        return Ok(Filter::Not(Box::new(filter(inner, depth + 1)?)));
    }
    if let Some(op) = ComparisonOperator::ALL.iter().find(|o| o.json() == op) {
        return two().map(|(a, b)| Filter::Compare(*op, a, b));
    }
    if let Some(op) = SpatialRelation::ALL.iter().find(|o| o.json() == op) {
        return two().map(|(a, b)| Filter::Spatial(*op, a, b));
    }
    if let Some(op) = TemporalRelation::ALL.iter().find(|o| o.json() == op) {
        return two().map(|(a, b)| Filter::Temporal(*op, a, b));
    }
    if let Some(op) = ArrayRelation::ALL.iter().find(|o| o.json() == op) {
        return two().map(|(a, b)| Filter::Array(*op, a, b));
    }
    match op {
        "like" => two().map(|(a, b)| Filter::Like(a, b)),
        "isNull" => {
            let [a] = args::<1>(op, list)?;
            Ok(Filter::IsNull(value(a, depth + 1)?))
        }
        "between" => {
            let [a, b, c] = args::<3>(op, list)?;
            Ok(Filter::Between(value(a, depth + 1)?, value(b, depth + 1)?, value(c, depth + 1)?))
        }
        "in" => {
            let [a, among] = args::<2>(op, list)?;
            let Some(among) = among.as_array().filter(|l| !l.is_empty()) else {
                return fault("in needs a list that is not empty");
            };
            let among = among.iter().map(|v| value(v, depth + 1)).collect::<Read<_>>()?;
            Ok(Filter::In(value(a, depth + 1)?, among))
        }
        other => fault(format!("the operator {other:?} is not known")),
    }
}

fn value(json: &Json, depth: usize) -> Read<Value> {
    deep(depth)?;
    Ok(match json {
        Json::String(text) => Value::Text(text.clone()),
        Json::Bool(b) => Value::Bool(*b),
        Json::Number(n) => match n.as_f64() {
            Some(n) => Value::Number(n),
            None => return fault("a number is too large"),
        },
        Json::Array(list) => Value::Array(list.iter().map(|v| value(v, depth + 1)).collect::<Read<_>>()?),
        Json::Null => return fault("null is no value"),
        Json::Object(object) => {
            let text = |key: &str| object.get(key).and_then(Json::as_str).map(str::to_owned);
            if let Some(name) = text("property") {
                if name.is_empty() || name.contains('"') {
                    return fault("a property's name is empty or has a quotation mark");
                }
                Value::Property(name)
            } else if let Some(date) = text("date") {
                Value::Date(date)
            } else if let Some(stamp) = text("timestamp") {
                Value::Timestamp(stamp)
            } else if let Some(span) = object.get("interval") {
                let Some([from, to]) =
                    span.as_array().and_then(|s| <&[Json; 2]>::try_from(s.as_slice()).ok())
                else {
                    return fault("an interval needs two ends");
                };
                Value::Interval(end(from, depth)?, end(to, depth)?)
            } else if let Some(bbox) = object.get("bbox") {
                let numbers: Option<Vec<f64>> =
                    bbox.as_array().and_then(|b| b.iter().map(Json::as_f64).collect());
                match numbers {
                    Some(numbers) if matches!(numbers.len(), 4 | 6) => Value::Bbox(numbers),
                    _ => return fault("a bbox needs four or six numbers"),
                }
            } else if object.contains_key("type") {
                Value::Geometry(parse_geojson(json)?)
            } else {
                operation(json, depth)?
            }
        }
    })
}

fn operation(json: &Json, depth: usize) -> Read<Value> {
    let (Some(op), Some(list)) = (json["op"].as_str(), json["args"].as_array()) else {
        return fault("a value is none that is known");
    };
    let inner = |json: &Json| value(json, depth + 1).map(Box::new);
    match op {
        "casei" => Ok(Value::Casei(inner(&args::<1>(op, list)?[0])?)),
        "accenti" => Ok(Value::Accenti(inner(&args::<1>(op, list)?[0])?)),
        op => match ArithmeticOperator::ALL.iter().find(|o| o.json() == op) {
            Some(found) => {
                let [a, b] = args::<2>(op, list)?;
                Ok(Value::Arithmetic(*found, inner(a)?, inner(b)?))
            }
            None => fault(format!("the function {op:?} is not known")),
        },
    }
}

fn end(json: &Json, depth: usize) -> Read<Option<Box<Value>>> {
    let made = match json.as_str() {
        Some(".." | "") => return Ok(None),
        Some(text) if text.len() == 10 => Value::Date(text.to_owned()),
        Some(text) => Value::Timestamp(text.to_owned()),
        None => match value(json, depth + 1)? {
            made @ (Value::Property(_) | Value::Date(_) | Value::Timestamp(_)) => made,
            _ => return fault("an interval's end is a time or a property"),
        },
    };
    Ok(Some(Box::new(made)))
}

/// As CQL2 JSON.
pub fn to_json(filter: &Filter) -> Json {
    let op = |op: &str, args: Vec<Json>| json!({"op": op, "args": args});
    match filter {
        Filter::And(parts) => op("and", parts.iter().map(to_json).collect()),
        Filter::Or(parts) => op("or", parts.iter().map(to_json).collect()),
        Filter::Not(inner) => op("not", vec![to_json(inner)]),
        Filter::Constant(b) => json!(b),
        Filter::Compare(o, a, b) => op(o.json(), vec![of(a), of(b)]),
        Filter::Spatial(o, a, b) => op(o.json(), vec![of(a), of(b)]),
        Filter::Temporal(o, a, b) => op(o.json(), vec![of(a), of(b)]),
        Filter::Array(o, a, b) => op(o.json(), vec![of(a), of(b)]),
        Filter::Like(a, b) => op("like", vec![of(a), of(b)]),
        Filter::Between(a, b, c) => op("between", vec![of(a), of(b), of(c)]),
        Filter::In(a, list) => op("in", vec![of(a), list.iter().map(of).collect()]),
        Filter::IsNull(a) => op("isNull", vec![of(a)]),
        Filter::Test(a) => of(a),
    }
}

fn of(value: &Value) -> Json {
    let end = |end: &Option<Box<Value>>| match end.as_deref() {
        None => json!(".."),
        Some(Value::Date(text) | Value::Timestamp(text)) => json!(text),
        Some(other) => of(other),
    };
    match value {
        Value::Property(name) => json!({"property": name}),
        Value::Text(text) => json!(text),
        Value::Number(n) => json!(n),
        Value::Bool(b) => json!(b),
        Value::Date(text) => json!({"date": text}),
        Value::Timestamp(text) => json!({"timestamp": text}),
        Value::Interval(a, b) => json!({"interval": [end(a), end(b)]}),
        Value::Geometry(g) => to_geojson(g),
        Value::Bbox(numbers) => json!({"bbox": numbers}),
        Value::Array(list) => list.iter().map(of).collect(),
        Value::Arithmetic(o, a, b) => json!({"op": o.json(), "args": [of(a), of(b)]}),
        Value::Casei(a) => json!({"op": "casei", "args": [of(a)]}),
        Value::Accenti(a) => json!({"op": "accenti", "args": [of(a)]}),
    }
}
