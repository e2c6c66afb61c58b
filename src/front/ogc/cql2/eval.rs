//! What a filter says of a feature: true, false, or unknown where a value is missing.

use super::geometry::{envelope, parse_geojson};
use super::{
    ArithmeticOperator, ArrayRelation, ComparisonOperator, Filter, SpatialRelation, TemporalRelation, Value,
};
use geo::{Geometry, Intersects, Rect, Relate};
use serde_json::Value as Json;
use std::borrow::Cow;
use std::cmp::Ordering;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;
use unicode_normalization::{char::is_combining_mark, UnicodeNormalization};

/// Nanoseconds of a day.
const DAY: i128 = 86_400_000_000_000;

/// A span of time in Unix nanoseconds, `from` included and `to` too; of an instant both are the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// Its begin.
    pub from: i128,
    /// Its end.
    pub to: i128,
}

/// A date as its day, or an instant (RFC 3339).
pub fn instant(text: &str) -> Option<Span> {
    if text.len() == 10 {
        let midnight = OffsetDateTime::parse(&format!("{text}T00:00:00Z"), &Rfc3339).ok()?;
        let from = midnight.unix_timestamp_nanos();
        return Some(Span { from, to: from + DAY - 1 });
    }
    let at = OffsetDateTime::parse(text, &Rfc3339).ok()?.unix_timestamp_nanos();
    Some(Span { from: at, to: at })
}

/// A feature as parsed GeoJSON.
#[derive(Debug)]
pub struct Feature<'a>(pub &'a Json);

impl<'a> Feature<'a> {
    /// The value of a name: a property, else `id`, else the geometry under its usual names.
    pub fn value(&self, name: &str) -> Option<&'a Json> {
        let found = self.0["properties"].get(name).or_else(|| match name {
            "id" => self.0.get("id"),
            "geometry" | "geom" => self.0.get("geometry"),
            _ => None,
        });
        found.filter(|v| !v.is_null())
    }
}

/// A value of a feature as it is compared.
#[derive(Debug, Clone)]
enum Got<'a> {
    Text(Cow<'a, str>),
    Number(f64),
    Bool(bool),
    Time(Span),
    Array(Vec<Got<'a>>),
    Other,
}

/// A filter made ready for many features: geometries have their boxes.
#[derive(Debug, Clone)]
pub struct Matcher {
    filter: Filter,
}

impl Matcher {
    /// For this filter.
    pub fn new(filter: Filter) -> Self {
        Matcher { filter }
    }

    /// Does it hold for this feature? What is unknown does not.
    pub fn matches(&self, feature: &Json) -> bool {
        holds(&self.filter, &Feature(feature)) == Some(true)
    }

    /// The same for a feature as text; what is no JSON does not match.
    pub fn matches_text(&self, feature: &[u8]) -> bool {
        serde_json::from_slice(feature).is_ok_and(|json: Json| self.matches(&json))
    }
}

fn holds(filter: &Filter, feature: &Feature<'_>) -> Option<bool> {
    let get = |value| got(value, feature);
    match filter {
        // Unknown and false is false, unknown or true is true: only what decides counts.
        Filter::And(parts) => all(parts.iter().map(|p| holds(p, feature)), false),
        Filter::Or(parts) => all(parts.iter().map(|p| holds(p, feature)), true),
        Filter::Not(part) => holds(part, feature).map(|b| !b),
        Filter::Constant(b) => Some(*b),
        Filter::Compare(op, a, b) => compared(&get(a)?, &get(b)?).map(|order| fits(*op, order)),
        Filter::Like(a, b) => match (get(a)?, get(b)?) {
            (Got::Text(text), Got::Text(pattern)) => Some(like(&text, &pattern)),
            _ => None,
        },
        Filter::Between(a, b, c) => {
            let a = get(a)?;
            let low = compared(&a, &get(b)?)? != Ordering::Less;
            Some(low && compared(&a, &get(c)?)? != Ordering::Greater)
        }
        Filter::In(a, list) => {
            let a = get(a)?;
            all(list.iter().map(|v| Some(compared(&a, &get(v)?)? == Ordering::Equal)), true)
        }
        Filter::IsNull(a) => Some(match a {
            Value::Property(name) => feature.value(name).is_none(),
            a => get(a).is_none(),
        }),
        Filter::Test(a) => match get(a)? {
            Got::Bool(b) => Some(b),
            _ => None,
        },
        Filter::Spatial(op, a, b) => {
            let (a, b) = (place(a, feature)?, place(b, feature)?);
            spatial(*op, &a, &b)
        }
        Filter::Temporal(op, a, b) => Some(temporal(*op, span(a, feature)?, span(b, feature)?)),
        Filter::Array(op, a, b) => match (get(a)?, get(b)?) {
            (Got::Array(a), Got::Array(b)) => Some(arrays(*op, &a, &b)),
            _ => None,
        },
    }
}

/// The first that is `decisive`, else whether any is unknown.
fn all(parts: impl Iterator<Item = Option<bool>>, decisive: bool) -> Option<bool> {
    let mut unknown = false;
    for part in parts {
        match part {
            Some(b) if b == decisive => return Some(decisive),
            Some(_) => {}
            None => unknown = true,
        }
    }
    (!unknown).then_some(!decisive)
}

fn fits(op: ComparisonOperator, order: Ordering) -> bool {
    match op {
        ComparisonOperator::Equal => order == Ordering::Equal,
        ComparisonOperator::NotEqual => order != Ordering::Equal,
        ComparisonOperator::Less => order == Ordering::Less,
        ComparisonOperator::LessEqual => order != Ordering::Greater,
        ComparisonOperator::Greater => order == Ordering::Greater,
        ComparisonOperator::GreaterEqual => order != Ordering::Less,
    }
}

fn compared(a: &Got<'_>, b: &Got<'_>) -> Option<Ordering> {
    match (a, b) {
        (Got::Number(a), Got::Number(b)) => a.partial_cmp(b),
        (Got::Bool(a), Got::Bool(b)) => Some(a.cmp(b)),
        (Got::Time(a), Got::Time(b)) => Some(a.from.cmp(&b.from)),
        // Times come as text.
        (Got::Time(a), Got::Text(b)) => Some(a.from.cmp(&instant(b)?.from)),
        (Got::Text(a), Got::Time(b)) => Some(instant(a)?.from.cmp(&b.from)),
        (Got::Text(a), Got::Text(b)) => Some(a.cmp(b)),
        _ => None,
    }
}

fn json(value: &Json) -> Got<'_> {
    match value {
        Json::String(text) => Got::Text(text.as_str().into()),
        Json::Number(n) => n.as_f64().map_or(Got::Other, Got::Number),
        Json::Bool(b) => Got::Bool(*b),
        Json::Array(list) => Got::Array(list.iter().map(json).collect()),
        Json::Null | Json::Object(_) => Got::Other,
    }
}

