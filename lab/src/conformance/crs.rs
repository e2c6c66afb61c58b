//! Part 2: coordinate reference systems by reference; Part 5: schemas; orders and selections.

use super::core::{ids, middle, parameter, point};
use super::{hold, id, Check, Stop, Suite};
use serde_json::Value as Json;

const CRS84: &str = "http://www.opengis.net/def/crs/OGC/1.3/CRS84";
const WGS84: &str = "http://www.opengis.net/def/crs/EPSG/0/4326";
const MERCATOR: &str = "http://www.opengis.net/def/crs/EPSG/0/3857";
const CLASS: &str = "ogcapi-features-2/1.0/conf/crs";

/// The checks: identifier, the class that must be claimed, and the check.
pub const CHECKS: &[(&str, &str, Check)] = &[
    ("/conf/crs/crs-uri", CLASS, |s| {
        let list = listed(s)?;
        hold(list.iter().all(|c| c.starts_with("http://www.opengis.net/def/crs/")), || {
            "a system is no URI".to_owned()
        })
    }),
    ("/conf/crs/fc-md-crs-list", CLASS, |s| {
        let list = listed(s)?;
        hold(list.iter().any(|c| c == CRS84), || "CRS84 is not listed".to_owned())
    }),
    ("/conf/crs/fc-md-storageCrs", CLASS, |s| {
        let json = s.json(&format!("/collections/{}", s.collection))?;
        hold(json["storageCrs"].is_string(), || "no storageCrs".to_owned())
    }),
    ("/conf/crs/fc-md-storageCrs-valid-value", CLASS, |s| {
        let json = s.json(&format!("/collections/{}", s.collection))?;
        let list = listed(s)?;
        hold(list.iter().any(|c| json["storageCrs"] == c.as_str()), || {
            "storageCrs is not among the systems".to_owned()
        })
    }),
    ("/conf/crs/fc-crs-definition", CLASS, |s| parameter(s, "crs").map(drop)),
    ("/conf/crs/fc-bbox-crs-definition", CLASS, |s| parameter(s, "bbox-crs").map(drop)),
    ("/conf/crs/fc-crs-valid-value", CLASS, |s| {
        let answer = s.get(&format!("{}?crs=http://www.opengis.net/def/crs/EPSG/0/1", s.items()))?;
        hold(answer.status == 400, || format!("status {} for a system that is none", answer.status))
    }),
    ("/conf/crs/fc-bbox-crs-valid-value", CLASS, |s| {
        let answer =
            s.get(&format!("{}?bbox=1,1,2,2&bbox-crs=http://www.opengis.net/def/crs/EPSG/0/1", s.items()))?;
        hold(answer.status == 400, || format!("status {} for a system that is none", answer.status))
    }),
    ("/conf/crs/fc-crs-default-value", CLASS, |s| {
        let plain = s.json(&format!("{}?limit=5", s.items()))?;
        let named = s.json(&format!("{}?limit=5&crs={CRS84}", s.items()))?;
        hold(plain["features"] == named["features"], || "what comes without crs is not in CRS84".to_owned())
    }),
    ("/conf/crs/fc-crs-action", CLASS, |s| {
        each(s, WGS84, |x, y| (y, x))?;
        if listed(s)?.iter().any(|c| c == MERCATOR) {
            each(s, MERCATOR, mercator)?;
        }
        Ok(())
    }),
    ("/conf/crs/fc-crs-utm", CLASS, |s| {
        let points: Vec<_> = s.features.iter().filter_map(point).collect();
        let Some((x, y)) = points.first().copied() else {
            return Err(Stop::None("no point is there".to_owned()));
        };
        let zone = ((x + 180.0) / 6.0).floor() as u32 + 1;
        let uri = format!(
            "http://www.opengis.net/def/crs/EPSG/0/{}",
            if y >= 0.0 { 32_600 } else { 32_700 } + zone
        );
        if !listed(s)?.contains(&uri) {
            return Err(Stop::None("UTM is not listed".to_owned()));
        }
        // Of a grid in metres a shift of a ten-thousandth of a degree of latitude is 11.1 m, within a thousandth or two.
        let turned = s.all(&format!("{}?limit=50&crs={uri}&sortby=id", s.items()));
        let turned = turned.or_else(|_| s.all(&format!("{}?limit=500&crs={uri}", s.items())))?;
        let plain = s.features.clone();
        let plain = move |wanted: &str| plain.iter().find(|f| id(f) == wanted).and_then(point);
        turned.iter().take(50).try_for_each(|f| {
            let (Some((east, north)), Some((x, y))) = (point(f), plain(&id(f))) else {
                return Err(Stop::Failed(format!("feature {} is not found again", id(f))));
            };
            let meridian = f64::from(zone) * 6.0 - 183.0;
            let (near_east, near_north) =
                (500_000.0 + (x - meridian) * 111_320.0 * y.to_radians().cos() * 0.9996, y * 110_574.0);
            hold((east - near_east).abs() < 3_000.0 && (north - near_north).abs() < 30_000.0, || {
                format!("feature {} lies at {east} {north}, not near {near_east} {near_north}", id(f))
            })
        })
    }),
    ("/conf/crs/bbox-crs-action", CLASS, |s| {
        let (w, south, e, n) = middle(s)?;
        let found = ids(s, &format!("bbox={south},{w},{n},{e}&bbox-crs={WGS84}"))?;
        let expected =
            s.expected(|f| point(f).is_some_and(|(x, y)| w <= x && x <= e && south <= y && y <= n));
        super::same("bbox-crs", &found, &expected)
    }),
    ("/conf/crs/ogc-crs-header", CLASS, |s| {
        let answer = s.get(&format!("{}?limit=1", s.items()))?;
        hold(!answer.header("content-crs").is_empty(), || "no Content-Crs".to_owned())
    }),
    ("/conf/crs/ogc-crs-header-value", CLASS, |s| {
        for (query, uri) in [(format!("crs={WGS84}"), WGS84), ("limit=1".to_owned(), CRS84)] {
            let answer = s.get(&format!("{}?{query}", s.items()))?;
            hold(answer.header("content-crs") == format!("<{uri}>"), || {
                format!("Content-Crs is {:?}, not <{uri}>", answer.header("content-crs"))
            })?;
        }
        Ok(())
    }),
    ("/conf/crs/geojson", CLASS, |s| {
        let Some(wanted) = s.features.first().cloned() else {
            return Err(Stop::None("no feature is there".to_owned()));
        };
        let one = s.json(&format!("{}/{}?crs={WGS84}", s.items(), id(&wanted)))?;
        let (Some((a, b)), Some((x, y))) = (point(&one), point(&wanted)) else {
            return Err(Stop::None("it is no point".to_owned()));
        };
        hold(near(a, y) && near(b, x), || format!("{a} {b} in place of {y} {x}"))
    }),
    ("/conf/schemas/schema", "ogcapi-features-5/1.0/conf/schemas", |s| {
        let path = format!("/collections/{}/schema", s.collection);
        let answer = s.get(&path)?;
        hold(answer.header("content-type").starts_with("application/schema+json"), || {
            format!("Content-Type is {:?}", answer.header("content-type"))
        })?;
        let json = s.json(&path)?;
        hold(
            json["$schema"].is_string() && json["type"] == "object" && json["properties"].is_object(),
            || "it is no schema".to_owned(),
        )
    }),
    ("/conf/schemas/properties", "ogcapi-features-5/1.0/conf/schemas", |s| {
        let json = s.json(&format!("/collections/{}/schema", s.collection))?;
        let names: Vec<String> = s
            .features
            .iter()
            .filter_map(|f| f["properties"].as_object())
            .flat_map(|p| p.keys().cloned())
            .collect();
        let missing = names.iter().find(|n| json["properties"].get(n.as_str()).is_none());
        hold(missing.is_none() || json["additionalProperties"] == true, || {
            format!("{missing:?} is not in the schema")
        })
    }),
    ("/conf/sortables/sortables", "ogcapi-features-5/1.0/conf/sortables", |s| {
        let json = s.json(&format!("/collections/{}/sortables", s.collection))?;
        hold(json["properties"].is_object(), || "no properties".to_owned())
    }),
    ("/conf/sorting/sortby", "ogcapi-features-8/1.0/conf/sorting", |s| {
        let name = s.queryable("number", "")?;
        for (key, down) in [(name.clone(), false), (format!("-{name}"), true)] {
            let sorted = s.all(&format!("{}?limit=300&sortby={key}", s.items()))?;
            hold(sorted.len() == s.features.len(), || {
                format!("{} features for {}", sorted.len(), s.features.len())
            })?;
            let values: Vec<f64> = sorted.iter().filter_map(|f| f["properties"][&name].as_f64()).collect();
            let fits = |w: &[f64]| if down { w[0] >= w[1] } else { w[0] <= w[1] };
            hold(values.windows(2).all(fits), || format!("sortby={key}: not in order"))?;
        }
        Ok(())
    }),
    ("/conf/sorting/sortby-ties", "ogcapi-features-8/1.0/conf/sorting", |s| {
        let name = s.queryable("boolean", "")?;
        let sorted: Vec<String> =
            s.all(&format!("{}?limit=61&sortby={name}", s.items()))?.iter().map(id).collect();
        let mut once = sorted.clone();
        once.sort();
        once.dedup();
        hold(once.len() == sorted.len() && once.len() == s.features.len(), || {
            "features that stand alike are lost or doubled over pages".to_owned()
        })
    }),
    ("/conf/sorting/sortby-unknown", "ogcapi-features-8/1.0/conf/sorting", |s| {
        if s.queryables.is_empty() {
            return Err(Stop::None("no sortables are told".to_owned()));
        }
        let answer = s.get(&format!("{}?sortby=no-such-property", s.items()))?;
        hold(answer.status == 400, || format!("status {}", answer.status))
    }),
    ("/conf/property-selection/properties", "", |s| {
        let name = s.queryable("number", "")?;
        let json = s.json(&format!("{}?limit=5&properties={name}", s.items()))?;
        let sound = |f: &Json| {
            f["properties"].as_object().is_some_and(|p| p.len() == 1 && p.contains_key(&name))
                && f["id"].is_string()
        };
        hold(json["features"].as_array().is_some_and(|l| l.iter().all(sound)), || {
            "other properties came too".to_owned()
        })
    }),
];

