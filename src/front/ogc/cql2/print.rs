//! Printing of filters as CQL2 text, which parses to the same tree again.

use super::geometry::to_wkt;
use super::{Filter, Value};
use std::fmt;

impl fmt::Display for Filter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let inner = |part: &Filter| match part {
            Filter::And(_) | Filter::Or(_) => format!("({part})"),
            part => part.to_string(),
        };
        let joined =
            |parts: &[Filter], by: &str| parts.iter().map(inner).collect::<Vec<_>>().join(by);
        match self {
            Filter::And(parts) => f.write_str(&joined(parts, " AND ")),
            Filter::Or(parts) => f.write_str(&joined(parts, " OR ")),
            Filter::Not(part) => write!(f, "NOT ({part})"),
            Filter::Constant(b) => f.write_str(if *b { "TRUE" } else { "FALSE" }),
            Filter::Compare(op, a, b) => write!(f, "{a} {} {b}", op.text()),
            Filter::Like(a, b) => write!(f, "{a} LIKE {b}"),
            Filter::Between(a, b, c) => write!(f, "{a} BETWEEN {b} AND {c}"),
            Filter::In(a, list) => write!(f, "{a} IN {}", List(list)),
            Filter::IsNull(a) => write!(f, "{a} IS NULL"),
            Filter::Spatial(op, a, b) => write!(f, "{}({a},{b})", op.text()),
            Filter::Temporal(op, a, b) => write!(f, "{}({a},{b})", op.text()),
            Filter::Array(op, a, b) => write!(f, "{}({a},{b})", op.text()),
            Filter::BooleanProperty(a) => write!(f, "{a}"),
        }
    }
}

struct List<'a>(&'a [Value]);

impl fmt::Display for List<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let list: Vec<String> = self.0.iter().map(Value::to_string).collect();
        write!(f, "({})", list.join(","))
    }
}

/// Returns a text literal. A quotation mark is doubled, except after a backslash: the parser reads
/// the two as an escaped mark.
fn quoted(text: &str) -> String {
    let mut out = String::from("'");
    let mut before = ' ';
    for c in text.chars() {
        match (before, c) {
            ('\\', '\'') => out.push_str("\\'"),
            (_, '\'') => out.push_str("''"),
            (_, c) => out.push(c),
        }
        before = c;
    }
    out.push('\'');
    out
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let end = |end: &Option<Box<Value>>| match end.as_deref() {
            None => "'..'".to_owned(),
            Some(Value::Date(text) | Value::Timestamp(text)) => quoted(text),
            Some(other) => other.to_string(),
        };
        match self {
            // Always quoted, since any name may be a keyword of some dialect.
            Value::Property(name) => write!(f, "\"{name}\""),
            Value::Text(text) => f.write_str(&quoted(text)),
            Value::Number(n) => write!(f, "{n}"),
            Value::Bool(b) => f.write_str(if *b { "TRUE" } else { "FALSE" }),
            Value::Date(text) => write!(f, "DATE({})", quoted(text)),
            Value::Timestamp(text) => write!(f, "TIMESTAMP({})", quoted(text)),
            Value::Interval(a, b) => write!(f, "INTERVAL({},{})", end(a), end(b)),
            Value::Geometry(g) => f.write_str(&to_wkt(g)),
            Value::Bbox(numbers) => {
                let numbers: Vec<String> = numbers.iter().map(f64::to_string).collect();
                write!(f, "BBOX({})", numbers.join(","))
            }
            Value::Array(list) => {
                // An array element whose outermost brackets enclose all of it would parse as an
                // array.
                let element = |v: &Value| match v {
                    Value::Arithmetic(op, a, b) => format!("{a} {} {b}", op.text()),
                    v => v.to_string(),
                };
                write!(
                    f,
                    "({})",
                    list.iter().map(element).collect::<Vec<_>>().join(",")
                )
            }
            Value::Arithmetic(op, a, b) => write!(f, "({a} {} {b})", op.text()),
            Value::Casei(a) => write!(f, "CASEI({a})"),
            Value::Accenti(a) => write!(f, "ACCENTI({a})"),
        }
    }
}
