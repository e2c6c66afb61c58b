//! CQL2 text, by parser combinators after the standard's grammar (OGC 21-065r2, annex B).

use super::geometry::{line, polygon, ring};
use super::{
    fault, ArithmeticOperator, ArrayRelation, ComparisonOperator, Filter, FilterError, SpatialRelation,
    TemporalRelation, Value, MAX_DEPTH,
};
use geo::{
    Coord, Geometry, GeometryCollection, LineString, MultiLineString, MultiPoint, MultiPolygon, Point,
    Polygon,
};
use winnow::ascii::{multispace0, Caseless};
use winnow::combinator::{alt, cut_err, delimited, not, opt, peek, preceded, repeat, separated, terminated};
use winnow::error::{ContextError, ErrMode, StrContext};
use winnow::prelude::*;
use winnow::stream::{LocatingSlice, Location, Stateful};
use winnow::token::{any, one_of, take_while};

/// How deep the parser is.
#[derive(Debug, Clone, Copy, Default)]
struct Depth(usize);

type Input<'a> = Stateful<LocatingSlice<&'a str>, Depth>;
type Parsed<T> = ModalResult<T>;

/// Reads a filter.
pub fn parse_text(text: &str) -> Result<Filter, FilterError> {
    let mut input = Stateful { input: LocatingSlice::new(text), state: Depth::default() };
    let read = filter.parse_next(&mut input);
    let rest = |input: &Input<'_>| {
        let at = input.input.current_token_start().min(text.len());
        text[at..].trim_start().chars().take(24).collect::<String>()
    };
    match read {
        Ok(filter) if rest(&input).is_empty() => filter.bounded(),
        Ok(_) => fault(format!("not understood from {:?} on", rest(&input))),
        Err(ErrMode::Cut(e)) | Err(ErrMode::Backtrack(e)) => {
            let wanted = e.context().find_map(|c| match c {
                StrContext::Label(label) => Some(*label),
                _ => None,
            });
            fault(match (wanted, rest(&input)) {
                (Some("depth"), _) => format!("it is nested more than {MAX_DEPTH} deep"),
                (Some(wanted), at) if at.is_empty() => format!("{wanted} is needed at the end"),
                (Some(wanted), at) => format!("{wanted} is needed before {at:?}"),
                (None, at) => format!("not understood from {at:?} on"),
            })
        }
        Err(ErrMode::Incomplete(_)) => fault("it ends too early"),
    }
}

/// What follows is a level deeper.
fn deeper<'a, T>(
    mut parser: impl FnMut(&mut Input<'a>) -> Parsed<T>,
) -> impl FnMut(&mut Input<'a>) -> Parsed<T> {
    move |input| {
        input.state.0 += 1;
        if input.state.0 > MAX_DEPTH {
            let mut e = ContextError::new();
            e.push(StrContext::Label("depth"));
            return Err(ErrMode::Cut(e));
        }
        let parsed = parser(input);
        input.state.0 -= 1;
        parsed
    }
}

/// White space is passed over before each word and sign.
fn mark<'a>(sign: &'static str) -> impl FnMut(&mut Input<'a>) -> Parsed<()> {
    move |input| preceded(multispace0, sign).void().parse_next(input)
}

fn letter(c: char) -> bool {
    c.is_alphanumeric() || c == '_'
}

/// A key word, in any case, that does not go on.
fn word<'a>(text: &'static str) -> impl FnMut(&mut Input<'a>) -> Parsed<()> {
    move |input| (multispace0, Caseless(text), not(peek(one_of(letter)))).void().parse_next(input)
}

fn needed<'a>(sign: &'static str) -> impl FnMut(&mut Input<'a>) -> Parsed<()> {
    move |input| cut_err(mark(sign)).context(StrContext::Label(sign)).parse_next(input)
}

fn filter(input: &mut Input<'_>) -> Parsed<Filter> {
    deeper(|input| {
        let mut parts: Vec<Filter> = separated(1.., term, word("OR")).parse_next(input)?;
        Ok(if parts.len() == 1 { parts.swap_remove(0) } else { Filter::Or(flatten(parts, Junction::Or)) })
    })(input)
}

