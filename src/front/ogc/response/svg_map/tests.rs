//! Tests of the maps of features.

use super::*;
use serde_json::json;

#[test]
fn every_type_of_geometry_is_drawn_within_the_map() {
    let geometries = [
        json!({"type": "Polygon", "coordinates": [
            [[0, 0], [9, 0], [9, 9], [0, 0]],
            [[1, 1], [2, 1], [2, 2], [1, 1]],
        ]}),
        json!({"type": "MultiPolygon", "coordinates": [[[[0, 0], [1, 0], [1, 1], [0, 0]]]]}),
        json!({"type": "LineString", "coordinates": [[0, 0], [-3, 4]]}),
        json!({"type": "MultiLineString", "coordinates": [[[0, 0], [1, 1]], [[2, 2], [3, 3]]]}),
        json!({"type": "MultiPoint", "coordinates": [[0, 0], [1, 1]]}),
        json!({"type": "GeometryCollection", "geometries": [
            {"type": "Point", "coordinates": [5, 5]},
        ]}),
        json!(null),
        json!({"type": "Point", "coordinates": []}),
    ];
    let features: Vec<Json> = geometries.iter().map(|g| json!({"geometry": g})).collect();
    let text = svg_map(&features);
    assert_eq!(
        (
            text.matches("<path").count(),
            text.matches("<circle").count()
        ),
        (5, 3)
    );
    let numbers = text
        .split(['M', 'L', ' ', '"', 'Z'])
        .filter_map(|n| n.parse::<f64>().ok());
    assert!(
        numbers.into_iter().all(|n| (0.0..=800.0).contains(&n)),
        "{text}"
    );
    assert_eq!(svg_map(&[json!({"geometry": null})]), "");
}
