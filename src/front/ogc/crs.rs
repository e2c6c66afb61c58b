//! Coordinate reference systems by reference (OGC API - Features, Part 2).
//!
//! Requests to feature servers and their responses are in CRS84: longitude, latitude. Coordinates
//! that a client sends in another system are transformed to CRS84, and those of the response are
//! transformed from CRS84. Each system has its own order of axes: EPSG:4326 has latitude first.

use super::cql2::{Filter, Value};
use geo::{Coord, Geometry, MapCoords};
use proj4rs::Proj;
use serde_json::{json, Value as Json};
use std::fmt;

/// URI of the default system.
pub const CRS84_URI: &str = "http://www.opengis.net/def/crs/OGC/1.3/CRS84";
/// URI of the default system with heights.
const CRS84H_URI: &str = "http://www.opengis.net/def/crs/OGC/0/CRS84h";
/// Prefix of the URIs of the systems in the EPSG registry. A version and the code of the system
/// follow.
const EPSG_URI_PREFIX: &str = "http://www.opengis.net/def/crs/EPSG/";
/// PROJ definition of the geographic system that projections refer to.
const GEOGRAPHIC_DEFINITION: &str = "+proj=longlat +datum=WGS84 +no_defs";
/// PROJ definition of Web Mercator.
const WEB_MERCATOR_DEFINITION: &str =
    "+proj=merc +a=6378137 +b=6378137 +lat_ts=0 +lon_0=0 +x_0=0 +y_0=0 +k=1 +units=m +no_defs";
/// Number of steps in which each edge of a box is transformed. An edge may be curved in another
/// system, so the transformed corners alone don't determine the extent of the transformed box.
const EDGE_STEPS: usize = 16;

/// Half of a full turn, in degrees.
const HALF_TURN_DEGREES: f64 = 180.0;

/// A coordinate reference system in which clients can send and receive coordinates.
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
    /// Parses an identifier in the form of a URI, a CURIE (also in brackets) or a URN. Returns
    /// `None` if the system is not supported.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let text = text.trim_start_matches('[').trim_end_matches(']');
        if matches!(
            text,
            CRS84_URI | CRS84H_URI | "OGC:CRS84" | "OGC:CRS84h" | "urn:ogc:def:crs:OGC:1.3:CRS84"
        ) {
            return Some(Crs::Crs84);
        }
        let code = match text.strip_prefix(EPSG_URI_PREFIX) {
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
            Crs::Crs84 => CRS84_URI.to_owned(),
            Crs::Wgs84 => format!("{EPSG_URI_PREFIX}0/4326"),
            Crs::Mercator => format!("{EPSG_URI_PREFIX}0/3857"),
            Crs::Utm { zone, north } => {
                format!(
                    "{EPSG_URI_PREFIX}0/{}",
                    if north { 32_600 } else { 32_700 } + u32::from(zone)
                )
            }
        }
    }

    /// Returns the name of the system in the text that binds a cursor to its query (see
    /// `Params::cursor_binding`).
    pub(super) fn binding_name(self) -> String {
        match self {
            Crs::Crs84 => "Crs84".to_owned(),
            Crs::Wgs84 => "Wgs84".to_owned(),
            Crs::Mercator => "Mercator".to_owned(),
            Crs::Utm { zone, north } => format!("Utm({zone}, {north})"),
        }
    }

    /// Returns all supported systems, CRS84 first.
    pub fn all() -> impl Iterator<Item = Crs> {
        let zones = |north| (1..=60).map(move |zone| Crs::Utm { zone, north });
        [Crs::Crs84, Crs::Wgs84, Crs::Mercator]
            .into_iter()
            .chain(zones(true))
            .chain(zones(false))
    }

    /// Returns the projected system, or `None` if the system is geographic.
    fn projection(self) -> Option<Proj> {
        let definition = match self {
            Crs::Crs84 | Crs::Wgs84 => return None,
            Crs::Mercator => WEB_MERCATOR_DEFINITION.to_owned(),
            Crs::Utm { zone, north } => {
                let south = if north { "" } else { " +south" };
                format!("+proj=utm +zone={zone}{south} +datum=WGS84 +units=m +no_defs")
            }
        };
        Proj::from_proj_string(&definition).ok()
    }
}

impl fmt::Display for Crs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.uri())
    }
}

/// A projected system and the geographic system that it refers to.
struct Projection {
    geographic: Proj,
    projected: Proj,
}

/// Transformation between CRS84 and another system.
pub struct Transform {
    crs: Crs,
    /// `None` if the system is geographic, so that at most the axes are swapped.
    projection: Option<Projection>,
}

