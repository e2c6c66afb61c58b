//! Changes to features before they are returned: transformation to another coordinate reference
//! system, and selection of properties.

use crate::front::ogc::crs::{Crs, Transform};
use crate::front::ogc::params::Params;
use serde_json::Value as Json;
use std::borrow::Cow;

/// The changes to features that a query requests.
pub(super) struct FeatureProjection<'a> {
    /// Transformation of geometries; `None` if they stay in CRS84.
    transform: Option<Transform>,
    /// Names of the properties that are returned; `None` for all.
    properties: Option<&'a [String]>,
}

impl<'a> FeatureProjection<'a> {
    /// Creates the projection for a query's parameters `crs` and `properties`.
    pub fn from_params(params: &'a Params) -> Self {
        FeatureProjection {
            properties: params.properties.as_deref(),
            ..Self::to_crs(params.crs)
        }
    }

    /// Creates the projection to a coordinate reference system that keeps all properties.
    pub fn to_crs(crs: Crs) -> Self {
        let transform = if crs == Crs::Crs84 {
            None
        } else {
            Transform::for_crs(crs)
        };
        FeatureProjection {
            transform,
            properties: None,
        }
    }

    /// Returns whether the projection leaves features unchanged.
    pub fn is_identity(&self) -> bool {
        self.transform.is_none() && self.properties.is_none()
    }

    /// Applies the projection to a feature.
    pub fn apply(&self, feature: &mut Json) {
        if let Some(transform) = &self.transform {
            transform_geometry(feature, transform);
        }
        if let (Some(names), Some(members)) =
            (self.properties, feature["properties"].as_object_mut())
        {
            members.retain(|name, _| names.iter().any(|n| n == name));
        }
    }

    /// Applies the projection to the JSON text of a feature, or returns `None` if the text is not
    /// JSON.
    pub fn apply_to_text<'t>(&self, feature: &'t [u8]) -> Option<Cow<'t, [u8]>> {
        if self.is_identity() {
            return Some(Cow::Borrowed(feature));
        }
        let mut json: Json = serde_json::from_slice(feature).ok()?;
        self.apply(&mut json);
        serde_json::to_vec(&json).ok().map(Cow::Owned)
    }
}

/// Transforms the geometry of a feature. The geometry becomes null if it lies outside the area in
/// which the coordinate reference system is defined. The bounding box, which is in CRS84, is
/// removed.
fn transform_geometry(feature: &mut Json, transform: &Transform) {
    if !transform.geojson_from_crs84(&mut feature["geometry"]) {
        feature["geometry"] = Json::Null;
    }
    if let Some(members) = feature.as_object_mut() {
        members.remove("bbox");
    }
}
