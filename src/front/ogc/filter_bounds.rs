//! The check that the geometries of a filter are on the globe.

use super::cql2::{Filter, Value};
use geo::CoordsIter;

/// Returns whether all points of the filter's geometries and boxes are valid longitudes and
/// latitudes.
pub(super) fn is_on_globe(filter: &Filter) -> bool {
    let mut on_globe = true;
    filter.for_each_value(&mut |value| match value {
        Value::Geometry(geometry) => {
            on_globe &= geometry.coords_iter().all(|c| is_position(c.x, c.y))
        }
        Value::Bbox(bbox) => on_globe &= is_box(bbox),
        _ => {}
    });
    on_globe
}

/// Returns whether a box of four numbers, or of six with heights, is on the globe. The western
/// longitude may be greater than the eastern one: the box then spans the antimeridian.
fn is_box(bbox: &[f64]) -> bool {
    match *bbox {
        [west, south, east, north] | [west, south, _, east, north, _] => {
            is_position(west, south) && is_position(east, north) && south <= north
        }
        _ => false,
    }
}

fn is_position(longitude: f64, latitude: f64) -> bool {
    (-180.0..=180.0).contains(&longitude) && (-90.0..=90.0).contains(&latitude)
}