impl Transform {
    /// Creates the transformation between CRS84 and a system. Returns `None` if the definition of
    /// the system is invalid.
    #[must_use]
    pub fn for_crs(crs: Crs) -> Option<Self> {
        let projection = match crs {
            Crs::Crs84 | Crs::Wgs84 => None,
            crs => Some(Projection {
                geographic: Proj::from_proj_string(GEOGRAPHIC_DEFINITION).ok()?,
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
                let mut point = (position.x.to_radians(), position.y.to_radians(), 0.0);
                proj4rs::transform::transform(
                    &projection.geographic,
                    &projection.projected,
                    &mut point,
                )
                .ok()?;
                if_finite(Coord {
                    x: point.0,
                    y: point.1,
                })
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
                let mut point = (position.x, position.y, 0.0);
                proj4rs::transform::transform(
                    &projection.projected,
                    &projection.geographic,
                    &mut point,
                )
                .ok()?;
                if_finite(Coord {
                    x: point.0.to_degrees(),
                    y: point.1.to_degrees(),
                })
            }
        }
    }

    /// Returns a box in CRS84 (west, south, east, north) that contains a box of the system (minima,
    /// then maxima). West is greater than east if the box spans the antimeridian. Returns `None` if
    /// the box lies outside the area for which the system is defined.
    #[must_use]
    pub fn bbox_2d_to_crs84(&self, numbers: [f64; 4]) -> Option<[f64; 4]> {
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
            let fraction = step as f64 / EDGE_STEPS as f64;
            let x = min_x + (max_x - min_x) * fraction;
            let y = min_y + (max_y - min_y) * fraction;
            for (x, y) in [(x, min_y), (x, max_y), (min_x, y), (max_x, y)] {
                let position = self.to_crs84(Coord { x, y })?;
                let longitude = nearest_equivalent_longitude(position.x, center.x);
                bounds = [
                    bounds[0].min(longitude),
                    bounds[1].min(position.y),
                    bounds[2].max(longitude),
                    bounds[3].max(position.y),
                ];
            }
        }
        let [west, south, east, north] = bounds;
        Some([wrap_longitude(west), south, wrap_longitude(east), north])
    }

    /// Transforms a box of four numbers, or of six with heights, to CRS84. Returns `None` for any
    /// other number of numbers, or if the box lies outside the area for which the system is
    /// defined.
    #[must_use]
    pub fn bbox_to_crs84(&self, numbers: &[f64]) -> Option<Vec<f64>> {
        match *numbers {
            [min_x, min_y, max_x, max_y] => Some(
                self.bbox_2d_to_crs84([min_x, min_y, max_x, max_y])?
                    .to_vec(),
            ),
            [min_x, min_y, low, max_x, max_y, high] => {
                let [west, south, east, north] =
                    self.bbox_2d_to_crs84([min_x, min_y, max_x, max_y])?;
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
                let is_transformed = members
                    .get_mut("coordinates")
                    .is_none_or(|c| self.positions_from_crs84(c));
                let geometries = members.get_mut("geometries").and_then(Json::as_array_mut);
                is_transformed
                    && geometries.is_none_or(|list| {
                        list.iter_mut()
                            .all(|member| self.geojson_from_crs84(member))
                    })
            }
            _ => true,
        }
    }

    /// Transforms a position, or all positions of a nested array, in place. Returns `false` if one
    /// lies outside the area for which the system is defined.
    fn positions_from_crs84(&self, coordinates: &mut Json) -> bool {
        let Some(list) = coordinates.as_array_mut() else {
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

/// Returns a longitude with a full turn added or subtracted if that is nearer to `other`, in
/// degrees. The two longitudes must not differ by more than a turn and a half.
fn nearest_equivalent_longitude(longitude: f64, other: f64) -> f64 {
    match longitude - other {
        difference if difference > HALF_TURN_DEGREES => longitude - 2.0 * HALF_TURN_DEGREES,
        difference if difference < -HALF_TURN_DEGREES => longitude + 2.0 * HALF_TURN_DEGREES,
        _ => longitude,
    }
}

/// Returns the equivalent longitude between -180 and 180 degrees.
fn wrap_longitude(longitude: f64) -> f64 {
    nearest_equivalent_longitude(longitude, 0.0)
}

/// Returns a position with its two coordinates exchanged.
fn swap_axes(position: Coord<f64>) -> Coord<f64> {
    Coord {
        x: position.y,
        y: position.x,
    }
}

/// Returns a position if both coordinates are finite, else `None`.
fn if_finite(position: Coord<f64>) -> Option<Coord<f64>> {
    (position.x.is_finite() && position.y.is_finite()).then_some(position)
}

/// Transforms the geometries and boxes of a filter to CRS84. Returns `None` if a point lies outside
/// the area for which the system is defined.
pub fn filter_to_crs84(filter: &mut Filter, transform: &Transform) -> Option<()> {
    match filter {
        Filter::And(children) | Filter::Or(children) => children
            .iter_mut()
            .try_for_each(|child| filter_to_crs84(child, transform)),
        Filter::Not(child) => filter_to_crs84(child, transform),
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
