//! Part 2: coordinate reference systems by reference.

use super::check::{features_of, require, require_same_ids, Check, EarlyExit, Verdict};
use super::documents::get_parameter;
use super::samples::{point_of, BoundingBox, Point};
use super::Suite;
use crate::client::feature_id;
use serde_json::Value as Json;
use std::f64::consts::FRAC_PI_4;

const CRS: &str = "ogcapi-features-2/1.0/conf/crs";
const CRS84: &str = "http://www.opengis.net/def/crs/OGC/1.3/CRS84";
/// Coordinate reference system with latitude before longitude.
const WGS84: &str = "http://www.opengis.net/def/crs/EPSG/0/4326";
const WEB_MERCATOR: &str = "http://www.opengis.net/def/crs/EPSG/0/3857";
const EPSG_PREFIX: &str = "http://www.opengis.net/def/crs/EPSG/0/";
const UNKNOWN_CRS: &str = "http://www.opengis.net/def/crs/EPSG/0/1";

/// Maximum number of features whose coordinates are checked.
const CHECKED_FEATURES: usize = 50;
/// Tolerance of coordinates, relative to their magnitude.
const RELATIVE_TOLERANCE: f64 = 1e-6;

/// Radius of the sphere of Web Mercator, in metres (EPSG 7030, semi-major axis).
const EARTH_RADIUS_METRES: f64 = 6_378_137.0;
/// EPSG code of a northern UTM zone minus the number of the zone.
const UTM_NORTH_CODE: u32 = 32_600;
/// EPSG code of a southern UTM zone minus the number of the zone.
const UTM_SOUTH_CODE: u32 = 32_700;
/// Width of a UTM zone, in degrees of longitude.
const UTM_ZONE_DEGREES: f64 = 6.0;
const UTM_FALSE_EASTING_METRES: f64 = 500_000.0;
/// Scale factor of UTM on the central meridian.
const UTM_SCALE: f64 = 0.9996;
/// Length of a degree of longitude at the equator, in metres.
const METRES_PER_DEGREE_LONGITUDE: f64 = 111_320.0;
/// Length of a degree of latitude at the equator, in metres.
const METRES_PER_DEGREE_LATITUDE: f64 = 110_574.0;
/// Tolerance of the estimated UTM easting.
const UTM_EASTING_TOLERANCE_METRES: f64 = 3_000.0;
/// Tolerance of the estimated UTM northing.
const UTM_NORTHING_TOLERANCE_METRES: f64 = 30_000.0;

