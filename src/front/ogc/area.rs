//! The check that the geometries of a filter lie on the globe.

use super::cql2::{Filter, Value};
use geo::CoordsIter;

/// Whether all points of a filter's geometries and boxes lie within longitude and latitude.
#[must_use]
pub fn on_the_globe(filter: &Filter) -> bool {
    let within = |x: f64, y: f64| (-180.0..=180.0).contains(&x) && (-90.0..=90.0).contains(&y);
    let mut all_within = true;
    filter.each_value(&mut |value| match value {
        Value::Geometry(geometry) => {
            all_within &= geometry.coords_iter().all(|position| within(position.x, position.y));
        }
        Value::Bbox(bbox) => {
            all_within &= match bbox[..] {
                [west, south, east, north] | [west, south, _, east, north, _] => {
                    within(west, south) && within(east, north) && south <= north
                }
                _ => false,
            }
        }
        _ => {}
    });
    all_within
}
