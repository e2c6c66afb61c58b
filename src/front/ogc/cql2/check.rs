//! The check of a filter against the queryables of a collection: names that are known, operands that fit.

use super::eval::{instant, Span};
use super::{fault, Filter, FilterError, Value};
use serde_json::{json, Map, Value as Json};
use std::collections::BTreeMap;

/// What kind of values a queryable has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum QueryableType {
    /// Text.
    Text,
    /// A number, whole or not.
    Number,
    /// True or false.
    Bool,
    /// A day or an instant.
    Time,
    /// A geometry.
    Geometry,
    /// An array.
    Array,
    /// Not told: anything.
    Any,
}

/// What can be asked of a collection, and of what kind it is.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Queryables {
    /// By name.
    pub named: BTreeMap<String, QueryableType>,
    /// Other names may be used too; nothing is known of them.
    pub open: bool,
}

impl Queryables {
    /// Of nothing that is known: any name may be used.
    pub fn unknown() -> Self {
        Queryables { named: BTreeMap::new(), open: true }
    }

    /// From a JSON schema, as servers give it. `None`: it is none.
    pub fn from_schema(schema: &Json) -> Option<Self> {
        let properties = schema["properties"].as_object()?;
        let kind = |of: &Json| {
            let format = of["format"].as_str().unwrap_or_default();
            if format.starts_with("geometry-")
                || of.get("$ref").is_some_and(|r| r.to_string().contains("geojson"))
            {
                return QueryableType::Geometry;
            }
            match (of["type"].as_str(), format) {
                (Some("string"), "date" | "date-time") => QueryableType::Time,
                (Some("string"), _) => QueryableType::Text,
                (Some("number" | "integer"), _) => QueryableType::Number,
                (Some("boolean"), _) => QueryableType::Bool,
                (Some("array"), _) => QueryableType::Array,
                _ => QueryableType::Any,
            }
        };
        let named = properties.iter().map(|(name, of)| (name.clone(), kind(of))).collect();
        Some(Queryables { named, open: schema["additionalProperties"].as_bool() == Some(true) })
    }

    /// As a JSON schema.
    pub fn to_schema(&self) -> Json {
        let of = |kind: &QueryableType| match kind {
            QueryableType::Text => json!({"type": "string"}),
            QueryableType::Number => json!({"type": "number"}),
            QueryableType::Bool => json!({"type": "boolean"}),
            QueryableType::Time => json!({"type": "string", "format": "date-time"}),
            QueryableType::Geometry => json!({"format": "geometry-any"}),
            QueryableType::Array => json!({"type": "array"}),
            QueryableType::Any => json!({}),
        };
        let properties: Map<String, Json> =
            self.named.iter().map(|(name, kind)| (name.clone(), of(kind))).collect();
        json!({"type": "object", "properties": properties, "additionalProperties": self.open})
    }

    /// What both have; of one kind, if they agree on it.
    pub fn both(&self, other: &Queryables) -> Self {
        let kind = |name: &String, kind: QueryableType| match other.named.get(name) {
            Some(theirs) if *theirs == kind => Some(kind),
            Some(_) => Some(QueryableType::Any),
            None => other.open.then_some(kind),
        };
        let ours = self.named.iter().filter_map(|(n, k)| Some((n.clone(), kind(n, *k)?)));
        let theirs = other.named.iter().filter(|(n, _)| self.open && !self.named.contains_key(*n));
        let named = ours.chain(theirs.map(|(n, k)| (n.clone(), *k))).collect();
        Queryables { named, open: self.open && other.open }
    }

    /// What either has; of one kind, if they agree on it.
    pub fn either(mut self, other: &Queryables) -> Self {
        for (name, theirs) in &other.named {
            let kind = self.named.entry(name.clone()).or_insert(*theirs);
            if kind != theirs {
                *kind = QueryableType::Any;
            }
        }
        self.open |= other.open;
        self
    }

    fn kind(&self, name: &str) -> Result<QueryableType, FilterError> {
        match self.named.get(name) {
            Some(kind) => Ok(*kind),
            None if self.open => Ok(QueryableType::Any),
            None => fault(format!("there is no queryable {name:?}")),
        }
    }
}