fn got<'a>(value: &'a Value, feature: &Feature<'a>) -> Option<Got<'a>> {
    Some(match value {
        Value::Property(name) => json(feature.value(name)?),
        Value::Text(text) => Got::Text(text.as_str().into()),
        Value::Number(n) => Got::Number(*n),
        Value::Bool(b) => Got::Bool(*b),
        Value::Date(text) | Value::Timestamp(text) => Got::Time(instant(text)?),
        Value::Array(list) => Got::Array(list.iter().map(|v| got(v, feature)).collect::<Option<_>>()?),
        Value::Arithmetic(op, a, b) => match (got(a, feature)?, got(b, feature)?) {
            (Got::Number(a), Got::Number(b)) => {
                let result = match op {
                    ArithmeticOperator::Add => a + b,
                    ArithmeticOperator::Subtract => a - b,
                    ArithmeticOperator::Multiply => a * b,
                    ArithmeticOperator::Divide => a / b,
                    ArithmeticOperator::Modulo => a % b,
                    ArithmeticOperator::Div => (a / b).trunc(),
                    ArithmeticOperator::Power => a.powf(b),
                };
                // By zero, or beyond all numbers: unknown.
                Got::Number(Some(result).filter(|r| r.is_finite())?)
            }
            _ => return None,
        },
        Value::Casei(a) => match got(a, feature)? {
            Got::Text(text) => Got::Text(text.to_lowercase().into()),
            _ => return None,
        },
        Value::Accenti(a) => match got(a, feature)? {
            Got::Text(text) => {
                Got::Text(text.nfd().filter(|c| !is_combining_mark(*c)).nfc().collect::<String>().into())
            }
            _ => return None,
        },
        Value::Interval(..) | Value::Geometry(_) | Value::Bbox(_) => return None,
    })
}

/// `%` is any text, `_` one character, and a backslash takes the next one as it is.
fn like(text: &str, pattern: &str) -> bool {
    #[derive(PartialEq)]
    enum Piece {
        Any,
        One,
        Is(char),
    }
    let mut pieces = Vec::new();
    let mut letters = pattern.chars();
    while let Some(c) = letters.next() {
        pieces.push(match c {
            '%' => Piece::Any,
            '_' => Piece::One,
            '\\' => Piece::Is(letters.next().unwrap_or('\\')),
            c => Piece::Is(c),
        });
    }
    let text: Vec<char> = text.chars().collect();
    // Greedy with one way back: the last `%` takes one more. At most text times pattern steps.
    let (mut at, mut piece, mut back) = (0, 0, None);
    while at < text.len() {
        match pieces.get(piece) {
            Some(Piece::Any) => {
                back = Some((piece, at));
                piece += 1;
            }
            Some(Piece::One) => (at, piece) = (at + 1, piece + 1),
            Some(Piece::Is(c)) if *c == text[at] => (at, piece) = (at + 1, piece + 1),
            _ => match back {
                Some((any, from)) => {
                    back = Some((any, from + 1));
                    (at, piece) = (from + 1, any + 1);
                }
                None => return false,
            },
        }
    }
    pieces[piece..].iter().all(|p| *p == Piece::Any)
}

