//! How features are changed for a response: transformed to another coordinate reference system, and with some of their
//! properties left out.

use crate::front::ogc::crs::{Crs, Transform};
use crate::front::ogc::params::Params;
use serde_json::Value as Json;
use std::borrow::Cow;

/// The changes that a query asks for.
pub(super) struct FeatureProjection<'a> {
    transform: Option<Transform>,
    properties: Option<&'a [String]>,
}

impl<'a> FeatureProjection<'a> {
    /// The changes for a query's parameters `crs` and `properties`.
    pub fn of(params: &'a Params) -> Self {
        FeatureProjection {
            properties: params.properties.as_deref(),
            ..Self::to_crs(params.crs)
        }
    }

    /// All properties, in a coordinate reference system.
    pub fn to_crs(crs: Crs) -> Self {
        let transform = if crs == Crs::Crs84 {
            None
        } else {
            Transform::of(crs)
        };
        FeatureProjection {
            transform,
            properties: None,
        }
    }

    /// Whether features stay as they are.
    pub fn is_identity(&self) -> bool {
        self.transform.is_none() && self.properties.is_none()
    }

    /// Changes a feature.
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

    /// A feature's text, changed. `None`: it is no JSON.
    pub fn apply<'t>(&self, feature: &'t [u8]) -> Option<Cow<'t, [u8]>> {
        if self.is_identity() {
            return Some(Cow::Borrowed(feature));
        }
        let mut json: Json = serde_json::from_slice(feature).ok()?;
        self.change(&mut json);
        serde_json::to_vec(&json).ok().map(Cow::Owned)
    }
}

/// A geometry outside the area for which the system is defined becomes null.
fn transform_geometry(feature: &mut Json, transform: &Transform) {
    if !transform.geojson_from_crs84(&mut feature["geometry"]) {
        feature["geometry"] = Json::Null;
    }
    if let Some(members) = feature.as_object_mut() {
        members.remove("bbox");
    }
}
