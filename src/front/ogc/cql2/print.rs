//! Printing of filters as CQL2 text. Parsing the text results in an equal tree.

use super::geometry::to_wkt;
use super::{Filter, Value};
use std::fmt;

impl fmt::Display for Filter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let inner = |child: &Filter| match child {
            Filter::And(_) | Filter::Or(_) => format!("({child})"),
            child => child.to_string(),
        };
        let joined = |children: &[Filter], separator: &str| {
            children
                .iter()
                .map(inner)
                .collect::<Vec<_>>()
                .join(separator)
        };
        match self {
            Filter::And(children) => f.write_str(&joined(children, " AND ")),
            Filter::Or(children) => f.write_str(&joined(children, " OR ")),
            Filter::Not(child) => write!(f, "NOT ({child})"),
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

/// The items after `IN`, printed in parentheses.
struct List<'a>(&'a [Value]);

impl fmt::Display for List<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let list: Vec<String> = self.0.iter().map(Value::to_string).collect();
        write!(f, "({})", list.join(","))
    }
}

/// Returns a text as a literal. A quotation mark is doubled, but one after a backslash gets a
/// second backslash instead, since the parser reads a backslash and a quotation mark as an escaped
/// one.
fn quoted(text: &str) -> String {
    let mut literal = String::from("'");
    let mut previous = ' ';
    for c in text.chars() {
        match (previous, c) {
            ('\\', '\'') => literal.push_str("\\'"),
            (_, '\'') => literal.push_str("''"),
            (_, c) => literal.push(c),
        }
        previous = c;
    }
    literal.push('\'');
    literal
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let end = |end: &Option<Box<Value>>| match end.as_deref() {
            None => "'..'".to_owned(),
            Some(Value::Date(text) | Value::Timestamp(text)) => quoted(text),
            Some(other) => other.to_string(),
        };
        match self {
            // The name is always quoted, since any name may be a keyword of a server's dialect.
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
                // An arithmetic element is printed without its outermost parentheses, since an
                // element that is completely enclosed in parentheses would parse as an array.
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
