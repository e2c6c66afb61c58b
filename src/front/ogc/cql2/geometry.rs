//! Geometries: their construction, GeoJSON and well-known text, and their measures.

use super::{fault, FilterError};
use geo::{
    BoundingRect, Coord, CoordsIter, Geometry, GeometryCollection, LineString, MultiLineString,
    MultiPoint, MultiPolygon, Point, Polygon, Rect,
};
use serde_json::{json, Value as Json};
use std::fmt::Write as _;

/// Deepest nesting of collections.
const MAX_COLLECTION_DEPTH: usize = 4;

/// Returns the number of points of a geometry.
pub fn points(geometry: &Geometry<f64>) -> usize {
    geometry.coords_count()
}

/// Returns the bounding box of a geometry, or `None` if it has no point.
#[must_use]
pub fn envelope(geometry: &Geometry<f64>) -> Option<Rect<f64>> {
    geometry.bounding_rect()
}

/// Creates a ring of a polygon.
///
/// # Errors
///
/// Fails if there are fewer than four points or the last one is not the first.
pub fn ring(points: Vec<Coord<f64>>) -> Result<LineString<f64>, FilterError> {
    if points.len() < 4 || points.first() != points.last() {
        return fault("a ring needs four points or more and must end where it began");
    }
    Ok(LineString(points))
}

/// Creates a polygon of its outer ring and its holes.
///
/// # Errors
///
/// Fails without a ring.
pub fn polygon(rings: Vec<LineString<f64>>) -> Result<Polygon<f64>, FilterError> {
    let mut rings = rings.into_iter();
    let Some(outer) = rings.next() else {
        return fault("a polygon needs a ring");
    };
    Ok(Polygon::new(outer, rings.collect()))
}

/// Creates a line.
///
/// # Errors
///
/// Fails if there are fewer than two points.
pub fn line(points: Vec<Coord<f64>>) -> Result<LineString<f64>, FilterError> {
    if points.len() < 2 {
        return fault("a line needs two points or more");
    }
    Ok(LineString(points))
}

/// Parses a position; its height, if any, is discarded.
fn position(json: &Json) -> Result<Coord<f64>, FilterError> {
    let numbers: Option<Vec<f64>> = json
        .as_array()
        .and_then(|a| a.iter().map(Json::as_f64).collect());
    match numbers.as_deref() {
        // No relation here considers heights.
        Some([x, y] | [x, y, _]) => Ok(Coord { x: *x, y: *y }),
        _ => fault("a position needs two or three numbers"),
    }
}

/// Parses the items of a JSON array by `read`.
fn list<T>(
    json: &Json,
    read: impl Fn(&Json) -> Result<T, FilterError>,
) -> Result<Vec<T>, FilterError> {
    match json.as_array() {
        Some(items) => items.iter().map(read).collect(),
        None => fault("coordinates must be an array"),
    }
}

/// Parses a polygon from the array of its rings.
fn rings(json: &Json) -> Result<Polygon<f64>, FilterError> {
    polygon(list(json, |r| ring(list(r, position)?))?)
}

/// Parses a GeoJSON geometry (RFC 7946).
///
/// # Errors
///
/// Fails if the JSON is not a geometry, or collections are nested too deep.
pub fn parse_geojson(json: &Json) -> Result<Geometry<f64>, FilterError> {
    nested(json, 0)
}

/// Parses a geometry at a depth of nested collections, counted from 0.
fn nested(json: &Json, depth: usize) -> Result<Geometry<f64>, FilterError> {
    if depth > MAX_COLLECTION_DEPTH {
        return fault("geometry collections are nested too deep");
    }
    let at = &json["coordinates"];
    Ok(match json["type"].as_str() {
        Some("Point") => Point(position(at)?).into(),
        Some("MultiPoint") => {
            MultiPoint(list(at, position)?.into_iter().map(Point).collect()).into()
        }
        Some("LineString") => line(list(at, position)?)?.into(),
        Some("MultiLineString") => MultiLineString(list(at, |l| line(list(l, position)?))?).into(),
        Some("Polygon") => rings(at)?.into(),
        Some("MultiPolygon") => MultiPolygon(list(at, rings)?).into(),
        Some("GeometryCollection") => {
            let parts = list(&json["geometries"], |g| nested(g, depth + 1))?;
            Geometry::GeometryCollection(GeometryCollection(parts))
        }
        _ => return fault("a geometry's type is none that is known"),
    })
}