fn term(input: &mut Input<'_>) -> Parsed<Filter> {
    let mut parts: Vec<Filter> = separated(1.., factor, word("AND")).parse_next(input)?;
    Ok(if parts.len() == 1 { parts.swap_remove(0) } else { Filter::And(flatten(parts, Junction::And)) })
}

/// How conditions are joined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Junction {
    /// Each has to be true.
    And,
    /// One has to be true.
    Or,
}

/// Flattens nested conditions that are joined alike into one list, however they were put in brackets.
#[must_use]
pub fn flatten(parts: Vec<Filter>, junction: Junction) -> Vec<Filter> {
    let inner = |part| match part {
        Filter::And(inner) if junction == Junction::And => inner,
        Filter::Or(inner) if junction == Junction::Or => inner,
        part => vec![part],
    };
    parts.into_iter().flat_map(inner).collect()
}

fn factor(input: &mut Input<'_>) -> Parsed<Filter> {
    if opt(word("NOT")).parse_next(input)?.is_some() {
        let inner = deeper(|i| cut_err(factor).parse_next(i))(input)?;
        return Ok(Filter::Not(Box::new(inner)));
    }
    primary(input)
}

fn primary(input: &mut Input<'_>) -> Parsed<Filter> {
    if let Some(found) = opt(alt((relation, predicate))).parse_next(input)? {
        return Ok(found);
    }
    let brackets = delimited(mark("("), filter, needed(")"));
    alt((brackets, truth.map(Filter::Constant), property.map(Filter::Test)))
        .context(StrContext::Label("a condition"))
        .parse_next(input)
}

fn truth(input: &mut Input<'_>) -> Parsed<bool> {
    alt((word("TRUE").value(true), word("FALSE").value(false))).parse_next(input)
}

/// `S_…`, `T_…` and `A_…` with two arguments.
fn relation(input: &mut Input<'_>) -> Parsed<Filter> {
    let name = preceded(multispace0, take_while(3.., letter)).verify(|n: &str| n.get(1..2) == Some("_"));
    let start = terminated(name, mark("(")).parse_next(input)?.to_ascii_uppercase();
    macro_rules! found {
        ($of:ident, $make:expr, $argument:ident) => {
            if let Some(op) = $of::ALL.iter().find(|op| op.text() == start) {
                let a = cut_err($argument).parse_next(input)?;
                needed(",")(input)?;
                let b = cut_err($argument).parse_next(input)?;
                needed(")")(input)?;
                return Ok($make(*op, a, b));
            }
        };
    }
    found!(SpatialRelation, Filter::Spatial, place);
    found!(TemporalRelation, Filter::Temporal, time);
    found!(ArrayRelation, Filter::Array, array_value);
    Err(ErrMode::Backtrack(ContextError::new()))
}

fn predicate(input: &mut Input<'_>) -> Parsed<Filter> {
    let left = scalar(input)?;
    let comparison = |input: &mut Input<'_>| {
        for op in ComparisonOperator::ALL {
            if opt(mark(op.text())).parse_next(input)?.is_some() {
                return Ok(*op);
            }
        }
        Err(ErrMode::Backtrack(ContextError::new()))
    };
    if let Some(op) = opt(comparison).parse_next(input)? {
        let right = cut_err(scalar).context(StrContext::Label("a value")).parse_next(input)?;
        return Ok(Filter::Compare(op, left, right));
    }
    if opt(word("IS")).parse_next(input)?.is_some() {
        let negated = opt(word("NOT")).parse_next(input)?.is_some();
        cut_err(word("NULL")).context(StrContext::Label("NULL")).parse_next(input)?;
        return Ok(negate(Filter::IsNull(left), negated));
    }
    let negated = opt(word("NOT")).parse_next(input)?.is_some();
    let found = if opt(word("LIKE")).parse_next(input)?.is_some() {
        Filter::Like(left, cut_err(scalar).context(StrContext::Label("a pattern")).parse_next(input)?)
    } else if opt(word("BETWEEN")).parse_next(input)?.is_some() {
        let low = cut_err(scalar).context(StrContext::Label("a number")).parse_next(input)?;
        cut_err(word("AND")).context(StrContext::Label("AND")).parse_next(input)?;
        let high = cut_err(scalar).context(StrContext::Label("a number")).parse_next(input)?;
        Filter::Between(left, low, high)
    } else {
        word("IN").parse_next(input)?;
        needed("(")(input)?;
        let list: Vec<Value> = cut_err(separated(1.., scalar, mark(",")))
            .context(StrContext::Label("a value"))
            .parse_next(input)?;
        needed(")")(input)?;
        Filter::In(left, list)
    };
    Ok(negate(found, negated))
}