/// Is this filter one that can be asked of such features?
pub fn check(filter: &Filter, queryables: &Queryables) -> Result<(), FilterError> {
    let kind = |value: &Value| kind_of(value, queryables);
    let needs = |value: &Value, wanted: QueryableType, what: &str| {
        let found = kind(value)?;
        if found == wanted || found == QueryableType::Any {
            Ok(())
        } else {
            fault(format!("{value} is no {what}"))
        }
    };
    match filter {
        Filter::And(parts) | Filter::Or(parts) => parts.iter().try_for_each(|p| check(p, queryables)),
        Filter::Not(part) => check(part, queryables),
        Filter::Constant(_) => Ok(()),
        Filter::Compare(_, a, b) => same(a, kind(a)?, b, kind(b)?),
        Filter::Like(a, b) => {
            needs(a, QueryableType::Text, "text")?;
            if !matches!(b, Value::Text(_)) && !matches!(b, Value::Casei(_) | Value::Accenti(_)) {
                return fault(format!("{b} is no pattern"));
            }
            needs(b, QueryableType::Text, "text")
        }
        Filter::Between(a, b, c) => {
            let kind = kind(a)?;
            if !matches!(kind, QueryableType::Number | QueryableType::Time | QueryableType::Any) {
                return fault(format!("{a} is neither a number nor a time"));
            }
            [b, c].into_iter().try_for_each(|v| same(a, kind, v, kind_of(v, queryables)?))
        }
        Filter::In(a, list) => {
            let of = kind(a)?;
            list.iter().try_for_each(|v| same(a, of, v, kind(v)?))
        }
        Filter::IsNull(a) | Filter::Test(a) if matches!(a, Value::Property(_)) => {
            let found = kind(a)?;
            if matches!(filter, Filter::Test(_)) && !matches!(found, QueryableType::Bool | QueryableType::Any)
            {
                return fault(format!("{a} is neither true nor false"));
            }
            Ok(())
        }
        Filter::IsNull(a) | Filter::Test(a) => fault(format!("{a} is no property")),
        Filter::Spatial(_, a, b) => {
            [a, b].into_iter().try_for_each(|v| needs(v, QueryableType::Geometry, "geometry"))
        }
        Filter::Temporal(op, a, b) => {
            [a, b].into_iter().try_for_each(|v| needs(v, QueryableType::Time, "time"))?;
            let instant = |v: &&Value| matches!(v, Value::Date(_) | Value::Timestamp(_));
            match [a, b].iter().find(|v| instant(v)) {
                Some(v) if !op.takes_instants() && !matches!(v, Value::Date(_)) => {
                    fault(format!("{} needs two intervals; {v} is none", op.text()))
                }
                _ => Ok(()),
            }
        }
        Filter::Array(_, a, b) => {
            [a, b].into_iter().try_for_each(|v| needs(v, QueryableType::Array, "array"))
        }
    }
}

fn same(a: &Value, left: QueryableType, b: &Value, right: QueryableType) -> Result<(), FilterError> {
    let simple = |k: QueryableType| !matches!(k, QueryableType::Geometry | QueryableType::Array);
    if !simple(left) || !simple(right) {
        return fault(format!("{a} and {b} cannot be compared so"));
    }
    // A time may be written as text.
    let timely = matches!(
        (left, right),
        (QueryableType::Time, QueryableType::Text) | (QueryableType::Text, QueryableType::Time)
    );
    if left == right || left == QueryableType::Any || right == QueryableType::Any || timely {
        return Ok(());
    }
    fault(format!("{a} and {b} are of different kinds"))
}

fn kind_of(value: &Value, queryables: &Queryables) -> Result<QueryableType, FilterError> {
    let number = |v: &Value| match kind_of(v, queryables)? {
        QueryableType::Number | QueryableType::Any => Ok(()),
        _ => fault(format!("{v} is no number")),
    };
    let time = |text: &str, day: bool| match instant(text) {
        Some(Span { from, to }) if day == (from != to) => Ok(QueryableType::Time),
        _ => fault(format!("{text:?} is no {}", if day { "date" } else { "timestamp" })),
    };
    match value {
        Value::Property(name) => queryables.kind(name),
        Value::Text(_) => Ok(QueryableType::Text),
        Value::Number(_) => Ok(QueryableType::Number),
        Value::Bool(_) => Ok(QueryableType::Bool),
        Value::Date(text) => time(text, true),
        Value::Timestamp(text) => time(text, false),
        Value::Interval(a, b) => {
            for end in a.iter().chain(b) {
                match kind_of(end, queryables)? {
                    QueryableType::Time | QueryableType::Any => {}
                    _ => return fault(format!("{end} is no time")),
                }
            }
            if let (Some(from), Some(to)) = (a.as_deref(), b.as_deref()) {
                let at = |v: &Value| match v {
                    Value::Date(t) | Value::Timestamp(t) => instant(t),
                    _ => None,
                };
                if at(from).zip(at(to)).is_some_and(|(from, to)| from.from > to.to) {
                    return fault("an interval ends before it begins");
                }
            }
            Ok(QueryableType::Time)
        }
        Value::Geometry(_) | Value::Bbox(_) => Ok(QueryableType::Geometry),
        Value::Array(list) => {
            list.iter().try_for_each(|v| kind_of(v, queryables).map(drop))?;
            Ok(QueryableType::Array)
        }
        Value::Arithmetic(_, a, b) => {
            number(a)?;
            number(b)?;
            Ok(QueryableType::Number)
        }
        Value::Casei(a) | Value::Accenti(a) => match kind_of(a, queryables)? {
            QueryableType::Text | QueryableType::Any => Ok(QueryableType::Text),
            _ => fault(format!("{a} is no text")),
        },
    }
}
