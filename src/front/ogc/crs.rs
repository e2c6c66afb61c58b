//! Coordinate reference systems by reference (OGC API - Features, Part 2).
//!
//! Servers are queried and answer in CRS84: longitude, latitude. Coordinates that a client sends in
//! another system are transformed to CRS84, and those of its answers from it. The order of axes is
//! the system's own: EPSG:4326 has latitude first.

use super::cql2::{Filter, Value};
use geo::{Coord, Geometry, MapCoords};
use proj4rs::Proj;
use serde_json::{json, Value as Json};
use std::fmt;

/// URI of the default system.
pub const CRS84: &str = "http://www.opengis.net/def/crs/OGC/1.3/CRS84";
/// URI of the default system with heights.
const CRS84H: &str = "http://www.opengis.net/def/crs/OGC/0/CRS84h";
/// Prefix of the URIs of EPSG's systems; a version stands between it and the code.
const EPSG: &str = "http://www.opengis.net/def/crs/EPSG/";
/// Definition of the geographic system that projections refer to.
const GEOGRAPHIC: &str = "+proj=longlat +datum=WGS84 +no_defs";
/// Definition of Web Mercator.
const MERCATOR: &str =
    "+proj=merc +a=6378137 +b=6378137 +lat_ts=0 +lon_0=0 +x_0=0 +y_0=0 +k=1 +units=m +no_defs";
/// Number of steps along each edge of a box. An edge may be curved in another system, so its
/// corners alone don't bound it.
const EDGE_STEPS: usize = 16;

/// Half of a full turn, in degrees.
const HALF_TURN: f64 = 180.0;

/// A coordinate reference system that is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Crs {
    /// Longitude and latitude.
    Crs84,
    /// Latitude and longitude, EPSG:4326.
    Wgs84,
    /// Web Mercator, EPSG:3857.
    Mercator,
    /// A zone of the universal transverse Mercator grid on WGS 84.
    Utm {
        /// The zone, 1 to 60.
        zone: u8,
        /// Whether the zone is on the northern hemisphere.
        north: bool,
    },
}