fn negate(filter: Filter, negated: bool) -> Filter {
    if negated {
        Filter::Not(Box::new(filter))
    } else {
        filter
    }
}

/// A value that can be compared: sums of products of powers of single ones.
fn scalar(input: &mut Input<'_>) -> Parsed<Value> {
    deeper(|input| {
        let mut left = product(input)?;
        while let Some(op) =
            opt(operator(&[ArithmeticOperator::Add, ArithmeticOperator::Subtract])).parse_next(input)?
        {
            let right = cut_err(product).context(StrContext::Label("a number")).parse_next(input)?;
            left = joined(input, op, left, right)?;
        }
        Ok(left)
    })(input)
}

fn product(input: &mut Input<'_>) -> Parsed<Value> {
    const SIGNS: [ArithmeticOperator; 4] = [
        ArithmeticOperator::Multiply,
        ArithmeticOperator::Divide,
        ArithmeticOperator::Modulo,
        ArithmeticOperator::Div,
    ];
    let mut left = power(input)?;
    while let Some(op) = opt(operator(&SIGNS)).parse_next(input)? {
        let right = cut_err(power).context(StrContext::Label("a number")).parse_next(input)?;
        left = joined(input, op, left, right)?;
    }
    Ok(left)
}

fn power(input: &mut Input<'_>) -> Parsed<Value> {
    let left = single(input)?;
    if opt(operator(&[ArithmeticOperator::Power])).parse_next(input)?.is_none() {
        return Ok(left);
    }
    let right = deeper(|i| cut_err(power).context(StrContext::Label("a number")).parse_next(i))(input)?;
    joined(input, ArithmeticOperator::Power, left, right)
}

/// Chains lean to one side: their depth is the tree's.
fn joined(input: &Input<'_>, op: ArithmeticOperator, left: Value, right: Value) -> Parsed<Value> {
    fn depth(value: &Value) -> usize {
        match value {
            Value::Arithmetic(_, a, b) => 1 + depth(a).max(depth(b)),
            _ => 0,
        }
    }
    if input.state.0 + depth(&left) > MAX_DEPTH {
        let mut e = ContextError::new();
        e.push(StrContext::Label("depth"));
        return Err(ErrMode::Cut(e));
    }
    Ok(Value::Arithmetic(op, Box::new(left), Box::new(right)))
}

fn operator<'a>(
    among: &'static [ArithmeticOperator],
) -> impl FnMut(&mut Input<'a>) -> Parsed<ArithmeticOperator> {
    move |input| {
        for op in among {
            let found = match op {
                ArithmeticOperator::Div => opt(word("DIV")).parse_next(input)?,
                op => opt(mark(op.text())).parse_next(input)?,
            };
            if found.is_some() {
                return Ok(*op);
            }
        }
        Err(ErrMode::Backtrack(ContextError::new()))
    }
}

fn single(input: &mut Input<'_>) -> Parsed<Value> {
    alt((
        instant,
        folded("CASEI", Value::Casei),
        folded("ACCENTI", Value::Accenti),
        text.map(Value::Text),
        number.map(Value::Number),
        truth.map(Value::Bool),
        property,
        delimited(mark("("), scalar, mark(")")),
    ))
    .parse_next(input)
}

