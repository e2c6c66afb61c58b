//! Tests of coordinate reference systems.

use super::{Crs, Transform};
use serde_json::json;

#[test]
fn each_system_is_parsed_from_its_identifier() {
    let all: Vec<Crs> = Crs::all().collect();
    assert_eq!(all.len(), 123);
    assert!(all
        .iter()
        .all(|c| Crs::parse(&c.uri()) == Some(*c) && Transform::of(*c).is_some()));
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

#[test]
fn coordinates_have_the_systems_own_axes_and_values() {
    let at = |crs: Crs, x: f64, y: f64| {
        Transform::of(crs)
            .expect("a system")
            .from_crs84(x, y)
            .expect("defined")
    };
    assert_eq!(at(Crs::Wgs84, -120.0, 38.0), (38.0, -120.0));
    let near = |a: (f64, f64), b: (f64, f64)| {
        assert!(
            (a.0 - b.0).abs() < 0.01 && (a.1 - b.1).abs() < 0.01,
            "{a:?}"
        )
    };
    // Expected by definition: a degree of longitude on the equator, a zone's central meridian.
    near(at(Crs::Mercator, 180.0, 0.0), (20_037_508.342_789, 0.0));
    near(
        at(
            Crs::Utm {
                zone: 33,
                north: true,
            },
            15.0,
            0.0,
        ),
        (500_000.0, 0.0),
    );
    near(
        at(
            Crs::Utm {
                zone: 33,
                north: false,
            },
            15.0,
            0.0,
        ),
        (500_000.0, 10_000_000.0),
    );
    for crs in [
        Crs::Mercator,
        Crs::Utm {
            zone: 10,
            north: true,
        },
        Crs::Wgs84,
        Crs::Crs84,
    ] {
        let transform = Transform::of(crs).expect("a system");
        let (a, b) = transform.from_crs84(-121.5, 38.25).expect("defined");
        let (x, y) = transform.to_crs84(a, b).expect("defined");
        assert!(
            (x + 121.5).abs() < 1e-8 && (y - 38.25).abs() < 1e-8,
            "{crs}: {x} {y}"
        );
    }
    assert_eq!(
        Transform::of(Crs::Mercator).and_then(|t| t.from_crs84(0.0, 90.0)),
        None
    );
}

#[test]
fn a_transformed_box_contains_the_original_one() {
    let transform = Transform::of(Crs::Utm {
        zone: 10,
        north: true,
    })
    .expect("a system");
    let [west, south, east, north] = transform
        .box_to_crs84([500_000.0, 4_200_000.0, 600_000.0, 4_300_000.0])
        .expect("a box");
    for (x, y) in [
        (500_000.0, 4_200_000.0),
        (550_000.0, 4_300_000.0),
        (600_000.0, 4_250_000.0),
    ] {
        let (x, y) = transform.to_crs84(x, y).expect("defined");
        assert!(west <= x + 1e-9 && x <= east + 1e-9 && south <= y + 1e-9 && y <= north + 1e-9);
    }
    let wgs = Transform::of(Crs::Wgs84).expect("a system");
    assert_eq!(
        wgs.box_to_crs84([38.0, -120.0, 39.0, -119.0]),
        Some([-120.0, 38.0, -119.0, 39.0])
    );
    let mut geometry = json!({"type": "GeometryCollection", "geometries": [
        {"type": "Point", "coordinates": [1, 2]}, {"type": "LineString", "coordinates": [[1, 2, 9], [3, 4]]}]});
    assert!(wgs.geojson_from_crs84(&mut geometry));
    assert_eq!(
        geometry["geometries"][1]["coordinates"],
        json!([[2.0, 1.0, 9], [4.0, 3.0]])
    );
}