impl Crs {
    /// Parses an identifier in the form of a URI, a CURIE (plain or safe) or a URN. Returns `None`
    /// if the system is not served.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let text = text.trim_start_matches('[').trim_end_matches(']');
        if matches!(
            text,
            CRS84 | CRS84H | "OGC:CRS84" | "OGC:CRS84h" | "urn:ogc:def:crs:OGC:1.3:CRS84"
        ) {
            return Some(Crs::Crs84);
        }
        let code = match text.strip_prefix(EPSG) {
            Some(rest) => rest.split_once('/')?.1,
            None => text
                .strip_prefix("EPSG:")
                .or_else(|| text.strip_prefix("urn:ogc:def:crs:EPSG::"))?,
        };
        match code.parse::<u32>().ok()? {
            4326 => Some(Crs::Wgs84),
            3857 => Some(Crs::Mercator),
            code @ 32_601..=32_660 => Some(Crs::Utm {
                zone: (code - 32_600) as u8,
                north: true,
            }),
            code @ 32_701..=32_760 => Some(Crs::Utm {
                zone: (code - 32_700) as u8,
                north: false,
            }),
            _ => None,
        }
    }

    /// Returns the URI that identifies the system.
    #[must_use]
    pub fn uri(self) -> String {
        match self {
            Crs::Crs84 => CRS84.to_owned(),
            Crs::Wgs84 => format!("{EPSG}0/4326"),
            Crs::Mercator => format!("{EPSG}0/3857"),
            Crs::Utm { zone, north } => {
                format!(
                    "{EPSG}0/{}",
                    if north { 32_600 } else { 32_700 } + u32::from(zone)
                )
            }
        }
    }

    /// Returns the name of the system in the text that cursors are bound to; see
    /// `Params::cursor_binding`.
    pub(super) fn binding_name(self) -> String {
        match self {
            Crs::Crs84 => "Crs84".to_owned(),
            Crs::Wgs84 => "Wgs84".to_owned(),
            Crs::Mercator => "Mercator".to_owned(),
            Crs::Utm { zone, north } => format!("Utm({zone}, {north})"),
        }
    }

    /// Returns all systems that are served, CRS84 first.
    pub fn all() -> impl Iterator<Item = Crs> {
        let zones = |north| (1..=60).map(move |zone| Crs::Utm { zone, north });
        [Crs::Crs84, Crs::Wgs84, Crs::Mercator]
            .into_iter()
            .chain(zones(true))
            .chain(zones(false))
    }

    /// Returns the projection, or `None` if the system is geographic.
    fn projection(self) -> Option<Proj> {
        let text = match self {
            Crs::Crs84 | Crs::Wgs84 => return None,
            Crs::Mercator => MERCATOR.to_owned(),
            Crs::Utm { zone, north } => {
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

/// Projected system and the geographic system that it refers to.
struct Projection {
    geographic: Proj,
    projected: Proj,
}

/// Transformation between CRS84 and another system.
pub struct Transform {
    crs: Crs,
    /// Projection; `None` if the system is geographic, so that at most the axes are swapped.
    projection: Option<Projection>,
}

impl Transform {
    /// Creates the transformation between CRS84 and a system. Returns `None` if it can't be set up.
    #[must_use]
    pub fn of(crs: Crs) -> Option<Self> {
        let projection = match crs {
            Crs::Crs84 | Crs::Wgs84 => None,
            crs => Some(Projection {
                geographic: Proj::from_proj_string(GEOGRAPHIC).ok()?,
                projected: crs.projection()?,
            }),
        };
        Some(Transform { crs, projection })
    }

    /// Transforms a longitude `x` and latitude `y` in degrees to coordinates of the system, its
    /// first axis as `x`. Returns `None` if the point lies outside the area for which the system is
    /// defined.
    #[must_use]
    pub fn from_crs84(&self, position: Coord<f64>) -> Option<Coord<f64>> {
        match (&self.projection, self.crs) {
            (None, Crs::Wgs84) => Some(swap_axes(position)),
            (None, _) => Some(position),
            (Some(projection), _) => {
                let mut at = (position.x.to_radians(), position.y.to_radians(), 0.0);
                proj4rs::transform::transform(
                    &projection.geographic,
                    &projection.projected,
                    &mut at,
                )
                .ok()?;
                finite(Coord { x: at.0, y: at.1 })
            }
        }
    }

    /// Transforms coordinates of the system, its first axis as `x`, to a longitude `x` and latitude
    /// `y` in degrees. Returns `None` if the point lies outside the area for which the system is
    /// defined.
    #[must_use]
    pub fn to_crs84(&self, position: Coord<f64>) -> Option<Coord<f64>> {
        match (&self.projection, self.crs) {
            (None, Crs::Wgs84) => Some(swap_axes(position)),
            (None, _) => Some(position),
            (Some(projection), _) => {
                let mut at = (position.x, position.y, 0.0);
                proj4rs::transform::transform(
                    &projection.projected,
                    &projection.geographic,
                    &mut at,
                )
                .ok()?;
                finite(Coord {
                    x: at.0.to_degrees(),
                    y: at.1.to_degrees(),
                })
            }
        }
    }

    /// Returns a box in CRS84 (west, south, east, north) that contains a box of the system. Its west
    /// is beyond its east if it spans the antimeridian.
    #[must_use]
    pub fn box_to_crs84(&self, numbers: [f64; 4]) -> Option<[f64; 4]> {
        let [min_x, min_y, max_x, max_y] = numbers;
        if self.projection.is_none() {
            let min = self.to_crs84(Coord { x: min_x, y: min_y })?;
            let max = self.to_crs84(Coord { x: max_x, y: max_y })?;
            return Some([min.x, min.y, max.x, max.y]);
        }
        let center = self.to_crs84(Coord {
            x: f64::midpoint(min_x, max_x),
            y: f64::midpoint(min_y, max_y),
        })?;
        let mut bounds = [
            f64::INFINITY,
            f64::INFINITY,
            f64::NEG_INFINITY,
            f64::NEG_INFINITY,
        ];
        for step in 0..=EDGE_STEPS {
            let share = step as f64 / EDGE_STEPS as f64;
            let x = min_x + (max_x - min_x) * share;
            let y = min_y + (max_y - min_y) * share;
            for (x, y) in [(x, min_y), (x, max_y), (min_x, y), (max_x, y)] {
                let position = self.to_crs84(Coord { x, y })?;
                let longitude = nearest_turn(position.x, center.x);
                bounds = [
                    bounds[0].min(longitude),
                    bounds[1].min(position.y),
                    bounds[2].max(longitude),
                    bounds[3].max(position.y),
                ];
            }
        }
        let [west, south, east, north] = bounds;
        Some([wrapped(west), south, wrapped(east), north])
    }

    /// Transforms a box of four numbers, or six with heights, to CRS84. Returns `None` for another
    /// count of numbers, or if the box lies outside the area for which the system is defined.
    #[must_use]
    pub fn bbox_to_crs84(&self, numbers: &[f64]) -> Option<Vec<f64>> {
        match *numbers {
            [min_x, min_y, max_x, max_y] => {
                Some(self.box_to_crs84([min_x, min_y, max_x, max_y])?.to_vec())
            }
            [min_x, min_y, low, max_x, max_y, high] => {
                let [west, south, east, north] = self.box_to_crs84([min_x, min_y, max_x, max_y])?;
                Some(vec![west, south, low, east, north, high])
            }
            _ => None,
        }
    }

    /// Transforms a geometry to CRS84. Returns `None` if a point lies outside the area for which
    /// the system is defined.
    #[must_use]
    pub fn geometry_to_crs84(&self, geometry: &Geometry<f64>) -> Option<Geometry<f64>> {
        let transformed = |position| self.to_crs84(position).ok_or(());
        geometry.try_map_coords(transformed).ok()
    }

    /// Transforms a GeoJSON geometry from CRS84 in place. Returns `false` if a point lies outside
    /// the area for which the system is defined.
    pub fn geojson_from_crs84(&self, geometry: &mut Json) -> bool {
        match geometry {
            Json::Object(members) => {
                let coordinates = members
                    .get_mut("coordinates")
                    .is_none_or(|c| self.positions_from_crs84(c));
                let parts = members.get_mut("geometries").and_then(Json::as_array_mut);
                coordinates
                    && parts.is_none_or(|p| p.iter_mut().all(|g| self.geojson_from_crs84(g)))
            }
            _ => true,
        }
    }

    /// Transforms a position, or an array of positions at any depth.
    fn positions_from_crs84(&self, at: &mut Json) -> bool {
        let Some(list) = at.as_array_mut() else {
            return true;
        };
        if let [Json::Number(x), Json::Number(y), ..] = list.as_slice() {
            let (Some(x), Some(y)) = (x.as_f64(), y.as_f64()) else {
                return false;
            };
            let Some(position) = self.from_crs84(Coord { x, y }) else {
                return false;
            };
            list[0] = json!(position.x);
            list[1] = json!(position.y);
            return true;
        }
        list.iter_mut()
            .all(|inner| self.positions_from_crs84(inner))
    }
}

/// Returns a longitude as the equal one, by full turns, that is nearest to another.
fn nearest_turn(longitude: f64, other: f64) -> f64 {
    match longitude - other {
        ahead if ahead > HALF_TURN => longitude - 2.0 * HALF_TURN,
        ahead if ahead < -HALF_TURN => longitude + 2.0 * HALF_TURN,
        _ => longitude,
    }
}

/// Returns the longitude within -180 to 180 degrees that equals one beyond them.
fn wrapped(longitude: f64) -> f64 {
    nearest_turn(longitude, 0.0)
}

fn swap_axes(position: Coord<f64>) -> Coord<f64> {
    Coord {
        x: position.y,
        y: position.x,
    }
}

/// Returns a position if both coordinates are finite.
fn finite(position: Coord<f64>) -> Option<Coord<f64>> {
    (position.x.is_finite() && position.y.is_finite()).then_some(position)
}

/// Transforms the geometries and boxes of a filter to CRS84. Returns `None` if a point lies outside
/// the area for which the system is defined.
pub fn filter_to_crs84(filter: &mut Filter, transform: &Transform) -> Option<()> {
    match filter {
        Filter::And(parts) | Filter::Or(parts) => parts
            .iter_mut()
            .try_for_each(|p| filter_to_crs84(p, transform)),
        Filter::Not(part) => filter_to_crs84(part, transform),
        Filter::Spatial(_, a, b) => [a, b].into_iter().try_for_each(|value| {
            match value {
                Value::Geometry(geometry) => *geometry = transform.geometry_to_crs84(geometry)?,
                Value::Bbox(numbers) => *numbers = transform.bbox_to_crs84(numbers)?,
                _ => {}
            }
            Some(())
        }),
        _ => Some(()),
    }
}

#[cfg(test)]
mod tests;