fn folded<'a>(
    name: &'static str,
    make: fn(Box<Value>) -> Value,
) -> impl FnMut(&mut Input<'a>) -> Parsed<Value> {
    move |input| {
        (word(name), mark("(")).parse_next(input)?;
        let inner = cut_err(scalar).context(StrContext::Label("text")).parse_next(input)?;
        needed(")")(input)?;
        Ok(make(Box::new(inner)))
    }
}

fn text(input: &mut Input<'_>) -> Parsed<String> {
    (multispace0, '\'').parse_next(input)?;
    let piece = alt(("''".value('\''), "\\'".value('\''), any.verify(|c: &char| *c != '\'')));
    let whole = repeat(0.., piece).fold(String::new, |mut all, c: char| {
        all.push(c);
        all
    });
    terminated(whole, cut_err('\'').context(StrContext::Label("'"))).parse_next(input)
}

fn number(input: &mut Input<'_>) -> Parsed<f64> {
    let digits = |c: char| c.is_ascii_digit();
    let whole = (
        multispace0,
        (
            opt(one_of(['+', '-'])),
            alt((
                (take_while(1.., digits), opt(('.', take_while(0.., digits)))).void(),
                ('.', take_while(1.., digits)).void(),
            )),
            opt((one_of(['e', 'E']), opt(one_of(['+', '-'])), take_while(1.., digits))),
        )
            .take(),
    );
    whole
        .verify_map(|(_, text): (_, &str)| text.parse::<f64>().ok().filter(|n| n.is_finite()))
        .parse_next(input)
}

const RESERVED: [&str; 11] =
    ["AND", "OR", "NOT", "IN", "IS", "LIKE", "BETWEEN", "NULL", "TRUE", "FALSE", "DIV"];

fn property(input: &mut Input<'_>) -> Parsed<Value> {
    let first = |c: char| c.is_alphabetic() || c == '_' || c == ':';
    let rest = |c: char| letter(c) || c == '.' || c == ':';
    let plain = (one_of(first), take_while(0.., rest)).take();
    let plain = plain.verify(|n: &str| !RESERVED.iter().any(|r| r.eq_ignore_ascii_case(n)));
    let quoted = delimited('"', take_while(1.., |c| c != '"'), cut_err('"').context(StrContext::Label("\"")));
    let name = preceded(multispace0, alt((quoted, plain))).parse_next(input)?;
    // A name before a bracket is a function, and none but those of the standard is known.
    if opt(peek(mark("("))).parse_next(input)?.is_some() {
        return Err(ErrMode::Backtrack(ContextError::new()));
    }
    Ok(Value::Property(name.to_owned()))
}

fn instant(input: &mut Input<'_>) -> Parsed<Value> {
    let date = delimited((word("DATE"), mark("(")), text, needed(")")).map(Value::Date);
    let stamp = delimited((word("TIMESTAMP"), mark("(")), text, needed(")")).map(Value::Timestamp);
    alt((date, stamp)).parse_next(input)
}

fn time(input: &mut Input<'_>) -> Parsed<Value> {
    let span = |input: &mut Input<'_>| {
        (word("INTERVAL"), mark("(")).parse_next(input)?;
        let from = end(input)?;
        needed(",")(input)?;
        let to = end(input)?;
        needed(")")(input)?;
        Ok(Value::Interval(from, to))
    };
    alt((span, instant, property)).context(StrContext::Label("a time")).parse_next(input)
}

/// An end of a span.
fn end(input: &mut Input<'_>) -> Parsed<Option<Box<Value>>> {
    let said = |text: String| match text.as_str() {
        ".." | "" => None,
        day if day.len() == 10 => Some(Box::new(Value::Date(text))),
        _ => Some(Box::new(Value::Timestamp(text))),
    };
    let value = alt((instant, property)).map(|v| Some(Box::new(v)));
    cut_err(alt((text.map(said), value)))
        .context(StrContext::Label("an end of the interval"))
        .parse_next(input)
}

fn array_value(input: &mut Input<'_>) -> Parsed<Value> {
    element.context(StrContext::Label("an array")).parse_next(input)
}

