//! Projection of features for a response: transformation to another coordinate reference system and
//! selection of properties.

use crate::front::ogc::crs::{Crs, Transform};
use crate::front::ogc::params::Params;
use serde_json::Value as Json;
use std::borrow::Cow;

/// Changes to features that a query requests.
pub(super) struct FeatureProjection<'a> {
    /// Transformation; `None` if geometries stay in CRS84.
    transform: Option<Transform>,
    /// Names of the properties that are kept; `None` for all.
    properties: Option<&'a [String]>,
}

impl<'a> FeatureProjection<'a> {
    /// Creates the projection for a query's parameters `crs` and `properties`.
    pub fn of(params: &'a Params) -> Self {
        FeatureProjection {
            properties: params.properties.as_deref(),
            ..Self::to_crs(params.crs)
        }
    }

    /// Creates the projection to a coordinate reference system, with all properties.
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

    /// Returns whether features stay unchanged.
    pub fn is_identity(&self) -> bool {
        self.transform.is_none() && self.properties.is_none()
    }

    /// Applies the projection to a feature.
    pub fn change(&self, feature: &mut Json) {
        if let Some(transform) = &self.transform {
            transform_geometry(feature, transform);
        }
        if let (Some(names), Some(members)) =
            (self.properties, feature["properties"].as_object_mut())
        {
            members.retain(|name, _| names.iter().any(|n| n == name));
        }
    }

    /// Returns the text of a feature with the projection applied, or `None` if it is not JSON.
    pub fn apply<'t>(&self, feature: &'t [u8]) -> Option<Cow<'t, [u8]>> {
        if self.is_identity() {
            return Some(Cow::Borrowed(feature));
        }
        let mut json: Json = serde_json::from_slice(feature).ok()?;
        self.change(&mut json);
        serde_json::to_vec(&json).ok().map(Cow::Owned)
    }
}

/// Transforms the geometry of a feature; outside the area for which the system is defined it
/// becomes null.
fn transform_geometry(feature: &mut Json, transform: &Transform) {
    if !transform.geojson_from_crs84(&mut feature["geometry"]) {
        feature["geometry"] = Json::Null;
    }
    if let Some(members) = feature.as_object_mut() {
        members.remove("bbox");
    }
}
