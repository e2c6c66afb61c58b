//! Parsing of bounding boxes.

use super::super::crs::{Crs, Transform};
use super::RequestError;

/// Transforms a box of four numbers, or six with heights, to CRS84 and checks that it lies on the
/// globe.
pub(super) fn bbox_to_crs84(numbers: Vec<f64>, crs: Crs) -> Result<Vec<f64>, RequestError> {
    if !matches!(numbers.len(), 4 | 6) || !numbers.iter().all(|number| number.is_finite()) {
        return Err(RequestError::BboxCount);
    }
    let bbox = if crs == Crs::Crs84 {
        numbers
    } else {
        transformed(&numbers, crs)?
    };
    if is_on_globe(&bbox) {
        Ok(bbox)
    } else {
        Err(RequestError::BboxCorners)
    }
}

/// Returns a box in CRS84 that contains the given one.
fn transformed(numbers: &[f64], crs: Crs) -> Result<Vec<f64>, RequestError> {
    let transform = Transform::for_crs(crs).ok_or(RequestError::UnusableCrs("bbox-crs"))?;
    let bbox = transform.bbox_to_crs84(numbers);
    bbox.ok_or(RequestError::BboxUndefined)
}

/// Returns whether a box has its corners in order and on the globe. A west beyond the east is
/// valid: the box then spans the antimeridian.
fn is_on_globe(bbox: &[f64]) -> bool {
    match *bbox {
        [west, south, east, north] => south <= north && in_range(&[west, east], &[south, north]),
        [west, south, low, east, north, high] => {
            south <= north && low <= high && in_range(&[west, east], &[south, north])
        }
        _ => false,
    }
}

/// Returns whether all longitudes and latitudes are within their ranges, in degrees.
fn in_range(longitudes: &[f64], latitudes: &[f64]) -> bool {
    longitudes
        .iter()
        .all(|longitude| (-180.0..=180.0).contains(longitude))
        && latitudes
            .iter()
            .all(|latitude| (-90.0..=90.0).contains(latitude))
}
