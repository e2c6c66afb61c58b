//! A map of features as SVG. The first axis of the coordinates points to the right, the second one
//! upward.

use serde_json::Value as Json;
use std::fmt::Write as _;

/// Maximum number of points that are drawn for one line or ring; the rest is omitted.
const MAX_POINTS: usize = 2_000;
/// Width of the map, in pixels.
const WIDTH: f64 = 800.0;
/// Height of the map, in pixels.
const HEIGHT: f64 = 500.0;
/// Sum of the margins on two opposite sides of the features, in pixels.
const TOTAL_MARGIN: f64 = 40.0;
/// Minimum scale, which applies to a map of a single point.
const MIN_UNITS_PER_PIXEL: f64 = 1e-9;

/// Returns a map of the features, or an empty text if no feature has a position.
pub(super) fn svg_map(features: &[Json]) -> String {
    let mut positions = Vec::new();
    features
        .iter()
        .for_each(|feature| collect_positions(&feature["geometry"], &mut positions));
    let Some(view) = View::around(&positions) else {
        return String::new();
    };
    let mut text = format!(
        "<svg role=\"img\" width=\"{WIDTH}\" height=\"{HEIGHT}\" \
            viewBox=\"0 0 {WIDTH} {HEIGHT}\"><title>Map of {} features</title>",
        features.len()
    );
    features
        .iter()
        .for_each(|feature| view.draw(&feature["geometry"], &mut text));
    text + "</svg>"
}

/// A position, either in the units of the features' coordinate reference system or in pixels.
#[derive(Debug, Clone, Copy)]
struct Position {
    x: f64,
    y: f64,
}

/// Appends all positions in a geometry, or in the coordinates of one, to `positions`.
fn collect_positions(json: &Json, positions: &mut Vec<Position>) {
    match json {
        Json::Array(list) => {
            match (
                list.first().and_then(Json::as_f64),
                list.get(1).and_then(Json::as_f64),
            ) {
                (Some(x), Some(y)) => positions.push(Position { x, y }),
                _ => list
                    .iter()
                    .for_each(|inner| collect_positions(inner, positions)),
            }
        }
        Json::Object(members) => {
            members
                .get("coordinates")
                .into_iter()
                .for_each(|c| collect_positions(c, positions));
            members
                .get("geometries")
                .into_iter()
                .for_each(|g| collect_positions(g, positions));
        }
        _ => {}
    }
}

/// Returns the elements of a JSON array, or no elements if the value is not an array.
fn elements(json: &Json) -> &[Json] {
    json.as_array().map_or(&[], Vec::as_slice)
}

/// The area that the map shows.
struct View {
    west: f64,
    south: f64,
    east: f64,
    north: f64,
    units_per_pixel: f64,
}

impl View {
    /// Returns the smallest view that contains all positions, or `None` if there are none.
    fn around(positions: &[Position]) -> Option<Self> {
        let first = positions.first()?;
        let mut west = first.x;
        let mut south = first.y;
        let mut east = first.x;
        let mut north = first.y;
        for position in positions {
            west = west.min(position.x);
            south = south.min(position.y);
            east = east.max(position.x);
            north = north.max(position.y);
        }
        let horizontal = (east - west) / (WIDTH - TOTAL_MARGIN);
        let vertical = (north - south) / (HEIGHT - TOTAL_MARGIN);
        let units_per_pixel = horizontal.max(vertical).max(MIN_UNITS_PER_PIXEL);
        Some(View {
            west,
            south,
            east,
            north,
            units_per_pixel,
        })
    }

    /// Returns the position on the map, in pixels, of a position of the features.
    fn project(&self, position: Position) -> Position {
        Position {
            x: WIDTH / 2.0 + (position.x - (self.west + self.east) / 2.0) / self.units_per_pixel,
            y: HEIGHT / 2.0 - (position.y - (self.south + self.north) / 2.0) / self.units_per_pixel,
        }
    }

    /// Draws a GeoJSON geometry.
    fn draw(&self, geometry: &Json, text: &mut String) {
        let coordinates = &geometry["coordinates"];
        match geometry["type"].as_str() {
            Some("Polygon") => self.draw_polygon(coordinates, text),
            Some("MultiPolygon") => elements(coordinates)
                .iter()
                .for_each(|p| self.draw_polygon(p, text)),
            Some("LineString") => self.draw_line(coordinates, text),
            Some("MultiLineString") => elements(coordinates)
                .iter()
                .for_each(|l| self.draw_line(l, text)),
            Some("Point" | "MultiPoint") => self.draw_points(coordinates, text),
            Some("GeometryCollection") => {
                elements(&geometry["geometries"])
                    .iter()
                    .for_each(|g| self.draw(g, text));
            }
            _ => {}
        }
    }

    fn draw_polygon(&self, rings: &Json, text: &mut String) {
        let path: String = elements(rings)
            .iter()
            .map(|ring| self.path(ring) + "Z")
            .collect();
        let _ = write!(
            text,
            "<path d=\"{path}\" fill=\"#27a\" fill-opacity=\".3\" fill-rule=\"evenodd\" \
                stroke=\"#27a\"/>"
        );
    }

    fn draw_line(&self, line: &Json, text: &mut String) {
        let _ = write!(
            text,
            "<path d=\"{}\" fill=\"none\" stroke=\"#27a\"/>",
            self.path(line)
        );
    }

    fn draw_points(&self, coordinates: &Json, text: &mut String) {
        let mut positions = Vec::new();
        collect_positions(coordinates, &mut positions);
        for position in positions {
            let Position { x, y } = self.project(position);
            let _ = write!(
                text,
                "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"3\" fill=\"#c33\"/>"
            );
        }
    }

    /// Returns the path data of a line or ring (SVG 1.1, 8.3).
    fn path(&self, line: &Json) -> String {
        let mut positions = Vec::new();
        collect_positions(line, &mut positions);
        positions.truncate(MAX_POINTS);
        let mut path = String::new();
        for (index, position) in positions.into_iter().enumerate() {
            let Position { x, y } = self.project(position);
            let _ = write!(path, "{}{x:.1} {y:.1}", if index == 0 { "M" } else { "L" });
        }
        path
    }
}

#[cfg(test)]
mod tests;
