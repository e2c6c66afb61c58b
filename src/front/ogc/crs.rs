//! Coordinate reference systems by reference (OGC API - Features, Part 2).
//!
//! Servers are asked, and answer, in CRS84: longitude, latitude. What a client asks in another system is turned into that,
//! and answers are turned out of it. The order of axes is the system's own: EPSG:4326 has latitude first.

use super::cql2::{Filter, Value};
use geo::{Coord, Geometry, MapCoords};
use proj4rs::Proj;
use serde_json::{json, Value as Json};
use std::fmt;

/// The default system's identifier.
pub const CRS84: &str = "http://www.opengis.net/def/crs/OGC/1.3/CRS84";
/// The same with heights.
const CRS84H: &str = "http://www.opengis.net/def/crs/OGC/0/CRS84h";
/// What the identifiers of EPSG's systems begin with; a version is between this and the code.
const EPSG: &str = "http://www.opengis.net/def/crs/EPSG/";
/// Points along each edge of a box, so that its image in another system has no bulge outside.
const EDGE_POINTS: usize = 16;

/// A system that is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Crs {
    /// Longitude and latitude.
    Crs84,
    /// Latitude and longitude, EPSG:4326.
    Wgs84,
    /// Web Mercator, EPSG:3857.
    Mercator,
    /// A zone of the universal transverse Mercator grid on WGS 84: 1 to 60, north or south.
    Utm(u8, bool),
}

impl Crs {
    /// By its identifier, in the form of a URI, a safe CURIE or a URN.
    pub fn parse(text: &str) -> Option<Self> {
        let text = text.trim_start_matches('[').trim_end_matches(']');
        if matches!(text, CRS84 | CRS84H | "OGC:CRS84" | "OGC:CRS84h" | "urn:ogc:def:crs:OGC:1.3:CRS84") {
            return Some(Crs::Crs84);
        }
        let code = match text.strip_prefix(EPSG) {
            Some(rest) => rest.split_once('/')?.1,
            None => text.strip_prefix("EPSG:").or_else(|| text.strip_prefix("urn:ogc:def:crs:EPSG::"))?,
        };
        match code.parse::<u32>().ok()? {
            4326 => Some(Crs::Wgs84),
            3857 => Some(Crs::Mercator),
            code @ 32_601..=32_660 => Some(Crs::Utm((code - 32_600) as u8, true)),
            code @ 32_701..=32_760 => Some(Crs::Utm((code - 32_700) as u8, false)),
            _ => None,
        }
    }

    /// Its identifier.
    pub fn uri(self) -> String {
        match self {
            Crs::Crs84 => CRS84.to_owned(),
            Crs::Wgs84 => format!("{EPSG}0/4326"),
            Crs::Mercator => format!("{EPSG}0/3857"),
            Crs::Utm(zone, north) => {
                format!("{EPSG}0/{}", if north { 32_600 } else { 32_700 } + u32::from(zone))
            }
        }
    }

    /// The name of the system in the text that cursors are bound to; see `Params::cursor_binding`.
    pub(super) fn binding_name(self) -> String {
        match self {
            Crs::Crs84 => "Crs84".to_owned(),
            Crs::Wgs84 => "Wgs84".to_owned(),
            Crs::Mercator => "Mercator".to_owned(),
            Crs::Utm(zone, north) => format!("Utm({zone}, {north})"),
        }
    }

    /// All that are served, CRS84 first.
    pub fn all() -> impl Iterator<Item = Crs> {
        let zones = |north| (1..=60).map(move |zone| Crs::Utm(zone, north));
        [Crs::Crs84, Crs::Wgs84, Crs::Mercator].into_iter().chain(zones(true)).chain(zones(false))
    }

    fn proj(self) -> Option<Proj> {
        let text = match self {
            Crs::Crs84 | Crs::Wgs84 => return None,
            Crs::Mercator => {
                "+proj=merc +a=6378137 +b=6378137 +lat_ts=0 +lon_0=0 +x_0=0 +y_0=0 +k=1 +units=m +no_defs"
                    .to_owned()
            }
            Crs::Utm(zone, north) => {
                let south = if north { "" } else { " +south" };
                format!("+proj=utm +zone={zone}{south} +datum=WGS84 +units=m +no_defs")
            }
        };
        Proj::from_proj_string(&text).ok()
    }
}

impl fmt::Display for Crs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.uri())
    }
}

/// From CRS84 to a system, or back.
pub struct Transform {
    crs: Crs,
    systems: Option<(Proj, Proj)>,
}