/// Checks of this module, in the order in which they run.
pub(super) const CHECKS: &[Check] = &[
    Check::new("/conf/crs/crs-uri", CRS, |suite| {
        let crs_uris = get_listed_crs(suite)?;
        require(
            crs_uris
                .iter()
                .all(|uri| uri.starts_with("http://www.opengis.net/def/crs/")),
            || "the identifier of a reference system is not a URI".to_owned(),
        )
    }),
    Check::new("/conf/crs/fc-md-crs-list", CRS, |suite| {
        let crs_uris = get_listed_crs(suite)?;
        require(crs_uris.iter().any(|uri| uri == CRS84), || {
            "CRS84 is not listed".to_owned()
        })
    }),
    Check::new("/conf/crs/fc-md-storageCrs", CRS, |suite| {
        let collection = suite.get_collection()?;
        require(collection["storageCrs"].is_string(), || {
            "no storageCrs".to_owned()
        })
    }),
    Check::new("/conf/crs/fc-md-storageCrs-valid-value", CRS, |suite| {
        let collection = suite.get_collection()?;
        let crs_uris = get_listed_crs(suite)?;
        require(
            crs_uris
                .iter()
                .any(|uri| collection["storageCrs"] == uri.as_str()),
            || "storageCrs is not among the systems".to_owned(),
        )
    }),
    Check::new("/conf/crs/fc-crs-definition", CRS, |suite| {
        get_parameter(suite, "crs").map(drop)
    }),
    Check::new("/conf/crs/fc-bbox-crs-definition", CRS, |suite| {
        get_parameter(suite, "bbox-crs").map(drop)
    }),
    Check::new("/conf/crs/fc-crs-valid-value", CRS, |suite| {
        require_unknown_crs_rejected(suite, &format!("crs={UNKNOWN_CRS}"))
    }),
    Check::new("/conf/crs/fc-bbox-crs-valid-value", CRS, |suite| {
        require_unknown_crs_rejected(suite, &format!("bbox=1,1,2,2&bbox-crs={UNKNOWN_CRS}"))
    }),
    Check::new("/conf/crs/fc-crs-default-value", CRS, |suite| {
        let default = suite.get_items("limit=5")?;
        let named = suite.get_items(&format!("limit=5&crs={CRS84}"))?;
        require(default["features"] == named["features"], || {
            "the default reference system is not CRS84".to_owned()
        })
    }),
    Check::new("/conf/crs/fc-crs-action", CRS, |suite| {
        require_projection(suite, WGS84, |Point { x, y }| Point { x: y, y: x })?;
        if get_listed_crs(suite)?.iter().any(|uri| uri == WEB_MERCATOR) {
            require_projection(suite, WEB_MERCATOR, web_mercator)?;
        }
        Ok(())
    }),
    Check::new("/conf/crs/fc-crs-utm", CRS, check_utm_coordinates),
    Check::new("/conf/crs/bbox-crs-action", CRS, |suite| {
        let bbox = suite.middle_box()?;
        let BoundingBox {
            west,
            south,
            east,
            north,
        } = bbox;
        let found = suite.get_ids(&format!(
            "bbox={south},{west},{north},{east}&bbox-crs={WGS84}"
        ))?;
        require_same_ids(
            "bbox-crs",
            &found,
            &suite.expected_ids(|feature| bbox.contains(feature)),
        )
    }),
    Check::new("/conf/crs/ogc-crs-header", CRS, |suite| {
        let response = suite.get(&format!("{}?limit=1", suite.items_path()))?;
        require(!response.header("content-crs").is_empty(), || {
            "no Content-Crs".to_owned()
        })
    }),
    Check::new("/conf/crs/ogc-crs-header-value", CRS, |suite| {
        require_crs_header(suite, &format!("crs={WGS84}"), WGS84)?;
        require_crs_header(suite, "limit=1", CRS84)
    }),
    Check::new("/conf/crs/geojson", CRS, |suite| {
        let first = suite.first_feature()?;
        let id = feature_id(first);
        let original = point_of(first);
        let feature = suite.get_json(&format!("{}/{id}?crs={WGS84}", suite.items_path()))?;
        let (Some(found), Some(Point { x, y })) = (point_of(&feature), original) else {
            return Err(EarlyExit::not_applicable(
                "the first feature is not a point",
            ));
        };
        require(is_near(found, Point { x: y, y: x }), || {
            format!("{} {} in place of {y} {x}", found.x, found.y)
        })
    }),
];

/// Requests the collection and returns the URIs of the reference systems that it lists.
fn get_listed_crs(suite: &mut Suite) -> Result<Vec<String>, EarlyExit> {
    let collection = suite.get_collection()?;
    let crs_uris = collection["crs"].as_array().ok_or("crs is no list")?;
    Ok(crs_uris
        .iter()
        .filter_map(|uri| uri.as_str().map(str::to_owned))
        .collect())
}

/// Requires status 400 for a query with an unknown reference system.
fn require_unknown_crs_rejected(suite: &mut Suite, query: &str) -> Verdict {
    let response = suite.get(&format!("{}?{query}", suite.items_path()))?;
    require(response.status == 400, || {
        format!("status {} for an unknown reference system", response.status)
    })
}

/// Requires the response to a query to name this reference system in `Content-Crs`.
fn require_crs_header(suite: &mut Suite, query: &str, uri: &str) -> Verdict {
    let response = suite.get(&format!("{}?{query}", suite.items_path()))?;
    require(response.header("content-crs") == format!("<{uri}>"), || {
        format!(
            "Content-Crs is {:?}, not <{uri}>",
            response.header("content-crs")
        )
    })
}

fn is_near(found: Point, expected: Point) -> bool {
    let near = |left: f64, right: f64| {
        (left - right).abs() <= RELATIVE_TOLERANCE * left.abs().max(right.abs()).max(1.0)
    };
    near(found.x, expected.x) && near(found.y, expected.y)
}

/// Projects a point by the spherical Mercator projection of EPSG 3857.
fn web_mercator(Point { x, y }: Point) -> Point {
    Point {
        x: x.to_radians() * EARTH_RADIUS_METRES,
        y: (FRAC_PI_4 + y.to_radians() / 2.0).tan().ln() * EARTH_RADIUS_METRES,
    }
}

