//! Geometries: their construction, GeoJSON, well-known text (WKT), number of points and bounding
//! box.

use super::{filter_error, FilterError};
use geo::{
    BoundingRect, Coord, CoordsIter, Geometry, GeometryCollection, LineString, MultiLineString,
    MultiPoint, MultiPolygon, Point, Polygon, Rect,
};
use serde_json::{json, Value as Json};
use std::fmt::Write as _;

/// Maximum depth of nested geometry collections.
const MAX_COLLECTION_DEPTH: usize = 4;

/// Returns the number of points of a geometry.
pub fn point_count(geometry: &Geometry<f64>) -> usize {
    geometry.coords_count()
}

/// Returns the bounding box of a geometry, or `None` if it has no point.
#[must_use]
pub fn envelope(geometry: &Geometry<f64>) -> Option<Rect<f64>> {
    geometry.bounding_rect()
}

/// Builds a ring of a polygon.
///
/// # Errors
///
/// Fails if there are fewer than four points, or the last one is not equal to the first.
pub fn build_ring(points: Vec<Coord<f64>>) -> Result<LineString<f64>, FilterError> {
    if points.len() < 4 || points.first() != points.last() {
        return filter_error("a ring needs four points or more and must end where it began");
    }
    Ok(LineString(points))
}

/// Builds a polygon from its outer ring, which is first in the list, and its holes.
///
/// # Errors
///
/// Fails if the list is empty.
pub fn build_polygon(rings: Vec<LineString<f64>>) -> Result<Polygon<f64>, FilterError> {
    let mut rings = rings.into_iter();
    let Some(outer) = rings.next() else {
        return filter_error("a polygon needs a ring");
    };
    Ok(Polygon::new(outer, rings.collect()))
}

/// Builds a line.
///
/// # Errors
///
/// Fails if there are fewer than two points.
pub fn build_line(points: Vec<Coord<f64>>) -> Result<LineString<f64>, FilterError> {
    if points.len() < 2 {
        return filter_error("a line needs two points or more");
    }
    Ok(LineString(points))
}

/// Parses a position of two coordinates, or of three with the height, which is discarded.
fn parse_position(json: &Json) -> Result<Coord<f64>, FilterError> {
    let numbers: Option<Vec<f64>> = json
        .as_array()
        .and_then(|a| a.iter().map(Json::as_f64).collect());
    match numbers.as_deref() {
        // No spatial relation considers heights.
        Some([x, y] | [x, y, _]) => Ok(Coord { x: *x, y: *y }),
        _ => filter_error("a position needs two or three numbers"),
    }
}

/// Parses each item of a JSON array with `parse_item`.
fn parse_list<T>(
    json: &Json,
    parse_item: impl Fn(&Json) -> Result<T, FilterError>,
) -> Result<Vec<T>, FilterError> {
    match json.as_array() {
        Some(items) => items.iter().map(parse_item).collect(),
        None => filter_error("coordinates must be an array"),
    }
}

/// Parses a polygon from the array of its rings.
fn parse_polygon(json: &Json) -> Result<Polygon<f64>, FilterError> {
    build_polygon(parse_list(json, |ring| {
        build_ring(parse_list(ring, parse_position)?)
    })?)
}

/// Parses a GeoJSON geometry (RFC 7946).
///
/// # Errors
///
/// Fails if the JSON is not a geometry, or geometry collections are nested too deep.
pub fn parse_geojson(json: &Json) -> Result<Geometry<f64>, FilterError> {
    parse_geometry(json, 0)
}

/// Parses a geometry that is nested within `depth` geometry collections.
fn parse_geometry(json: &Json, depth: usize) -> Result<Geometry<f64>, FilterError> {
    if depth > MAX_COLLECTION_DEPTH {
        return filter_error("geometry collections are nested too deep");
    }
    let coordinates = &json["coordinates"];
    Ok(match json["type"].as_str() {
        Some("Point") => Point(parse_position(coordinates)?).into(),
        Some("MultiPoint") => MultiPoint(
            parse_list(coordinates, parse_position)?
                .into_iter()
                .map(Point)
                .collect(),
        )
        .into(),
        Some("LineString") => build_line(parse_list(coordinates, parse_position)?)?.into(),
        Some("MultiLineString") => MultiLineString(parse_list(coordinates, |line| {
            build_line(parse_list(line, parse_position)?)
        })?)
        .into(),
        Some("Polygon") => parse_polygon(coordinates)?.into(),
        Some("MultiPolygon") => MultiPolygon(parse_list(coordinates, parse_polygon)?).into(),
        Some("GeometryCollection") => {
            let members = parse_list(&json["geometries"], |member| {
                parse_geometry(member, depth + 1)
            })?;
            Geometry::GeometryCollection(GeometryCollection(members))
        }
        _ => return filter_error("a geometry's type is none that is known"),
    })
}

