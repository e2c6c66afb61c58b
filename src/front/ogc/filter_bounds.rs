//! The check that the geometries of a filter have valid longitudes and latitudes.

use super::cql2::{Filter, Value};
use geo::CoordsIter;

/// Returns whether all points of the filter's geometries and boxes are valid longitudes and
/// latitudes.
pub(super) fn is_on_globe(filter: &Filter) -> bool {
    let mut is_on_globe = true;
    filter.for_each_value(&mut |value| match value {
        Value::Geometry(geometry) => {
            is_on_globe &= geometry.coords_iter().all(|c| is_position(c.x, c.y))
        }
        Value::Bbox(bbox) => is_on_globe &= is_box(bbox),
        _ => {}
    });
    is_on_globe
}

/// Returns whether the corners of a box of four numbers, or of six with heights, are valid
/// positions and its south is not greater than its north. Its west may be greater than its east,
/// since the box then spans the antimeridian.
fn is_box(bbox: &[f64]) -> bool {
    match *bbox {
        [west, south, east, north] | [west, south, _, east, north, _] => {
            is_position(west, south) && is_position(east, north) && south <= north
        }
        _ => false,
    }
}

/// Returns whether a longitude and latitude in degrees are in range.
fn is_position(longitude: f64, latitude: f64) -> bool {
    (-180.0..=180.0).contains(&longitude) && (-90.0..=90.0).contains(&latitude)
}