/// Writes a geometry as GeoJSON.
pub fn to_geojson(geometry: &Geometry<f64>) -> Json {
    let at = |c: &Coord<f64>| json!([c.x, c.y]);
    let line = |l: &LineString<f64>| Json::Array(l.0.iter().map(at).collect());
    let rings = |p: &Polygon<f64>| {
        Json::Array(
            std::iter::once(p.exterior())
                .chain(p.interiors())
                .map(line)
                .collect(),
        )
    };
    let of = |kind: &str, coordinates: Json| json!({"type": kind, "coordinates": coordinates});
    match geometry {
        Geometry::Point(p) => of("Point", at(&p.0)),
        Geometry::MultiPoint(m) => of("MultiPoint", m.0.iter().map(|p| at(&p.0)).collect()),
        Geometry::LineString(l) => of("LineString", line(l)),
        Geometry::MultiLineString(m) => of("MultiLineString", m.0.iter().map(line).collect()),
        Geometry::Polygon(p) => of("Polygon", rings(p)),
        Geometry::MultiPolygon(m) => of("MultiPolygon", m.0.iter().map(rings).collect()),
        Geometry::GeometryCollection(c) => {
            let parts: Vec<Json> = c.0.iter().map(to_geojson).collect();
            json!({"type": "GeometryCollection", "geometries": parts})
        }
        // The parsers make none of these.
        Geometry::Line(l) => of("LineString", json!([at(&l.start), at(&l.end)])),
        Geometry::Rect(r) => of("Polygon", rings(&r.to_polygon())),
        Geometry::Triangle(t) => of("Polygon", rings(&t.to_polygon())),
    }
}

/// Writes a geometry as well-known text.
pub fn to_wkt(geometry: &Geometry<f64>) -> String {
    let at = |c: &Coord<f64>| format!("{} {}", c.x, c.y);
    let line =
        |l: &LineString<f64>| format!("({})", l.0.iter().map(at).collect::<Vec<_>>().join(","));
    let rings = |p: &Polygon<f64>| {
        let all: Vec<_> = std::iter::once(p.exterior())
            .chain(p.interiors())
            .map(line)
            .collect();
        format!("({})", all.join(","))
    };
    let many = |parts: Vec<String>| format!("({})", parts.join(","));
    let mut text = String::new();
    let (kind, inner) = match geometry {
        Geometry::Point(p) => ("POINT", format!("({})", at(&p.0))),
        Geometry::MultiPoint(m) => (
            "MULTIPOINT",
            many(m.0.iter().map(|p| format!("({})", at(&p.0))).collect()),
        ),
        Geometry::LineString(l) => ("LINESTRING", line(l)),
        Geometry::MultiLineString(m) => ("MULTILINESTRING", many(m.0.iter().map(line).collect())),
        Geometry::Polygon(p) => ("POLYGON", rings(p)),
        Geometry::MultiPolygon(m) => ("MULTIPOLYGON", many(m.0.iter().map(rings).collect())),
        Geometry::GeometryCollection(c) => {
            ("GEOMETRYCOLLECTION", many(c.0.iter().map(to_wkt).collect()))
        }
        Geometry::Line(l) => ("LINESTRING", format!("({},{})", at(&l.start), at(&l.end))),
        Geometry::Rect(r) => ("POLYGON", rings(&r.to_polygon())),
        Geometry::Triangle(t) => ("POLYGON", rings(&t.to_polygon())),
    };
    let _ = write!(text, "{kind}{inner}");
    text
}