/// Writes a geometry as GeoJSON.
pub fn to_geojson(geometry: &Geometry<f64>) -> Json {
    let position = |c: &Coord<f64>| json!([c.x, c.y]);
    let line = |l: &LineString<f64>| Json::Array(l.0.iter().map(position).collect());
    let rings = |p: &Polygon<f64>| {
        Json::Array(
            std::iter::once(p.exterior())
                .chain(p.interiors())
                .map(line)
                .collect(),
        )
    };
    let geojson = |name: &str, coordinates: Json| json!({"type": name, "coordinates": coordinates});
    match geometry {
        Geometry::Point(p) => geojson("Point", position(&p.0)),
        Geometry::MultiPoint(m) => {
            geojson("MultiPoint", m.0.iter().map(|p| position(&p.0)).collect())
        }
        Geometry::LineString(l) => geojson("LineString", line(l)),
        Geometry::MultiLineString(m) => geojson("MultiLineString", m.0.iter().map(line).collect()),
        Geometry::Polygon(p) => geojson("Polygon", rings(p)),
        Geometry::MultiPolygon(m) => geojson("MultiPolygon", m.0.iter().map(rings).collect()),
        Geometry::GeometryCollection(c) => {
            let members: Vec<Json> = c.0.iter().map(to_geojson).collect();
            json!({"type": "GeometryCollection", "geometries": members})
        }
        // The parsers create no geometries of these types.
        Geometry::Line(l) => geojson("LineString", json!([position(&l.start), position(&l.end)])),
        Geometry::Rect(r) => geojson("Polygon", rings(&r.to_polygon())),
        Geometry::Triangle(t) => geojson("Polygon", rings(&t.to_polygon())),
    }
}

/// Writes a geometry as well-known text.
pub fn to_wkt(geometry: &Geometry<f64>) -> String {
    let position = |c: &Coord<f64>| format!("{} {}", c.x, c.y);
    let line = |l: &LineString<f64>| {
        format!(
            "({})",
            l.0.iter().map(position).collect::<Vec<_>>().join(",")
        )
    };
    let rings = |p: &Polygon<f64>| {
        let rings: Vec<_> = std::iter::once(p.exterior())
            .chain(p.interiors())
            .map(line)
            .collect();
        format!("({})", rings.join(","))
    };
    let list = |items: Vec<String>| format!("({})", items.join(","));
    let mut text = String::new();
    let (name, coordinates) = match geometry {
        Geometry::Point(p) => ("POINT", format!("({})", position(&p.0))),
        Geometry::MultiPoint(m) => (
            "MULTIPOINT",
            list(
                m.0.iter()
                    .map(|p| format!("({})", position(&p.0)))
                    .collect(),
            ),
        ),
        Geometry::LineString(l) => ("LINESTRING", line(l)),
        Geometry::MultiLineString(m) => ("MULTILINESTRING", list(m.0.iter().map(line).collect())),
        Geometry::Polygon(p) => ("POLYGON", rings(p)),
        Geometry::MultiPolygon(m) => ("MULTIPOLYGON", list(m.0.iter().map(rings).collect())),
        Geometry::GeometryCollection(c) => {
            ("GEOMETRYCOLLECTION", list(c.0.iter().map(to_wkt).collect()))
        }
        Geometry::Line(l) => (
            "LINESTRING",
            format!("({},{})", position(&l.start), position(&l.end)),
        ),
        Geometry::Rect(r) => ("POLYGON", rings(&r.to_polygon())),
        Geometry::Triangle(t) => ("POLYGON", rings(&t.to_polygon())),
    };
    let _ = write!(text, "{name}{coordinates}");
    text
}