impl Transform {
    /// Between CRS84 and this system. `None`: it cannot be set up.
    pub fn of(crs: Crs) -> Option<Self> {
        let systems = match crs {
            Crs::Crs84 | Crs::Wgs84 => None,
            crs => Some((Proj::from_proj_string("+proj=longlat +datum=WGS84 +no_defs").ok()?, crs.proj()?)),
        };
        Some(Transform { crs, systems })
    }

    /// Longitude and latitude as the system has them, its first axis first. `None`: outside of where it is defined.
    pub fn out(&self, longitude: f64, latitude: f64) -> Option<(f64, f64)> {
        match (&self.systems, self.crs) {
            (None, Crs::Wgs84) => Some((latitude, longitude)),
            (None, _) => Some((longitude, latitude)),
            (Some((geographic, plane)), _) => {
                let mut at = (longitude.to_radians(), latitude.to_radians(), 0.0);
                proj4rs::transform::transform(geographic, plane, &mut at).ok()?;
                (at.0.is_finite() && at.1.is_finite()).then_some((at.0, at.1))
            }
        }
    }

    /// The way back: longitude and latitude.
    pub fn to_crs84(&self, first: f64, second: f64) -> Option<(f64, f64)> {
        match (&self.systems, self.crs) {
            (None, Crs::Wgs84) => Some((second, first)),
            (None, _) => Some((first, second)),
            (Some((geographic, plane)), _) => {
                let mut at = (first, second, 0.0);
                proj4rs::transform::transform(plane, geographic, &mut at).ok()?;
                let (x, y) = (at.0.to_degrees(), at.1.to_degrees());
                (x.is_finite() && y.is_finite()).then_some((x, y))
            }
        }
    }

    /// A box of the system as one of CRS84 that holds it: west, south, east, north.
    pub fn box_to_crs84(&self, numbers: [f64; 4]) -> Option<[f64; 4]> {
        let [a, b, c, d] = numbers;
        if self.systems.is_none() {
            let ((w, s), (e, n)) = (self.to_crs84(a, b)?, self.to_crs84(c, d)?);
            return Some([w, s, e, n]);
        }
        let mut held = [f64::INFINITY, f64::INFINITY, f64::NEG_INFINITY, f64::NEG_INFINITY];
        for n in 0..=EDGE_POINTS {
            let share = n as f64 / EDGE_POINTS as f64;
            let (x, y) = (a + (c - a) * share, b + (d - b) * share);
            for (x, y) in [(x, b), (x, d), (a, y), (c, y)] {
                let (x, y) = self.to_crs84(x, y)?;
                held = [held[0].min(x), held[1].min(y), held[2].max(x), held[3].max(y)];
            }
        }
        Some(held)
    }

    /// A box of four numbers, or six with heights, in CRS84. `None`: it has another count of numbers, or lies outside of
    /// where the system is defined.
    #[must_use]
    pub fn bbox_to_crs84(&self, numbers: &[f64]) -> Option<Vec<f64>> {
        match *numbers {
            [a, b, c, d] => Some(self.box_to_crs84([a, b, c, d])?.to_vec()),
            [a, b, low, c, d, high] => {
                let [west, south, east, north] = self.box_to_crs84([a, b, c, d])?;
                Some(vec![west, south, low, east, north, high])
            }
            _ => None,
        }
    }

    /// A geometry of the system in CRS84.
    pub fn geometry_to_crs84(&self, geometry: &Geometry<f64>) -> Option<Geometry<f64>> {
        let turned = |c: Coord<f64>| self.to_crs84(c.x, c.y).map(|(x, y)| Coord { x, y }).ok_or(());
        geometry.try_map_coords(turned).ok()
    }

    /// Turns a GeoJSON geometry out of CRS84, in place. False: some of it lies where the system is not defined.
    pub fn geojson_out(&self, geometry: &mut Json) -> bool {
        match geometry {
            Json::Object(members) => {
                let coordinates = members.get_mut("coordinates").is_none_or(|c| self.positions_out(c));
                let parts = members.get_mut("geometries").and_then(Json::as_array_mut);
                coordinates && parts.is_none_or(|p| p.iter_mut().all(|g| self.geojson_out(g)))
            }
            _ => true,
        }
    }

    fn positions_out(&self, at: &mut Json) -> bool {
        let Some(list) = at.as_array_mut() else { return true };
        if let [Json::Number(x), Json::Number(y), ..] = list.as_slice() {
            let (Some(x), Some(y)) = (x.as_f64(), y.as_f64()) else { return false };
            let Some((first, second)) = self.out(x, y) else { return false };
            (list[0], list[1]) = (json!(first), json!(second));
            return true;
        }
        list.iter_mut().all(|inner| self.positions_out(inner))
    }
}