fn listed(s: &mut Suite) -> Result<Vec<String>, Stop> {
    let json = s.json(&format!("/collections/{}", s.collection))?;
    let list = json["crs"].as_array().ok_or("crs is no list")?;
    Ok(list.iter().filter_map(|c| c.as_str().map(str::to_owned)).collect())
}

fn near(a: f64, b: f64) -> bool {
    (a - b).abs() <= 1e-6 * a.abs().max(b.abs()).max(1.0)
}

/// Spherical Mercator on the radius that EPSG gives it.
fn mercator(x: f64, y: f64) -> (f64, f64) {
    let radius = 6_378_137.0;
    (x.to_radians() * radius, (std::f64::consts::FRAC_PI_4 + y.to_radians() / 2.0).tan().ln() * radius)
}

/// Every feature of the first ones lies where the system has it.
fn each(s: &mut Suite, uri: &str, turn: fn(f64, f64) -> (f64, f64)) -> Result<(), Stop> {
    let json = s.json(&format!("{}?limit=50&crs={uri}", s.items()))?;
    let plain = s.json(&format!("{}?limit=50", s.items()))?;
    let all = |json: &Json| json["features"].as_array().cloned().unwrap_or_default();
    let (turned, plain) = (all(&json), all(&plain));
    hold(!turned.is_empty(), || "no features".to_owned())?;
    turned.iter().try_for_each(|f| {
        let same = plain.iter().find(|p| id(p) == id(f));
        let (Some((a, b)), Some((x, y))) = (point(f), same.and_then(point)) else { return Ok(()) };
        let (first, second) = turn(x, y);
        hold(near(a, first) && near(b, second), || format!("{uri}: {a} {b} in place of {first} {second}"))
    })
}
