//! The check of a filter against the queryables of a collection: names that are known, operands that fit.

use super::eval::{instant, Span};
use super::{fault, Filter, FilterError, Value};
use serde_json::{json, Map, Value as Json};
use std::collections::BTreeMap;

/// What kind of values a queryable has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
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
    pub named: BTreeMap<String, Kind>,
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
                return Kind::Geometry;
            }
            match (of["type"].as_str(), format) {
                (Some("string"), "date" | "date-time") => Kind::Time,
                (Some("string"), _) => Kind::Text,
                (Some("number" | "integer"), _) => Kind::Number,
                (Some("boolean"), _) => Kind::Bool,
                (Some("array"), _) => Kind::Array,
                _ => Kind::Any,
            }
        };
        let named = properties.iter().map(|(name, of)| (name.clone(), kind(of))).collect();
        Some(Queryables { named, open: schema["additionalProperties"].as_bool() == Some(true) })
    }

    /// As a JSON schema.
    pub fn to_schema(&self) -> Json {
        let of = |kind: &Kind| match kind {
            Kind::Text => json!({"type": "string"}),
            Kind::Number => json!({"type": "number"}),
            Kind::Bool => json!({"type": "boolean"}),
            Kind::Time => json!({"type": "string", "format": "date-time"}),
            Kind::Geometry => json!({"format": "geometry-any"}),
            Kind::Array => json!({"type": "array"}),
            Kind::Any => json!({}),
        };
        let properties: Map<String, Json> =
            self.named.iter().map(|(name, kind)| (name.clone(), of(kind))).collect();
        json!({"type": "object", "properties": properties, "additionalProperties": self.open})
    }

    /// What both have; of one kind, if they agree on it.
    pub fn both(&self, other: &Queryables) -> Self {
        let kind = |name: &String, kind: Kind| match other.named.get(name) {
            Some(theirs) if *theirs == kind => Some(kind),
            Some(_) => Some(Kind::Any),
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
                *kind = Kind::Any;
            }
        }
        self.open |= other.open;
        self
    }

    fn kind(&self, name: &str) -> Result<Kind, FilterError> {
        match self.named.get(name) {
            Some(kind) => Ok(*kind),
            None if self.open => Ok(Kind::Any),
            None => fault(format!("there is no queryable {name:?}")),
        }
    }
}

/// Is this filter one that can be asked of such features?
pub fn check(filter: &Filter, queryables: &Queryables) -> Result<(), FilterError> {
    let kind = |value: &Value| kind_of(value, queryables);
    let needs = |value: &Value, wanted: Kind, what: &str| {
        let found = kind(value)?;
        if found == wanted || found == Kind::Any {
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
            needs(a, Kind::Text, "text")?;
            if !matches!(b, Value::Text(_)) && !matches!(b, Value::Casei(_) | Value::Accenti(_)) {
                return fault(format!("{b} is no pattern"));
            }
            needs(b, Kind::Text, "text")
        }
        Filter::Between(a, b, c) => {
            let kind = kind(a)?;
            if !matches!(kind, Kind::Number | Kind::Time | Kind::Any) {
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
            if matches!(filter, Filter::Test(_)) && !matches!(found, Kind::Bool | Kind::Any) {
                return fault(format!("{a} is neither true nor false"));
            }
            Ok(())
        }
        Filter::IsNull(a) | Filter::Test(a) => fault(format!("{a} is no property")),
        Filter::Spatial(_, a, b) => [a, b].into_iter().try_for_each(|v| needs(v, Kind::Geometry, "geometry")),
        Filter::Temporal(op, a, b) => {
            [a, b].into_iter().try_for_each(|v| needs(v, Kind::Time, "time"))?;
            let instant = |v: &&Value| matches!(v, Value::Date(_) | Value::Timestamp(_));
            match [a, b].iter().find(|v| instant(v)) {
                Some(v) if !op.takes_instants() && !matches!(v, Value::Date(_)) => {
                    fault(format!("{} needs two intervals; {v} is none", op.text()))
                }
                _ => Ok(()),
            }
        }
        Filter::Array(_, a, b) => [a, b].into_iter().try_for_each(|v| needs(v, Kind::Array, "array")),
    }
}

fn same(a: &Value, left: Kind, b: &Value, right: Kind) -> Result<(), FilterError> {
    let simple = |k: Kind| !matches!(k, Kind::Geometry | Kind::Array);
    if !simple(left) || !simple(right) {
        return fault(format!("{a} and {b} cannot be compared so"));
    }
    // A time may be written as text.
    let timely = matches!((left, right), (Kind::Time, Kind::Text) | (Kind::Text, Kind::Time));
    if left == right || left == Kind::Any || right == Kind::Any || timely {
        return Ok(());
    }
    fault(format!("{a} and {b} are of different kinds"))
}

fn kind_of(value: &Value, queryables: &Queryables) -> Result<Kind, FilterError> {
    let number = |v: &Value| match kind_of(v, queryables)? {
        Kind::Number | Kind::Any => Ok(()),
        _ => fault(format!("{v} is no number")),
    };
    let time = |text: &str, day: bool| match instant(text) {
        Some(Span { from, to }) if day == (from != to) => Ok(Kind::Time),
        _ => fault(format!("{text:?} is no {}", if day { "date" } else { "timestamp" })),
    };
    match value {
        Value::Property(name) => queryables.kind(name),
        Value::Text(_) => Ok(Kind::Text),
        Value::Number(_) => Ok(Kind::Number),
        Value::Bool(_) => Ok(Kind::Bool),
        Value::Date(text) => time(text, true),
        Value::Timestamp(text) => time(text, false),
        Value::Interval(a, b) => {
            for end in a.iter().chain(b) {
                match kind_of(end, queryables)? {
                    Kind::Time | Kind::Any => {}
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
            Ok(Kind::Time)
        }
        Value::Geometry(_) | Value::Bbox(_) => Ok(Kind::Geometry),
        Value::Array(list) => {
            list.iter().try_for_each(|v| kind_of(v, queryables).map(drop))?;
            Ok(Kind::Array)
        }
        Value::Arithmetic(_, a, b) => {
            number(a)?;
            number(b)?;
            Ok(Kind::Number)
        }
        Value::Casei(a) | Value::Accenti(a) => match kind_of(a, queryables)? {
            Kind::Text | Kind::Any => Ok(Kind::Text),
            _ => fault(format!("{a} is no text")),
        },
    }
}