/// Brackets that hold all of an element are an array, others are those of a sum.
fn element(input: &mut Input<'_>) -> Parsed<Value> {
    let whole = terminated(array, peek(alt((mark(","), mark(")")))));
    alt((whole, scalar)).parse_next(input)
}

fn array(input: &mut Input<'_>) -> Parsed<Value> {
    let inner = |i: &mut Input<'_>| {
        let list: Vec<Value> =
            delimited(mark("("), separated(0.., element, mark(",")), mark(")")).parse_next(i)?;
        Ok(Value::Array(list))
    };
    deeper(inner)(input)
}

fn place(input: &mut Input<'_>) -> Parsed<Value> {
    let bbox = |input: &mut Input<'_>| {
        (word("BBOX"), mark("(")).parse_next(input)?;
        let numbers: Vec<f64> = separated(4..=6, number, mark(",")).parse_next(input)?;
        needed(")")(input)?;
        if numbers.len() == 5 {
            return Err(ErrMode::Cut(ContextError::new()));
        }
        Ok(Value::Bbox(numbers))
    };
    alt((bbox, geometry.map(Value::Geometry), property))
        .context(StrContext::Label("a geometry"))
        .parse_next(input)
}

fn coord(input: &mut Input<'_>) -> Parsed<Coord<f64>> {
    let (x, y, _) = (number, number, opt(number)).parse_next(input)?;
    Ok(Coord { x, y })
}

fn coords(input: &mut Input<'_>) -> Parsed<Vec<Coord<f64>>> {
    listed(coord)(input)
}

fn listed<'a, T>(item: fn(&mut Input<'a>) -> Parsed<T>) -> impl FnMut(&mut Input<'a>) -> Parsed<Vec<T>> {
    move |input| delimited(mark("("), separated(1.., item, mark(",")), needed(")")).parse_next(input)
}

/// Of no use although it can be read: a ring that is open.
fn sound<T>(checked: Result<T, FilterError>) -> Parsed<T> {
    checked.map_err(|_| {
        let mut e = ContextError::new();
        e.push(StrContext::Label("a sound line or ring (closed, four points or more)"));
        ErrMode::Cut(e)
    })
}

fn a_line(input: &mut Input<'_>) -> Parsed<LineString<f64>> {
    let points = coords(input)?;
    sound(line(points))
}

fn a_ring(input: &mut Input<'_>) -> Parsed<LineString<f64>> {
    let points = coords(input)?;
    sound(ring(points))
}

fn a_polygon(input: &mut Input<'_>) -> Parsed<Polygon<f64>> {
    let rings = listed(a_ring)(input)?;
    sound(polygon(rings))
}

fn a_point(input: &mut Input<'_>) -> Parsed<Point<f64>> {
    // Both forms are in use: with brackets round each point and without.
    alt((delimited(mark("("), coord, mark(")")), coord)).map(Point).parse_next(input)
}

fn geometry(input: &mut Input<'_>) -> Parsed<Geometry<f64>> {
    fn of<'a, T>(
        name: &'static str,
        mut inner: impl FnMut(&mut Input<'a>) -> Parsed<T>,
    ) -> impl FnMut(&mut Input<'a>) -> Parsed<T> {
        move |input| {
            (word(name), opt(word("Z")), peek(mark("("))).void().parse_next(input)?;
            cut_err(&mut inner).context(StrContext::Label("the coordinates")).parse_next(input)
        }
    }
    alt((
        of("POINT", |i| delimited(mark("("), coord, mark(")")).parse_next(i)).map(|c| Point(c).into()),
        of("LINESTRING", a_line).map(Geometry::from),
        of("POLYGON", a_polygon).map(Geometry::from),
        of("MULTIPOINT", listed(a_point)).map(|p| MultiPoint(p).into()),
        of("MULTILINESTRING", listed(a_line)).map(|l| MultiLineString(l).into()),
        of("MULTIPOLYGON", listed(a_polygon)).map(|p| MultiPolygon(p).into()),
        of("GEOMETRYCOLLECTION", |i| deeper(listed(geometry))(i))
            .map(|g| Geometry::GeometryCollection(GeometryCollection(g))),
    ))
    .parse_next(input)
}