/// Turns the geometries and boxes of a filter into CRS84.
pub fn filter_to_crs84(filter: &mut Filter, by: &Transform) -> Option<()> {
    match filter {
        Filter::And(parts) | Filter::Or(parts) => parts.iter_mut().try_for_each(|p| filter_to_crs84(p, by)),
        Filter::Not(part) => filter_to_crs84(part, by),
        Filter::Spatial(_, a, b) => [a, b].into_iter().try_for_each(|value| {
            match value {
                Value::Geometry(g) => *g = by.geometry_to_crs84(g)?,
                Value::Bbox(numbers) => *numbers = by.bbox_to_crs84(numbers)?,
                _ => {}
            }
            Some(())
        }),
        _ => Some(()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_system_is_known_by_its_identifier_and_led_back() {
        let all: Vec<Crs> = Crs::all().collect();
        assert_eq!(all.len(), 123);
        assert!(all.iter().all(|c| Crs::parse(&c.uri()) == Some(*c) && Transform::of(*c).is_some()));
        assert_eq!(Crs::parse("http://www.opengis.net/def/crs/EPSG/9.9.1/4326"), Some(Crs::Wgs84));
        assert_eq!(Crs::parse("[EPSG:32633]"), Some(Crs::Utm(33, true)));
        for text in ["", "EPSG:", "EPSG:4258", "http://www.opengis.net/def/crs/EPSG/0/32661", "CRS84"] {
            assert_eq!(Crs::parse(text), None, "{text}");
        }
    }

    #[test]
    fn axes_and_figures_are_the_systems_own() {
        let at = |crs: Crs, x: f64, y: f64| Transform::of(crs).expect("a system").out(x, y).expect("defined");
        assert_eq!(at(Crs::Wgs84, -120.0, 38.0), (38.0, -120.0));
        let near = |a: (f64, f64), b: (f64, f64)| {
            assert!((a.0 - b.0).abs() < 0.01 && (a.1 - b.1).abs() < 0.01, "{a:?}")
        };
        // The figures are the projections' own: a degree of longitude on the equator, a zone's central meridian.
        near(at(Crs::Mercator, 180.0, 0.0), (20_037_508.342_789, 0.0));
        near(at(Crs::Utm(33, true), 15.0, 0.0), (500_000.0, 0.0));
        near(at(Crs::Utm(33, false), 15.0, 0.0), (500_000.0, 10_000_000.0));
        for crs in [Crs::Mercator, Crs::Utm(10, true), Crs::Wgs84, Crs::Crs84] {
            let by = Transform::of(crs).expect("a system");
            let (a, b) = by.out(-121.5, 38.25).expect("defined");
            let (x, y) = by.to_crs84(a, b).expect("defined");
            assert!((x + 121.5).abs() < 1e-8 && (y - 38.25).abs() < 1e-8, "{crs}: {x} {y}");
        }
        assert_eq!(Transform::of(Crs::Mercator).and_then(|t| t.out(0.0, 90.0)), None);
    }

    #[test]
    fn boxes_hold_what_they_held() {
        let by = Transform::of(Crs::Utm(10, true)).expect("a system");
        let [w, s, e, n] = by.box_to_crs84([500_000.0, 4_200_000.0, 600_000.0, 4_300_000.0]).expect("a box");
        for (x, y) in [(500_000.0, 4_200_000.0), (550_000.0, 4_300_000.0), (600_000.0, 4_250_000.0)] {
            let (x, y) = by.to_crs84(x, y).expect("defined");
            assert!(w <= x + 1e-9 && x <= e + 1e-9 && s <= y + 1e-9 && y <= n + 1e-9);
        }
        let wgs = Transform::of(Crs::Wgs84).expect("a system");
        assert_eq!(wgs.box_to_crs84([38.0, -120.0, 39.0, -119.0]), Some([-120.0, 38.0, -119.0, 39.0]));
        let mut geometry = json!({"type": "GeometryCollection", "geometries": [
            {"type": "Point", "coordinates": [1, 2]}, {"type": "LineString", "coordinates": [[1, 2, 9], [3, 4]]}]});
        assert!(wgs.geojson_out(&mut geometry));
        assert_eq!(geometry["geometries"][1]["coordinates"], json!([[2.0, 1.0, 9], [4.0, 3.0]]));
    }
}
