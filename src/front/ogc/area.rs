//! What of a filter lies on the globe.

use super::cql2::{Filter, Value};
use geo::CoordsIter;

/// All points of its geometries and boxes lie within longitude and latitude.
pub fn on_the_globe(filter: &Filter) -> bool {
    let within = |x: f64, y: f64| (-180.0..=180.0).contains(&x) && (-90.0..=90.0).contains(&y);
    let mut all = true;
    filter.each_value(&mut |value| match value {
        Value::Geometry(g) => all &= g.coords_iter().all(|c| within(c.x, c.y)),
        Value::Bbox(b) => {
            all &= match b[..] {
                [w, s, e, n] | [w, s, _, e, n, _] => within(w, s) && within(e, n) && s <= n,
                _ => false,
            }
        }
        _ => {}
    });
    all
}
