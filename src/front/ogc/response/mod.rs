//! Rendering of responses: documents about the service, features in GeoJSON or HTML, and problem
//! documents.

pub(super) mod documents;
pub(super) mod feature;
pub(super) mod feature_collection;
mod html;
pub(super) mod items_result;
mod json;
mod links;
pub(super) mod openapi;
pub(super) mod problem;
mod projection;
mod svg_map;