/// Requires the coordinates of the first features in a reference system to agree with this
/// projection of their longitude and latitude.
fn require_projection(suite: &mut Suite, uri: &str, project: fn(Point) -> Point) -> Verdict {
    let projected = features_of(&suite.get_items(&format!("limit={CHECKED_FEATURES}&crs={uri}"))?);
    let originals = features_of(&suite.get_items(&format!("limit={CHECKED_FEATURES}"))?);
    require(!projected.is_empty(), || "no features".to_owned())?;
    projected.iter().try_for_each(|feature| {
        let original = find_point(&originals, &feature_id(feature));
        let Some(found) = point_of(feature) else {
            return Ok(());
        };
        let Some(original) = original else {
            return Ok(());
        };
        let expected = project(original);
        require(is_near(found, expected), || {
            format!(
                "{uri}: {} {} in place of {} {}",
                found.x, found.y, expected.x, expected.y
            )
        })
    })
}

/// Returns the location of the feature with this id.
fn find_point(features: &[Json], id: &str) -> Option<Point> {
    point_of(features.iter().find(|feature| feature_id(feature) == id)?)
}

/// Zone of the Universal Transverse Mercator grid.
struct UtmZone {
    number: u32,
    uri: String,
}

impl UtmZone {
    /// Returns the zone that contains a point.
    fn containing(Point { x, y }: Point) -> UtmZone {
        let number = ((x + 180.0) / UTM_ZONE_DEGREES).floor() as u32 + 1;
        let code = if y >= 0.0 {
            UTM_NORTH_CODE
        } else {
            UTM_SOUTH_CODE
        } + number;
        UtmZone {
            number,
            uri: format!("{EPSG_PREFIX}{code}"),
        }
    }

    /// Estimates the easting and northing of a point, in metres.
    fn estimate(&self, Point { x, y }: Point) -> Point {
        let central_meridian = f64::from(self.number) * UTM_ZONE_DEGREES - 183.0;
        let east =
            (x - central_meridian) * METRES_PER_DEGREE_LONGITUDE * y.to_radians().cos() * UTM_SCALE;
        Point {
            x: UTM_FALSE_EASTING_METRES + east,
            y: y * METRES_PER_DEGREE_LATITUDE,
        }
    }
}

/// Compares the coordinates in the UTM zone of the first point with an estimate.
fn check_utm_coordinates(suite: &mut Suite) -> Verdict {
    let first = suite
        .first_point()
        .ok_or_else(|| EarlyExit::not_applicable("no feature is a point"))?;
    let zone = UtmZone::containing(first);
    if !get_listed_crs(suite)?.contains(&zone.uri) {
        return Err(EarlyExit::not_applicable("UTM is not listed"));
    }
    let projected = get_projected_features(suite, &zone)?;
    let mut checked = projected.iter().take(CHECKED_FEATURES);
    checked.try_for_each(|feature| require_near_estimate(suite, &zone, feature))
}

/// Requests features in the reference system of a zone, sorted by id if the service can sort.
fn get_projected_features(suite: &mut Suite, zone: &UtmZone) -> Result<Vec<Json>, EarlyExit> {
    let items = suite.items_path();
    let uri = &zone.uri;
    suite
        .get_all(&format!(
            "{items}?limit={CHECKED_FEATURES}&crs={uri}&sortby=id"
        ))
        .or_else(|_| suite.get_all(&format!("{items}?limit=500&crs={uri}")))
}

/// Requires a projected feature to lie near the estimate from its longitude and latitude.
fn require_near_estimate(suite: &Suite, zone: &UtmZone, feature: &Json) -> Verdict {
    let id = feature_id(feature);
    let original = find_point(&suite.features, &id);
    let (Some(found), Some(original)) = (point_of(feature), original) else {
        return Err(EarlyExit::Failed(format!(
            "feature {id} is not found again"
        )));
    };
    let estimate = zone.estimate(original);
    let is_close = (found.x - estimate.x).abs() < UTM_EASTING_TOLERANCE_METRES
        && (found.y - estimate.y).abs() < UTM_NORTHING_TOLERANCE_METRES;
    require(is_close, || {
        let Point { x, y } = estimate;
        format!(
            "feature {id} lies at {} {}, not near {x} {y}",
            found.x, found.y
        )
    })
}
