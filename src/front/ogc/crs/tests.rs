//! Tests of coordinate reference systems.

use super::{Crs, Transform};
use geo::Coord;
use serde_json::json;

#[test]
fn each_system_is_parsed_from_its_identifier() {
    let all: Vec<Crs> = Crs::all().collect();
    assert_eq!(all.len(), 123);
    assert!(all
        .iter()
        .all(|c| Crs::parse(&c.uri()) == Some(*c) && Transform::for_crs(*c).is_some()));
    assert_eq!(
        Crs::parse("http://www.opengis.net/def/crs/EPSG/9.9.1/4326"),
        Some(Crs::Wgs84)
    );
    assert_eq!(
        Crs::parse("[EPSG:32633]"),
        Some(Crs::Utm {
            zone: 33,
            north: true
        })
    );
    for text in [
        "",
        "EPSG:",
        "EPSG:4258",
        "http://www.opengis.net/def/crs/EPSG/0/32661",
        "CRS84",
    ] {
        assert_eq!(Crs::parse(text), None, "{text}");
    }
}

/// Returns the coordinates of a longitude and latitude in a system.
fn projected(crs: Crs, longitude: f64, latitude: f64) -> Coord<f64> {
    Transform::for_crs(crs)
        .expect("the definition is valid")
        .from_crs84(Coord {
            x: longitude,
            y: latitude,
        })
        .expect("the system is defined there")
}

#[track_caller]
fn assert_near(actual: Coord<f64>, expected: Coord<f64>, tolerance: f64) {
    assert!(
        (actual.x - expected.x).abs() < tolerance && (actual.y - expected.y).abs() < tolerance,
        "{actual:?} is not near {expected:?}"
    );
}

#[test]
fn transformed_coordinates_have_the_axis_order_and_values_of_the_system() {
    let north = Crs::Utm {
        zone: 33,
        north: true,
    };
    let south = Crs::Utm {
        zone: 33,
        north: false,
    };
    let swapped = Coord { x: 38.0, y: -120.0 };
    assert_eq!(projected(Crs::Wgs84, -120.0, 38.0), swapped);
    // The expected values follow from the definitions: in Web Mercator half of the equator, in UTM
    // the false easting of the central meridian and, for the south, the false northing.
    let tolerance = 0.01;
    assert_near(
        projected(Crs::Mercator, 180.0, 0.0),
        Coord {
            x: 20_037_508.342_789,
            y: 0.0,
        },
        tolerance,
    );
    assert_near(
        projected(north, 15.0, 0.0),
        Coord {
            x: 500_000.0,
            y: 0.0,
        },
        tolerance,
    );
    assert_near(
        projected(south, 15.0, 0.0),
        Coord {
            x: 500_000.0,
            y: 10_000_000.0,
        },
        tolerance,
    );
}

#[test]
fn coordinates_are_unchanged_by_a_round_trip() {
    let utm = Crs::Utm {
        zone: 10,
        north: true,
    };
    for crs in [Crs::Mercator, utm, Crs::Wgs84, Crs::Crs84] {
        let position = projected(crs, -121.5, 38.25);
        let transform = Transform::for_crs(crs).expect("the definition is valid");
        let position = transform
            .to_crs84(position)
            .expect("the system is defined there");
        assert_near(
            position,
            Coord {
                x: -121.5,
                y: 38.25,
            },
            1e-8,
        );
    }
}

#[test]
fn the_pole_has_no_coordinates_in_web_mercator() {
    let transform = Transform::for_crs(Crs::Mercator).expect("the definition is valid");
    assert_eq!(transform.from_crs84(Coord { x: 0.0, y: 90.0 }), None);
}

#[test]
fn a_transformed_box_contains_the_points_of_the_original_one() {
    let transform = Transform::for_crs(Crs::Utm {
        zone: 10,
        north: true,
    })
    .expect("the definition is valid");
    let [west, south, east, north] = transform
        .bbox_2d_to_crs84([500_000.0, 4_200_000.0, 600_000.0, 4_300_000.0])
        .expect("the system is defined there");
    for (x, y) in [
        (500_000.0, 4_200_000.0),
        (550_000.0, 4_300_000.0),
        (600_000.0, 4_250_000.0),
    ] {
        let Coord { x, y } = transform
            .to_crs84(Coord { x, y })
            .expect("the system is defined there");
        assert!(west <= x + 1e-9 && x <= east + 1e-9 && south <= y + 1e-9 && y <= north + 1e-9);
    }
    let wgs84 = Transform::for_crs(Crs::Wgs84).expect("the definition is valid");
    assert_eq!(
        wgs84.bbox_2d_to_crs84([38.0, -120.0, 39.0, -119.0]),
        Some([-120.0, 38.0, -119.0, 39.0])
    );
    let mut geometry = json!({"type": "GeometryCollection", "geometries": [
        {"type": "Point", "coordinates": [1, 2]},
        {"type": "LineString", "coordinates": [[1, 2, 9], [3, 4]]},
    ]});
    assert!(wgs84.geojson_from_crs84(&mut geometry));
    assert_eq!(
        geometry["geometries"][1]["coordinates"],
        json!([[2.0, 1.0, 9], [4.0, 3.0]])
    );
}

/// Guards against a box that selects almost the whole globe: the least and greatest longitude of
/// points on both sides of the antimeridian are far apart. A box across it has a west that is greater
/// than its east (OGC API - Features, Part 1, 7.15.3).
#[test]
fn a_transformed_box_across_the_antimeridian_is_not_wider_than_the_original_one() {
    for (zone, north) in [(60, true), (60, false), (1, true), (1, false)] {
        let crs = Crs::Utm { zone, north };
        let latitude = if north { 10.0 } else { -10.0 };
        let corners = [179.5, -179.5].map(|longitude| projected(crs, longitude, latitude));
        let [min_x, max_x] = corners.map(|corner| corner.x);
        let y = corners[0].y;
        let transform = Transform::for_crs(crs).expect("the definition is valid");
        let [west, south, east, north] = transform
            .bbox_2d_to_crs84([min_x, y, max_x, y + 1_000.0])
            .expect("the system is defined there");
        assert!((179.4..179.6).contains(&west), "{zone}: {west}");
        assert!((-179.6..-179.4).contains(&east), "{zone}: {east}");
        assert!(
            south < north && (north - south) < 0.1,
            "{zone}: {south} {north}"
        );
    }
    let transform = Transform::for_crs(Crs::Mercator).expect("the definition is valid");
    let half_width = projected(Crs::Mercator, 180.0, 0.0).x;
    let [west, _, east, _] = transform
        .bbox_2d_to_crs84([-half_width, 0.0, half_width, 1_000.0])
        .expect("the system is defined there");
    assert!(
        (west + 180.0).abs() < 1e-6 && (east - 180.0).abs() < 1e-6,
        "{west} {east}"
    );
}
