//! Spatial relations between geometries.

use crate::front::ogc::cql2::geometry::envelope;
use crate::front::ogc::cql2::SpatialRelation;
use geo::{Geometry, Intersects, MultiPolygon, Polygon, Rect, Relate};

/// Returns whether a spatial relation holds between two geometries. Their bounding boxes are
/// compared first, which is cheaper than comparing the geometries.
pub(super) fn relates(relation: SpatialRelation, a: &Geometry<f64>, b: &Geometry<f64>) -> bool {
    let (Some(envelope_a), Some(envelope_b)) = (envelope(a), envelope(b)) else {
        return relation == SpatialRelation::Disjoint;
    };
    if !envelope_a.intersects(&envelope_b) {
        return relation == SpatialRelation::Disjoint;
    }
    match relation {
        SpatialRelation::Intersects => a.intersects(b),
        SpatialRelation::Disjoint => !a.intersects(b),
        SpatialRelation::Equals => a.relate(b).is_equal_topo(),
        SpatialRelation::Touches => a.relate(b).is_touches(),
        SpatialRelation::Within => a.relate(b).is_within(),
        SpatialRelation::Overlaps => a.relate(b).is_overlaps(),
        SpatialRelation::Crosses => a.relate(b).is_crosses(),
        SpatialRelation::Contains => a.relate(b).is_contains(),
    }
}

/// Returns the area of a box of four numbers, or of six with heights: one polygon, or two if the
/// box spans the antimeridian.
pub(super) fn bbox_geometry(bbox: &[f64]) -> Geometry<f64> {
    let (west, south, east, north) = match *bbox {
        [west, south, _, east, north, _] => (west, south, east, north),
        _ => (bbox[0], bbox[1], bbox[2], bbox[3]),
    };
    let polygon = |west: f64, east: f64| -> Polygon<f64> {
        Rect::new((west, south), (east, north)).to_polygon()
    };
    if west <= east {
        polygon(west, east).into()
    } else {
        MultiPolygon(vec![polygon(west, 180.0), polygon(-180.0, east)]).into()
    }
}
