//! Parsing of bounding boxes.

use super::super::crs::{Crs, Transform};
use super::RequestError;

/// Transforms a bounding box of four numbers, or of six with heights, to CRS84 and checks that its
/// longitudes and latitudes are valid.
pub(super) fn bbox_to_crs84(numbers: Vec<f64>, crs: Crs) -> Result<Vec<f64>, RequestError> {
    if !matches!(numbers.len(), 4 | 6) || !numbers.iter().all(|number| number.is_finite()) {
        return Err(RequestError::InvalidBboxLength);
    }
    let bbox = if crs == Crs::Crs84 {
        numbers
    } else {
        transform_to_crs84(&numbers, crs)?
    };
    if is_on_globe(&bbox) {
        Ok(bbox)
    } else {
        Err(RequestError::InvalidBboxCorners)
    }
}

/// Returns a bounding box in CRS84 that contains the given one.
fn transform_to_crs84(numbers: &[f64], crs: Crs) -> Result<Vec<f64>, RequestError> {
    let transform = Transform::for_crs(crs).ok_or(RequestError::UnavailableCrs("bbox-crs"))?;
    let bbox = transform.bbox_to_crs84(numbers);
    bbox.ok_or(RequestError::BboxOutsideCrs)
}

/// Returns whether the corners of a bounding box are in order and have valid longitudes and
/// latitudes. A western longitude greater than the eastern one is valid: the box then spans the
/// antimeridian.
fn is_on_globe(bbox: &[f64]) -> bool {
    match *bbox {
        [west, south, east, north] => south <= north && is_in_range(&[west, east], &[south, north]),
        [west, south, low, east, north, high] => {
            south <= north && low <= high && is_in_range(&[west, east], &[south, north])
        }
        _ => false,
    }
}

/// Returns whether all longitudes and latitudes are within their ranges, in degrees.
fn is_in_range(longitudes: &[f64], latitudes: &[f64]) -> bool {
    longitudes
        .iter()
        .all(|longitude| (-180.0..=180.0).contains(longitude))
        && latitudes
            .iter()
            .all(|latitude| (-90.0..=90.0).contains(latitude))
}
