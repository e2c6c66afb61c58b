//! Parsers of geometries in well-known text (WKT), and of bounding boxes.

use super::super::geometry::{build_line, build_polygon, build_ring};
use super::super::{FilterError, Value};
use super::lexer::{
    fatal, keyword, nested, number, property, required_symbol, symbol, Input, Parsed,
};
use geo::{
    Coord, Geometry, GeometryCollection, LineString, MultiLineString, MultiPoint, MultiPolygon,
    Point, Polygon,
};
use winnow::combinator::{alt, cut_err, delimited, opt, peek, separated};
use winnow::error::{ContextError, ErrMode, StrContext};
use winnow::prelude::*;

/// Parses a box, a geometry or a property.
pub(super) fn spatial_operand(input: &mut Input<'_>) -> Parsed<Value> {
    alt((bbox, geometry.map(Value::Geometry), property))
        .context(StrContext::Label("a geometry"))
        .parse_next(input)
}

/// Parses `BBOX(...)` with four numbers, or with six of which two are heights.
fn bbox(input: &mut Input<'_>) -> Parsed<Value> {
    (keyword("BBOX"), symbol("(")).parse_next(input)?;
    let numbers: Vec<f64> = separated(4..=6, number, symbol(",")).parse_next(input)?;
    required_symbol(")")(input)?;
    if numbers.len() == 5 {
        return Err(ErrMode::Cut(ContextError::new()));
    }
    Ok(Value::Bbox(numbers))
}

/// Parses a geometry of any type.
fn geometry(input: &mut Input<'_>) -> Parsed<Geometry<f64>> {
    let point =
        |input: &mut Input<'_>| delimited(symbol("("), position, symbol(")")).parse_next(input);
    alt((
        tagged("POINT", point).map(|position| Point(position).into()),
        tagged("LINESTRING", line_string).map(Geometry::from),
        tagged("POLYGON", polygon_rings).map(Geometry::from),
        tagged("MULTIPOINT", list(multipoint_position)).map(|points| MultiPoint(points).into()),
        tagged("MULTILINESTRING", list(line_string)).map(|lines| MultiLineString(lines).into()),
        tagged("MULTIPOLYGON", list(polygon_rings)).map(|polygons| MultiPolygon(polygons).into()),
        tagged("GEOMETRYCOLLECTION", |input| nested(list(geometry))(input))
            .map(|geometries| Geometry::GeometryCollection(GeometryCollection(geometries))),
    ))
    .parse_next(input)
}

/// Returns a parser of a geometry's keyword, an optional `Z` for heights, and its coordinates.
fn tagged<'a, T>(
    name: &'static str,
    mut coordinates: impl FnMut(&mut Input<'a>) -> Parsed<T>,
) -> impl FnMut(&mut Input<'a>) -> Parsed<T> {
    move |input| {
        (keyword(name), opt(keyword("Z")), peek(symbol("(")))
            .void()
            .parse_next(input)?;
        cut_err(&mut coordinates)
            .context(StrContext::Label("the coordinates"))
            .parse_next(input)
    }
}

/// Parses a position. A height is discarded, since no spatial relation considers it.
fn position(input: &mut Input<'_>) -> Parsed<Coord<f64>> {
    (number, number, opt(number))
        .map(|(x, y, _)| Coord { x, y })
        .parse_next(input)
}

/// Returns a parser of items in parentheses, with commas between them.
fn list<'a, T>(
    item: fn(&mut Input<'a>) -> Parsed<T>,
) -> impl FnMut(&mut Input<'a>) -> Parsed<Vec<T>> {
    move |input| {
        delimited(
            symbol("("),
            separated(1.., item, symbol(",")),
            required_symbol(")"),
        )
        .parse_next(input)
    }
}

/// Converts a failed check of a parsed geometry to an error that ends parsing.
fn checked<T>(result: Result<T, FilterError>) -> Parsed<T> {
    result.map_err(|_| fatal("a sound line or ring (closed, four points or more)"))
}

/// Parses the positions of a line.
fn line_string(input: &mut Input<'_>) -> Parsed<LineString<f64>> {
    let positions = list(position)(input)?;
    checked(build_line(positions))
}

/// Parses the positions of a ring of a polygon.
fn linear_ring(input: &mut Input<'_>) -> Parsed<LineString<f64>> {
    let positions = list(position)(input)?;
    checked(build_ring(positions))
}

/// Parses the rings of a polygon.
fn polygon_rings(input: &mut Input<'_>) -> Parsed<Polygon<f64>> {
    let rings = list(linear_ring)(input)?;
    checked(build_polygon(rings))
}

/// Parses a position of a multipoint, with or without parentheses, since both forms are in use.
fn multipoint_position(input: &mut Input<'_>) -> Parsed<Point<f64>> {
    alt((delimited(symbol("("), position, symbol(")")), position))
        .map(Point)
        .parse_next(input)
}