fn place<'a>(value: &'a Value, feature: &Feature<'_>) -> Option<Cow<'a, Geometry<f64>>> {
    match value {
        Value::Geometry(g) => Some(Cow::Borrowed(g)),
        Value::Property(name) => parse_geojson(feature.value(name)?).ok().map(Cow::Owned),
        Value::Bbox(b) => {
            let (w, s, e, n) = if b.len() == 6 { (b[0], b[1], b[3], b[4]) } else { (b[0], b[1], b[2], b[3]) };
            let of = |w: f64, e: f64| Rect::new((w, s), (e, n)).to_polygon();
            // Over the antimeridian: two boxes.
            Some(Cow::Owned(if w <= e {
                of(w, e).into()
            } else {
                geo::MultiPolygon(vec![of(w, 180.0), of(-180.0, e)]).into()
            }))
        }
        _ => None,
    }
}

fn spatial(op: SpatialRelation, a: &Geometry<f64>, b: &Geometry<f64>) -> Option<bool> {
    let (Some(left), Some(right)) = (envelope(a), envelope(b)) else {
        return Some(op == SpatialRelation::Disjoint);
    };
    if !left.intersects(&right) {
        return Some(op == SpatialRelation::Disjoint);
    }
    Some(match op {
        SpatialRelation::Intersects => a.intersects(b),
        SpatialRelation::Disjoint => !a.intersects(b),
        op => {
            let matrix = a.relate(b);
            match op {
                SpatialRelation::Equals => matrix.is_equal_topo(),
                SpatialRelation::Touches => matrix.is_touches(),
                SpatialRelation::Within => matrix.is_within(),
                SpatialRelation::Overlaps => matrix.is_overlaps(),
                SpatialRelation::Crosses => matrix.is_crosses(),
                _ => matrix.is_contains(),
            }
        }
    })
}

fn span(value: &Value, feature: &Feature<'_>) -> Option<Span> {
    match value {
        Value::Date(text) | Value::Timestamp(text) => instant(text),
        Value::Property(name) => instant(feature.value(name)?.as_str()?),
        Value::Interval(from, to) => {
            let end = |end: &Option<Box<Value>>| end.as_ref().map(|v| span(v, feature));
            let from = match end(from) {
                None => i128::MIN,
                Some(span) => span?.from,
            };
            let to = match end(to) {
                None => i128::MAX,
                Some(span) => span?.to,
            };
            (from <= to).then_some(Span { from, to })
        }
        _ => None,
    }
}

fn temporal(op: TemporalRelation, a: Span, b: Span) -> bool {
    match op {
        TemporalRelation::After => a.from > b.to,
        TemporalRelation::Before => a.to < b.from,
        TemporalRelation::Disjoint => a.to < b.from || a.from > b.to,
        TemporalRelation::Intersects => a.to >= b.from && a.from <= b.to,
        TemporalRelation::Equals => a == b,
        TemporalRelation::Contains => a.from < b.from && a.to > b.to,
        TemporalRelation::During => a.from > b.from && a.to < b.to,
        TemporalRelation::FinishedBy => a.from < b.from && a.to == b.to,
        TemporalRelation::Finishes => a.from > b.from && a.to == b.to,
        TemporalRelation::Meets => a.to == b.from,
        TemporalRelation::MetBy => a.from == b.to,
        TemporalRelation::OverlappedBy => a.from > b.from && a.from < b.to && a.to > b.to,
        TemporalRelation::Overlaps => a.from < b.from && a.to > b.from && a.to < b.to,
        TemporalRelation::StartedBy => a.from == b.from && a.to > b.to,
        TemporalRelation::Starts => a.from == b.from && a.to < b.to,
    }
}

fn arrays(op: ArrayRelation, a: &[Got<'_>], b: &[Got<'_>]) -> bool {
    let equal = |x: &Got<'_>, y: &Got<'_>| match (x, y) {
        (Got::Array(x), Got::Array(y)) => arrays(ArrayRelation::Equals, x, y),
        (x, y) => compared(x, y) == Some(Ordering::Equal),
    };
    let within = |a: &[Got<'_>], b: &[Got<'_>]| a.iter().all(|x| b.iter().any(|y| equal(x, y)));
    match op {
        // As sets: order and repeats are of no consequence.
        ArrayRelation::Equals => within(a, b) && within(b, a),
        ArrayRelation::Contains => within(b, a),
        ArrayRelation::ContainedBy => within(a, b),
        ArrayRelation::Overlaps => a.iter().any(|x| b.iter().any(|y| equal(x, y))),
    }
}
